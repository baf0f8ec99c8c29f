import {expect} from 'chai';

import {InvariantError, must} from '../src/errors.js';

describe('must', () => {
  // Guards against treating falsy values as missing.
  for (const value of [0, '', false]) {
    it(`keeps the falsy value ${JSON.stringify(value)}`, () => {
      expect(must(value, 'unused')).to.equal(value);
    });
  }

  for (const value of [null, undefined]) {
    it(`rejects ${String(value)} with the given reason`, () => {
      expect(() => must(value, 'no leader')).to.throw(
        InvariantError,
        'no leader',
      );
    });
  }
});
