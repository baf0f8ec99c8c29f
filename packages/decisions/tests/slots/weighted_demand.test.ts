import {RESOURCE_NAMES, type Resources} from '@mustardferry/model';
import {expect} from 'chai';
import fc from 'fast-check';

import {computeSatisfiedFractions} from '../../src/slots/weighted_demand.js';
import {createResources} from '../fixtures.js';

const CAPACITY = createResources(100, {
  processors: 200,
  memoryMb: 1_000,
  accelerators: 10,
});

function createDemand(slots: number, part: Partial<Resources> = {}): Resources {
  return createResources(slots, {processors: 0, memoryMb: 0, ...part});
}

describe('computeSatisfiedFractions', () => {
  for (const [title, demands, expected] of [
    [
      'meets demand below capacity in full',
      [
        {weight: 1, demand: createDemand(40)},
        {weight: 9, demand: createDemand(60)},
      ],
      [1, 1],
    ],
    [
      'divides by weight under overload',
      [
        {weight: 3, demand: createDemand(100)},
        {weight: 1, demand: createDemand(100)},
      ],
      [0.75, 0.25],
    ],
    [
      'redistributes what a small demand leaves',
      [
        {weight: 1, demand: createDemand(10)},
        {weight: 1, demand: createDemand(180)},
      ],
      [1, 0.5],
    ],
    // Both have a dominant share of 2; processors are exhausted at a third.
    [
      'compares dominant shares',
      [
        {weight: 1, demand: createDemand(10, {processors: 400})},
        {weight: 1, demand: createDemand(200, {processors: 200})},
      ],
      [1 / 3, 1 / 3],
    ],
    [
      'lets other teams grow when accelerators are exhausted',
      [
        {weight: 3, demand: createDemand(2, {accelerators: 20})},
        {weight: 1, demand: createDemand(200)},
      ],
      [0.5, 0.495],
    ],
  ] as const) {
    it(title, () => {
      const fractions = computeSatisfiedFractions(demands, CAPACITY);
      expected.forEach((fraction, n) =>
        expect(fractions[n]).to.be.closeTo(fraction, 1e-6),
      );
    });
  }

  it('stays within the capacity and leaves no demanded resource idle', () => {
    const demand = fc.record({
      slots: fc.nat(200),
      processors: fc.nat(200),
      memoryMb: fc.nat(2_000),
      accelerators: fc.nat(5),
    });
    const team = fc.record({
      weight: fc.double({min: 0.001, max: 1, noNaN: true}),
      demand,
    });
    fc.assert(
      fc.property(fc.array(team, {maxLength: 12}), teams => {
        const fractions = computeSatisfiedFractions(teams, CAPACITY);
        const used = (name: keyof Resources) =>
          teams.reduce(
            (sum, each, n) => sum + each.demand[name] * (fractions[n] ?? 0),
            0,
          );
        for (const name of RESOURCE_NAMES)
          expect(used(name)).to.be.at.most(CAPACITY[name] * (1 + 1e-6));
        teams.forEach((each, n) => {
          if ((fractions[n] ?? 0) > 1 - 1e-6) return;
          const full = RESOURCE_NAMES.filter(
            name => used(name) >= CAPACITY[name] * (1 - 1e-5),
          );
          expect(full.some(name => each.demand[name] > 0)).to.be.true;
        });
      }),
      {seed: 11, numRuns: 500},
    );
  });
});
