import type {TeamPolicy} from '@mustardferry/model';
import {expect} from 'chai';

import {checkContradictions} from '../../src/questionnaire/contradictions.js';
import {diffPolicies} from '../../src/questionnaire/policy_diff.js';
import {generatePolicy} from '../../src/questionnaire/policy_generator.js';
import {writeQuestionnaire} from '../../src/questionnaire/template.js';

function teamWith(name: string, sharePercent: number): TeamPolicy {
  return {...generatePolicy(writeQuestionnaire({team: name})), sharePercent};
}

describe('checkContradictions', () => {
  const cases: readonly {
    guards: string;
    teams: readonly TeamPolicy[];
    reasons: readonly RegExp[];
  }[] = [
    {
      guards: 'accepts decimal shares of exactly 100',
      teams: [teamWith('a', 33.3), teamWith('b', 33.3), teamWith('c', 33.4)],
      reasons: [],
    },
    {
      guards: 'refuses shares above 100 over all teams',
      teams: [teamWith('a', 60), teamWith('b', 40.5)],
      reasons: [/add up to 100.5 percent, above 100: a 60, b 40.5/],
    },
    {
      guards: 'refuses a team declared twice',
      teams: [teamWith('a', 1), teamWith('a', 2)],
      reasons: [/team "a" is declared twice/],
    },
  ];
  for (const {guards, teams, reasons} of cases) {
    it(guards, () => {
      const found = checkContradictions(teams).map(problem => problem.reason);
      expect(found).to.have.length(reasons.length);
      for (const [index, reason] of reasons.entries()) {
        expect(found[index]).to.match(reason);
      }
    });
  }
});

describe('diffPolicies', () => {
  const before = teamWith('a', 10);

  it('names the answer of each change, so that reviewers see what it does', () => {
    const after = {...before, sharePercent: 20, wastedMessageCostMs: 500};
    expect(diffPolicies(before, after)).to.deep.equal([
      'a.team.share_percent: 10 -> 20',
      'a.team.prefer: response-time -> few-messages',
    ]);
  });

  it('reports nothing for equal policies', () => {
    expect(diffPolicies(before, {...before})).to.deep.equal([]);
  });

  it('lists all answers of a new team', () => {
    expect(diffPolicies(undefined, before)[0]).to.equal(
      'a.team.share_percent: (none) -> 10',
    );
  });
});
