import {expect} from 'chai';

import {
  judgeReport,
  KnownRedFormatError,
  parseKnownRed,
} from '../scripts/test_verdict.mjs';

const LISTED = {
  test: 'log keeps its entries',
  command: 'npx mocha -f "log keeps"',
  seen: 'expected 0 to equal 1',
  issue: 'open: entries are lost',
};
const SOAK = {
  ...LISTED,
  test: 'soak seed 11',
  command: 'npm run soak -- --seed 11 --seconds 15',
};
const BENCH = {...LISTED, test: 'kill test', command: 'npm run bench -- kills'};

function reportOf(passes: string[], failures: string[], pending: string[]) {
  const tests = (titles: string[]) => titles.map(fullTitle => ({fullTitle}));
  return {
    passes: tests(passes),
    failures: tests(failures),
    pending: tests(pending),
  };
}

describe('verdict of the CI script', () => {
  const cases = [
    {
      title: 'counts an unlisted failure',
      report: reportOf(['a', 'b'], ['c'], []),
      known: [],
      exitCode: 1,
      expected: [2, 1],
      says: 'FAILED c',
    },
    {
      title: 'passes over a listed failure, but prints its entry',
      report: reportOf(['a'], [LISTED.test], []),
      known: [LISTED],
      exitCode: 1,
      expected: [1, 0],
      says: LISTED.issue,
    },
    {
      title: 'does not pass over a failure whose title only begins alike',
      report: reportOf(['a'], [LISTED.test, `${LISTED.test} twice`], []),
      known: [LISTED],
      exitCode: 2,
      expected: [1, 1],
      says: 'FAILED log keeps its entries twice',
    },
    {
      title: 'fails when a listed test passes, so that its entry is removed',
      report: reportOf([LISTED.test], [], []),
      known: [LISTED],
      exitCode: 0,
      expected: [1, 1],
      says: 'remove its entry from KNOWN-RED.txt',
    },
    {
      title: 'fails when a listed test did not run',
      report: reportOf(['a'], [], []),
      known: [LISTED],
      exitCode: 0,
      expected: [1, 1],
      says: 'did not run',
    },
    {
      title: 'prints a listed bench without counting it',
      report: reportOf(['a'], [], []),
      known: [BENCH],
      exitCode: 0,
      expected: [1, 0],
      says: 'not run here',
    },
    {
      title: 'prints a listed soak without counting it',
      report: reportOf(['a'], [], []),
      known: [SOAK],
      exitCode: 0,
      expected: [1, 0],
      says: 'not run here',
    },
    {
      title: 'prints a listed demo without counting it',
      report: reportOf(['a'], [], []),
      known: [{...SOAK, command: 'npm run demo'}],
      exitCode: 0,
      expected: [1, 0],
      says: 'not run here',
    },
    {
      title: 'fails when a test was skipped',
      report: reportOf(['a'], [], ['b']),
      known: [],
      exitCode: 0,
      expected: [1, 1],
      says: 'b was skipped',
    },
    {
      title: 'fails when no test ran',
      report: reportOf([], [], []),
      known: [],
      exitCode: 0,
      expected: [0, 1],
      says: 'no test ran',
    },
    {
      title: 'fails when the runner died after its report',
      report: reportOf(['a'], [], []),
      known: [],
      exitCode: 134,
      expected: [1, 1],
      says: 'exit code 134',
    },
  ];
  for (const {title, report, known, exitCode, expected, says} of cases) {
    it(title, () => {
      const verdict = judgeReport(report, known, exitCode);
      expect([verdict.passed, verdict.failed]).to.deep.equal(expected);
      expect(verdict.lines.join('\n')).to.include(says);
    });
  }
});

describe('list of known failures', () => {
  it('keeps all members, with or without blank lines between entries', () => {
    const entry = 'test: t\ncommand: c\nseen: s\n  more\nissue: i\n';
    const expected = {test: 't', command: 'c', seen: 's more', issue: 'i'};
    const text = `${entry}${entry}\n${entry}`;
    expect(parseKnownRed(text)).to.deep.equal([expected, expected, expected]);
    expect(parseKnownRed('')).to.deep.equal([]);
  });

  const malformed = [
    {title: 'an entry without its title', text: 'log keeps its entries\n'},
    {
      title: 'an entry without an issue',
      text: 'test: t\ncommand: c\nseen: s\n',
    },
    {title: 'an entry without a command', text: 'test: t\nseen: s\nissue: i\n'},
  ];
  for (const {title, text} of malformed) {
    it(`refuses ${title}, so that no failure is passed over by mistake`, () => {
      expect(() => parseKnownRed(text)).to.throw(KnownRedFormatError);
    });
  }
});
