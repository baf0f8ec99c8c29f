import type {InstanceSettings} from '@mustardferry/model';
import {expect} from 'chai';
import fc from 'fast-check';

import {SettingsError} from '../../src/problems.js';
import {
  formatSettings,
  parseSettings,
} from '../../src/settings/settings_file.js';

const MINIMAL = `[instance]
name = a1
data_centre = north
listen = 127.0.0.1:7101
data_folder = /var/lib/mustardferry
[instances]
a1 = 127.0.0.1:7101, north, disk
a2 = 127.0.0.1:7102, north, no-disk
[control]
voters = a1
`;

function problemsOf(text: string): readonly string[] {
  try {
    parseSettings(text, 'a1.ini');
  } catch (err) {
    if (err instanceof SettingsError) return err.message.split('\n');
    throw err;
  }
  return [];
}

describe('parseSettings', () => {
  it('fills in the documented defaults when only required keys are given', () => {
    const settings = parseSettings(MINIMAL, 'a1.ini');
    expect(settings).to.deep.include({
      recordGroups: 2,
      recordRetentionMs: 86_400_000,
      heartbeatMs: 200,
      electionTimeoutMs: 800,
      taskLeaseMs: 3_000,
      upstreamRenewalMs: 1_000,
      upstreamExpiryMs: 2_500,
      controlVoters: ['a1'],
    });
    expect(settings.limits).to.include({
      maxTasksPerJob: 330,
      maxBodyBytes: 1_048_576,
    });
  });

  const refused: readonly {
    guards: string;
    change: (text: string) => string;
    expected: string;
  }[] = [
    {
      guards: 'a misspelt key that would be ignored',
      change: text => `${text}[timing]\nheartbeet_ms = 100\n`,
      expected:
        'a1.ini: [timing] heartbeet_ms: unknown key "heartbeet_ms"; did you mean "heartbeat_ms"?',
    },
    {
      guards: 'a misspelt section that would be ignored',
      change: text => `${text}[timeing]\nheartbeat_ms = 100\n`,
      expected:
        'a1.ini: [timeing]: unknown section "timeing"; did you mean "timing"?',
    },
    {
      guards: 'a key given twice, of which the last would win',
      change: text => `${text}voters = a2\n`,
      expected: 'a1.ini: [control]: line 11: "voters" is given twice',
    },
    {
      guards: 'a section given twice, which would be merged',
      change: text => `${text}[control]\n`,
      expected: 'a1.ini: [control]: line 11: is declared twice',
    },
    {
      guards: 'a line without a value',
      change: text => `${text}[logging]\nlevel\n`,
      expected: 'a1.ini: [logging]: line 12: the line has no "="',
    },
    {
      guards: 'a host name that would need a resolver',
      change: text => text.replace('listen = 127.0.0.1', 'listen = localhost'),
      expected:
        'a1.ini: [instance] listen: must be IP:PORT; host names are not resolved',
    },
    {
      guards: 'an instance that its peers do not know',
      change: text => text.replace('name = a1', 'name = a9'),
      expected: 'a1.ini: [instance] name: "a9" is not in [instances]',
    },
    {
      guards: 'an instance in the wrong data centre',
      change: text =>
        text.replace('data_centre = north', 'data_centre = south'),
      expected:
        'a1.ini: [instance] data_centre: is "south", but [instances] says "north"',
    },
    {
      guards: 'a control voter that could not sync its log',
      change: text => text.replace('voters = a1', 'voters = a1, a2'),
      expected: 'a1.ini: [control] voters: "a2" has no disk',
    },
    {
      guards: 'a disk instance without a data folder',
      change: text => text.replace(/data_folder.*\n/, ''),
      expected:
        'a1.ini: [instance] data_folder: must be given, as [instances] says "disk"',
    },
    {
      guards: 'a missing required key',
      change: text => text.replace(/voters.*\n/, ''),
      expected: 'a1.ini: [control] voters: is required',
    },
    {
      guards: 'an open listener on a reachable address',
      change: text => text.replace('listen = 127.0.0.1', 'listen = 10.0.0.1'),
      expected:
        'a1.ini: [tokens] operators: is required, as 10.0.0.1:7101 is not a loopback address',
    },
    {
      guards: 'an election on one lost heartbeat',
      change: text => `${text}[timing]\nheartbeat_ms = 400\n`,
      expected:
        'a1.ini: [timing] election_timeout_ms: must be more than twice heartbeat_ms',
    },
    {
      guards: 'two instances at one address',
      change: text => text.replace('7102', '7101'),
      expected: 'a1.ini: [instances] a2: has the same address as "a1"',
    },
  ];

  for (const {guards, change, expected} of refused) {
    it(`refuses ${guards}`, () => {
      expect(problemsOf(change(MINIMAL))).to.include(expected);
    });
  }

  it('reports all problems at once, so that one edit can fix them', () => {
    const text = MINIMAL.replace('127.0.0.1:7101\n', 'host:1\n');
    const problems = problemsOf(
      `${text}[limits]\nmax_body_bytes = big\nmax_bdy = 1\n`,
    );
    expect(problems).to.have.length(3);
  });
});

describe('formatSettings', () => {
  const token = fc.stringMatching(/^[A-Za-z0-9._~+/=-]{1,20}$/);
  const tokens = fc.array(token, {maxLength: 3});
  const seed = 20_261_204;

  it(`keeps every value when it is parsed again (seed ${seed})`, () => {
    const base = parseSettings(MINIMAL, 'a1.ini');
    const arbitrary = fc.record({
      clients: tokens,
      operators: tokens,
      upstreams: tokens,
      instances: tokens,
      path: fc.string({maxLength: 20}).map(text => `/${text}`),
    });
    fc.assert(
      fc.property(arbitrary, ({path, ...lists}) => {
        const settings: InstanceSettings = {
          ...base,
          dataFolder: path,
          tokens: lists,
          recordGroups: 3,
          statsd: '127.0.0.1:8125',
        };
        const text = formatSettings(settings);
        expect(parseSettings(text, 'out.ini')).to.deep.equal(settings);
      }),
      {seed, numRuns: 300},
    );
  });
});
