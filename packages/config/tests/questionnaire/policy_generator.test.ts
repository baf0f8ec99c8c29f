import {expect} from 'chai';

import {AnswersError} from '../../src/problems.js';
import {
  formatPolicy,
  generatePolicy,
} from '../../src/questionnaire/policy_generator.js';
import {writeQuestionnaire} from '../../src/questionnaire/template.js';

const TEAM = `[team]
name = payments
share_percent = 30
quota_slots = 40
quota_processors = 40
quota_memory_mb = 80000
prefer = response-time
`;
const POSTING = `[kind payment-posting]
urgency = urgent
must_never_repeat = yes
target_ms = 400
expected_run_ms = 120
memory_mb = 256
`;
const STATEMENT = `[kind plan-statement]
urgency = normal
must_never_repeat = no
expected_run_ms = 300
memory_mb = 512
`;
const VALID = TEAM + POSTING + STATEMENT;

function problemsOf(input: string | Uint8Array): string {
  try {
    generatePolicy(input, 'payments.ini');
  } catch (err) {
    if (err instanceof AnswersError) return err.message;
    throw err;
  }
  return '';
}

describe('generatePolicy', () => {
  it('generates the same bytes when sections and comments are rearranged', () => {
    const other = `; comment\n${TEAM}${STATEMENT}\n\n${POSTING}`;
    expect(formatPolicy(generatePolicy(other))).to.equal(
      formatPolicy(generatePolicy(VALID)),
    );
  });

  it('marks kinds that must never repeat, so that a posting is not doubled', () => {
    const kinds = generatePolicy(VALID).kinds;
    expect(
      kinds.map(kind => [kind.kind, kind.repeatable, kind.targetMs]),
    ).to.deep.equal([
      ['payment-posting', false, 400],
      ['plan-statement', true, 5_000],
    ]);
  });

  it('accepts the template, so that a team starts from a valid file', () => {
    const text = writeQuestionnaire({
      team: 'crews',
      kinds: ['recoat-quote', 'other'],
    });
    expect(generatePolicy(text).kinds).to.have.length(2);
  });

  const refused: readonly {
    guards: string;
    input: string | Uint8Array;
    reason: RegExp;
  }[] = [
    {
      guards: 'a kind declared twice',
      input: VALID + POSTING,
      reason: /\[kind payment-posting\]: line 19: is declared twice/,
    },
    {
      guards: 'a kind declared twice with other spacing',
      input: VALID + POSTING.replace('kind ', 'kind  '),
      reason: /the kind "payment-posting" is declared twice/,
    },
    {
      guards: 'an urgent kind without a target',
      input: VALID.replace(/target_ms.*\n/, ''),
      reason:
        /\[kind payment-posting\] target_ms: is required: an urgent kind needs a target/,
    },
    {
      guards: 'hedging of a kind that must never repeat',
      input: `${TEAM}${POSTING}hedging = yes\n`,
      reason: /hedging: contradicts must_never_repeat/,
    },
    {
      guards: 'an answer without effect',
      input: `${VALID}hedging = no\n`,
      reason: /hedging: is not supported/,
    },
    {
      guards: 'a zero size',
      input: VALID.replace('memory_mb = 256', 'memory_mb = 0'),
      reason: /memory_mb: must be at least 1/,
    },
    {
      guards: 'a negative size',
      input: `${VALID}processors = -1\n`,
      reason: /processors: must be above 0/,
    },
    {
      guards: 'a quota below one task',
      input: VALID.replace('quota_memory_mb = 80000', 'quota_memory_mb = 300'),
      reason:
        /\[kind plan-statement\] memory_mb: one task needs 512, but quota_memory_mb is 300/,
    },
    {
      guards: 'a share above 100',
      input: VALID.replace('share_percent = 30', 'share_percent = 101'),
      reason: /share_percent: must be at most 100/,
    },
    {
      guards: 'a number with trailing text',
      input: VALID.replace('= 120', '= 120ms'),
      reason: /expected_run_ms: must be a whole number/,
    },
    {
      guards: 'a misspelt key',
      input: `${VALID}urgancy = urgent\n`,
      reason: /unknown key "urgancy"; did you mean "urgency"/,
    },
    {
      guards: 'a misspelt section',
      input: `${VALID}[knd x]\n`,
      reason: /unknown section "knd x"/,
    },
    {
      guards: 'Latin-1 bytes',
      input: Buffer.from(`; M\xfcnchen\n${VALID}`, 'latin1'),
      reason: /not UTF-8/,
    },
    {
      guards: 'UTF-16 bytes',
      input: Buffer.from(VALID, 'utf16le'),
      reason: /not UTF-8/,
    },
    {
      guards: 'text that was decoded from another encoding',
      input: `; M\uFFFDnchen\n${VALID}`,
      reason: /not UTF-8/,
    },
    {
      guards: 'a file truncated in a line',
      input: VALID.slice(0, -2),
      reason: /truncated/,
    },
    {
      guards: 'a file truncated in a section',
      input: VALID.slice(0, VALID.indexOf('expected_run_ms = 300')),
      reason: /expected_run_ms: is required/,
    },
    {
      guards: 'an oversized file',
      input: `${VALID}; ${'x'.repeat(65_536)}\n`,
      reason: /oversized/,
    },
    {guards: 'an empty file', input: '\n', reason: /is empty/},
    {guards: 'a team without kinds', input: TEAM, reason: /at least one kind/},
    {
      guards: 'a kind name that would break ids',
      input: VALID.replace('payment-posting', 'a.b'),
      reason: /\[kind a\.b\]: must start with a letter/,
    },
  ];

  for (const {guards, input, reason} of refused) {
    it(`refuses ${guards}`, () => {
      expect(problemsOf(input)).to.match(reason);
    });
  }
});
