import {expect} from 'chai';

import {TermHandover} from '../../src/instance/term_handover.js';

describe('TermHandover', () => {
  let handover: TermHandover;

  beforeEach(() => {
    handover = new TermHandover('self');
    for (const leader of ['m1', 'm2', null, 'self', null]) {
      handover.observeLeader(leader);
    }
  });

  const causes = [
    {cause: 'leader-silent', predecessor: 'm2'},
    // Its connections broke, so no order goes to it anyway.
    {cause: 'leader-lost', predecessor: null},
    // It handed its leadership over and carries orders from now on.
    {cause: 'transfer', predecessor: null},
  ] as const;
  for (const {cause, predecessor} of causes) {
    it(`names ${predecessor ?? 'no leader'} as silent after ${cause}`, () => {
      const change = {leader: true, term: 2, cause, earlierLeaseMs: 0};
      expect(handover.findSilentPredecessor(change)).to.equal(predecessor);
    });
  }

  it('keeps the speeds of the newest term, whatever arrives late', () => {
    expect(handover.speeds).to.equal(null);
    for (const term of [1, 3, 2]) {
      const speeds = {mean: term, upstreams: []};
      handover.receiveSpeeds({type: 'speeds', term, speeds});
    }
    expect(handover.speeds?.mean).to.equal(3);
  });
});
