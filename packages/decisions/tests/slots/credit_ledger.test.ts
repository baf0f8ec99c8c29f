import {expect} from 'chai';

import {CreditLedger} from '../../src/slots/credit_ledger.js';

describe('CreditLedger', () => {
  it('refuses a task without a free credit, so that no upstream refuses it', () => {
    const ledger = new CreditLedger();
    ledger.granted('w', 1);
    expect([ledger.use('w'), ledger.use('w'), ledger.use('x')]).to.deep.equal([
      true,
      false,
      false,
    ]);
  });

  it('returns credits in use once their tasks end, and no more than asked', () => {
    const ledger = new CreditLedger();
    ledger.granted('w', 3);
    for (let n = 0; n < 3; n++) ledger.use('w');
    expect(ledger.applyLimit(2, ['w'])).to.deep.equal([]);
    expect(ledger.applyLimit(2, ['w'])).to.deep.equal([]);
    expect(ledger.free('w')).to.deep.equal({worker: 'w', credits: 1});
    expect(ledger.free('w')).to.equal(undefined);
    expect(ledger.totals).to.deep.equal({held: 2, inUse: 1, toReturn: 0});
  });
});
