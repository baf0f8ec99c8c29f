import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import {expect} from 'chai';

import {
  checkContradictions,
  generatePolicy,
  loadSettings,
} from '../src/index.js';

const EXAMPLES = fileURLToPath(new URL('../../../examples/', import.meta.url));

function filesIn(folder: string): readonly string[] {
  return readdirSync(`${EXAMPLES}${folder}`)
    .sort()
    .map(name => `${EXAMPLES}${folder}/${name}`);
}

describe('example files', () => {
  const users = [
    {
      folder: 'coop',
      kinds: ['plan-statement', 'payment-posting', 'coverage-check'],
      never: ['payment-posting'],
      costMs: 20,
    },
    {
      folder: 'scheduler',
      kinds: ['recoat-quote', 'sander-availability', 'slot-confirmation'],
      never: ['slot-confirmation'],
      costMs: 500,
    },
  ];
  for (const {folder, kinds, never, costMs} of users) {
    it(`keeps the answers of the ${folder} consistent and complete`, () => {
      const policies = filesIn(folder).map(file =>
        generatePolicy(readFileSync(file), file),
      );
      const all = policies.flatMap(policy => policy.kinds);
      expect(checkContradictions(policies)).to.deep.equal([]);
      expect(all.map(kind => kind.kind)).to.have.members(kinds);
      expect(
        all.filter(kind => !kind.repeatable).map(kind => kind.kind),
      ).to.deep.equal(never);
      expect(all.every(kind => kind.urgency === 'urgent')).to.equal(true);
      expect(
        policies.every(policy => policy.wastedMessageCostMs === costMs),
      ).to.equal(true);
    });
  }

  it('keeps the settings of one deployment in agreement with each other', async () => {
    const settings = await Promise.all(filesIn('deployment').map(loadSettings));
    expect(settings).to.have.length(6);
    for (const {instances, controlVoters} of settings) {
      expect(instances).to.deep.equal(settings[0]?.instances);
      expect(controlVoters).to.deep.equal(settings[0]?.controlVoters);
    }
  });
});
