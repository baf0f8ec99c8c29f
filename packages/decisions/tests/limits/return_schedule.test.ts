import {expect} from 'chai';
import fc from 'fast-check';

import {
  type RefusedRequest,
  ReturnSchedule,
} from '../../src/limits/return_schedule.js';
import {
  type Returning,
  simulateRefusals,
  SPARE_FRACTION,
} from './refusal_simulation.js';

const REQUEST: RefusedRequest = {
  now: 0,
  work: 10,
  capacityPerMs: 1,
  demandPerMs: 0.75,
  backlogMs: 0,
  objectiveMs: 100,
};

describe('ReturnSchedule', () => {
  it('does not send a refused burst back as a second burst', () => {
    const schedule = new ReturnSchedule();
    const perSecond = new Map<number, number>();
    for (let i = 0; i < 100; i++) {
      const after = schedule.reserve({...REQUEST, now: i});
      perSecond.set(after, (perSecond.get(after) ?? 0) + REQUEST.work);
    }
    // A quarter of 1,000 units a second is spare.
    expect([...perSecond.values()]).to.deep.equal([250, 250, 250, 250]);
  });

  it('does not call callers back while a backlog is worked off', () => {
    const after = new ReturnSchedule().reserve({...REQUEST, backlogMs: 2_100});
    expect(after).to.equal(3);
  });

  it('does not let patient callers take the place of urgent ones', () => {
    const schedule = new ReturnSchedule();
    expect(schedule.reserve({...REQUEST, objectiveMs: 1_500})).to.equal(2);
    expect(schedule.reserve(REQUEST)).to.equal(1);
  });

  it('uses its places again as time passes', () => {
    const schedule = new ReturnSchedule();
    for (let i = 0; i < 25; i++) schedule.reserve(REQUEST);
    expect(schedule.reserve(REQUEST)).to.equal(2);
    expect(schedule.reserve({...REQUEST, now: 2_000})).to.equal(1);
  });

  it('names a whole number of seconds within its bounds for any load', () => {
    const amount = fc.double({min: 0, max: 1e9, noNaN: true});
    const request = fc.record({
      now: fc.integer({min: 0, max: 100_000}),
      work: amount,
      capacityPerMs: amount,
      demandPerMs: amount,
      backlogMs: fc.oneof(amount, fc.constant(Infinity)),
      objectiveMs: amount,
    });
    fc.assert(
      fc.property(fc.array(request, {maxLength: 50}), requests => {
        const schedule = new ReturnSchedule();
        for (const each of requests) {
          const after = schedule.reserve(each);
          expect(Number.isInteger(after)).to.equal(true);
          expect(after).to.be.within(1, 30);
        }
      }),
      {seed: 7, numRuns: 200},
    );
  });
});

describe('return of refused callers under load', () => {
  const cases: readonly {
    readonly load: string;
    readonly bursts: Parameters<typeof simulateRefusals>[0]['bursts'];
    readonly capacityDrop?: {fromMs: number; toMs: number; factor: number};
  }[] = [
    {
      load: 'a burst of one kind at 2.6 times its rate',
      bursts: [{kind: 0, fromMs: 2_000, toMs: 6_000, factor: 2.6}],
    },
    {
      load: 'bursts of two kinds one after the other',
      bursts: [
        {kind: 0, fromMs: 2_000, toMs: 5_000, factor: 2.6},
        {kind: 1, fromMs: 5_000, toMs: 8_000, factor: 2.6},
      ],
    },
    {
      load: 'a quarter of the upstreams eight times slower for 8 s',
      bursts: [],
      capacityDrop: {fromMs: 2_000, toMs: 10_000, factor: 0.75 + 0.25 / 8},
    },
    {
      load: 'a data centre out of three lost for 6 s',
      bursts: [],
      capacityDrop: {fromMs: 2_000, toMs: 8_000, factor: 2 / 3},
    },
  ];

  for (const {load, bursts, capacityDrop} of cases) {
    for (const obedience of [1, 0.5]) {
      const play = (returning: Returning) =>
        simulateRefusals({
          seed: 11,
          bursts,
          capacityDrop,
          returning,
          obedience,
        });
      const callers = obedience === 1 ? 'all' : 'half of the';

      it(`refuses callers less often than with one second for all: ${load}, ${callers} callers obey`, () => {
        expect(play('scheduled').refusals).to.be.below(
          play('after-a-second').refusals,
        );
      });

      it(`causes no second wave: ${load}, ${callers} callers obey`, () => {
        const {highestReturn} = play('scheduled');
        const constant = play('after-a-second').highestReturn;
        if (obedience === 1) expect(highestReturn).to.be.below(SPARE_FRACTION);
        expect(highestReturn).to.be.below(constant);
      });
    }
  }
});
