import {expect} from 'chai';

import {type CheckPart, CHECKS} from '../src/checks.js';
import {type Fault, FAULTS} from '../src/faults.js';

/** Steps left out here; `npm run check:model` explores all of them. */
const OMITTED_STEPS = 2;

/** Where to start the search for a fault that is many states away. */
const PARTS: Partial<Record<Fault, CheckPart>> = {
  'no-epoch-check': {prefix: ['a: admit forwarded r', 'a: send start of r']},
};

describe('model checks', () => {
  for (const check of CHECKS) {
    const maxDepth = check.bounds.maxDepth - OMITTED_STEPS;
    it(`${check.name}: the correct version has no violation within ${maxDepth} steps`, () => {
      const {violation, exhaustive} = check.run(null, {maxDepth});
      expect(violation).to.equal(null);
      expect(exhaustive).to.equal(true);
    }).timeout(120_000);
  }

  for (const fault of FAULTS) {
    it(`finds the seeded fault ${fault}, so that the checks can fail`, () => {
      const finders = CHECKS.filter(check => check.finds.includes(fault));
      expect(finders).not.to.be.empty;
      for (const check of finders) {
        const {violation} = check.run(fault, PARTS[fault]);
        expect(violation?.trace).not.to.be.empty;
      }
    }).timeout(120_000);
  }
});
