import {expect} from 'chai';
import fc from 'fast-check';

import {
  createIdempotencyKey,
  findHome,
  HomingError,
  parseJobId,
} from '../../src/homing/home.js';
import {measureKeyMovement} from '../../src/homing/key_movement.js';

const CENTRES = ['north', 'south', 'dc.with.dots'];

describe('homeOf', () => {
  it('gives a job id that parses to its home, so any instance can forward', () => {
    fc.assert(
      fc.property(
        fc.string(),
        fc.string(),
        fc.integer({min: 1, max: 9}),
        (team, suffix, groups) => {
          const home = findHome(
            {team, idempotencyKey: `x${suffix}`},
            CENTRES,
            groups,
          );
          const parsed = parseJobId(home.jobId);
          expect(parsed).to.include({
            dataCentre: home.dataCentre,
            group: home.group,
          });
          expect(home.group).to.be.below(groups);
        },
      ),
      {seed: 1},
    );
  });

  it('ignores the order of the list, which differs between settings files', () => {
    for (let index = 0; index < 200; index++) {
      const key = {team: 't', idempotencyKey: `k${index}`};
      expect(findHome(key, CENTRES, 2)).to.deep.equal(
        findHome(key, [...CENTRES].reverse(), 2),
      );
    }
  });

  it('keeps team and key apart, so no two submissions share a job', () => {
    const one = findHome({team: 'ab', idempotencyKey: 'c'}, CENTRES, 2);
    const two = findHome({team: 'a', idempotencyKey: 'bc'}, CENTRES, 2);
    expect(one.jobId).not.to.equal(two.jobId);
  });

  it('refuses an unknown chosen data centre instead of moving it later', () => {
    expect(() =>
      findHome({team: 't', idempotencyKey: 'dc:west:1'}, CENTRES, 2),
    ).to.throw(HomingError, 'west');
  });

  it('keeps a minted key at the instance that minted it', () => {
    const key = createIdempotencyKey('south', new Uint8Array(16).fill(7));
    expect(
      findHome({team: 't', idempotencyKey: key}, CENTRES, 2).dataCentre,
    ).to.equal('south');
  });

  for (const [reason, centre, bytes] of [
    ['too few random bytes', 'south', 15],
    ['a name with a colon', 'so:uth', 16],
  ] as const) {
    it(`refuses to mint a key with ${reason}`, () => {
      expect(() =>
        createIdempotencyKey(centre, new Uint8Array(bytes)),
      ).to.throw(HomingError);
    });
  }
});

describe('parseJobId', () => {
  const hash = 'A'.repeat(22);
  for (const id of [
    '',
    'x',
    `n.1.${'A'.repeat(21)}`,
    `n.01.${hash}`,
    `.1.${hash}`,
    `n.-1.${hash}`,
  ]) {
    it(`rejects ${JSON.stringify(id)} instead of forwarding to nowhere`, () => {
      expect(parseJobId(id)).to.equal(undefined);
    });
  }
});

describe('keyMovement', () => {
  it('moves only keys won by the new data centre, not most of them', () => {
    const {slots, modulo} = measureKeyMovement(
      CENTRES,
      [...CENTRES, 'new'],
      5_000,
    );
    expect(slots).to.be.within(0.2, 0.3);
    expect(modulo).to.be.above(0.7);
  });
});
