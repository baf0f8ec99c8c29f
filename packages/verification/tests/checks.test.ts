import {expect} from 'chai';

import {CHECKS} from '../src/checks.js';
import {FAULTS} from '../src/faults.js';

describe('model checks', () => {
  for (const check of CHECKS) {
    it(`${check.name}: the correct version has no violation`, () => {
      const {violation, exhaustive} = check.run(null);
      expect(violation).to.equal(null);
      expect(exhaustive).to.equal(true);
    }).timeout(120_000);
  }

  for (const fault of FAULTS) {
    it(`finds the seeded fault ${fault}, so that the checks can fail`, () => {
      const finders = CHECKS.filter(check => check.finds.includes(fault));
      expect(finders).not.to.be.empty;
      for (const check of finders) {
        const {violation} = check.run(fault);
        expect(violation?.trace).not.to.be.empty;
      }
    }).timeout(120_000);
  }
});
