import crypto from 'node:crypto';
import {syncBuiltinESMExports as syncExports} from 'node:module';

import {expect} from 'chai';

import {AccessControl, type Audience} from '../../src/http/access.js';

const TOKENS = {
  clients: ['client-1', 'client-2'],
  operators: ['operator'],
  upstreams: ['upstream'],
  instances: ['instance'],
};
const AUDIENCES = Object.keys(TOKENS) as Audience[];

describe('AccessControl', () => {
  const access = new AccessControl(TOKENS);
  const allows = (audience: Audience, authorization: string): boolean =>
    access.allows(audience, {authorization});

  for (const audience of AUDIENCES) {
    it(`lets no token of another audience pass for ${audience}`, () => {
      for (const [owner, tokens] of Object.entries(TOKENS)) {
        for (const token of tokens) {
          expect(allows(audience, `Bearer ${token}`)).to.equal(
            owner === audience,
          );
        }
      }
    });
  }

  const bad = [
    '',
    'Bearer',
    'Bearer ',
    'Basic client-1',
    'client-1',
    'Bearer client-1 client-2',
    'Bearer client-',
    'Bearer client-11',
    'Bearer CLIENT-1',
  ];
  for (const header of bad) {
    it(`refuses the header "${header}"`, () => {
      expect(allows('clients', header)).to.equal(false);
      expect(access.allows('clients', {})).to.equal(false);
    });
  }

  it('does not refuse a scheme for its case, which RFC 9110 ignores', () => {
    expect(allows('clients', 'bearer client-2')).to.equal(true);
  });

  it('compares every token in constant time, also after a match', () => {
    const real = crypto.timingSafeEqual;
    let compared = 0;
    const counting = ((a, b) => {
      compared++;
      return real(a, b);
    }) as typeof real;
    crypto.timingSafeEqual = counting;
    // Named imports of built-in modules follow only after this call.
    syncExports();
    try {
      expect(allows('clients', 'Bearer client-1')).to.equal(true);
      expect(allows('clients', 'Bearer x')).to.equal(false);
      expect(compared).to.equal(4);
    } finally {
      crypto.timingSafeEqual = real;
      syncExports();
    }
  });

  it('is open only for an audience without tokens', () => {
    const open = new AccessControl({...TOKENS, clients: []});
    expect(open.allows('clients', {})).to.equal(true);
    expect(open.allows('operators', {})).to.equal(false);
  });
});
