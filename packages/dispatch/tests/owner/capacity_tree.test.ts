/** Compares searches of the tree with a scan of all upstreams. */
import {expect} from 'chai';
import fc from 'fast-check';

import {
  CapacityTree,
  type ResourceVector,
} from '../../src/owner/capacity_tree.js';

interface Leaf extends ResourceVector {
  readonly timeFactor: number;
}

const RESOURCES = {
  cpuMillis: fc.integer({min: 0, max: 4}),
  memoryMb: fc.integer({min: 0, max: 4}),
  accelerators: fc.integer({min: 0, max: 1}),
};

const LEAVES = fc
  .array(fc.record({...RESOURCES, timeFactor: fc.integer({min: 1, max: 6})}), {
    maxLength: 20,
  })
  .map(leaves => leaves.toSorted((a, b) => a.timeFactor - b.timeFactor));

function fits(need: ResourceVector, free: ResourceVector): boolean {
  return (
    need.cpuMillis <= free.cpuMillis &&
    need.memoryMb <= free.memoryMb &&
    need.accelerators <= free.accelerators
  );
}

function createTree(leaves: readonly Leaf[]): CapacityTree<Leaf> {
  return new CapacityTree(leaves, leaf => leaf);
}

describe('CapacityTree', () => {
  it('finds the nearest upstream with enough free capacity in either direction', () => {
    fc.assert(
      fc.property(
        LEAVES,
        fc.record(RESOURCES),
        fc.nat(20),
        (leaves, need, at) => {
          const tree = createTree(leaves);
          const next = leaves.findIndex((l, i) => i >= at && fits(need, l));
          expect(tree.next(need, at)).to.equal(next);
          const previous = leaves.findLastIndex(
            (l, i) => i <= at && fits(need, l),
          );
          expect(tree.previous(need, at)).to.equal(previous);
        },
      ),
    );
  });

  it('reflects changes of free capacity, and excludes upstreams', () => {
    fc.assert(
      fc.property(
        LEAVES,
        fc.record(RESOURCES),
        fc.array(fc.tuple(fc.nat(19), fc.option(fc.record(RESOURCES)))),
        (leaves, need, changes) => {
          const tree = createTree(leaves);
          const capacities: (ResourceVector | null)[] = [...leaves];
          for (const [at, free] of changes) {
            if (at >= leaves.length) continue;
            capacities[at] = free;
            if (free) tree.update(at, free);
            else tree.exclude(at);
          }
          const next = capacities.findIndex(free => free && fits(need, free));
          expect(tree.next(need, 0)).to.equal(next);
        },
      ),
    );
  });

  it('finds the last upstream within a time factor', () => {
    fc.assert(
      fc.property(
        LEAVES,
        fc.integer({min: 0, max: 7}),
        (leaves, timeFactor) => {
          const last = leaves.findLastIndex(
            leaf => leaf.timeFactor <= timeFactor,
          );
          expect(createTree(leaves).findLastWithin(timeFactor)).to.equal(last);
        },
      ),
    );
  });

  it('finds the upstream with the most free CPU among those equally fast', () => {
    fc.assert(
      fc.property(LEAVES, fc.nat(19), (leaves, at) => {
        const leaf = leaves[at];
        if (!leaf) return;
        const found = leaves[createTree(leaves).findFreestEquallyFast(at)];
        const equallyFast = leaves.filter(
          ({timeFactor}) => timeFactor === leaf.timeFactor,
        );
        const maxCpuMillis = Math.max(
          ...equallyFast.map(({cpuMillis}) => cpuMillis),
        );
        expect(found?.timeFactor).to.equal(leaf.timeFactor);
        expect(found?.cpuMillis).to.equal(maxCpuMillis);
      }),
    );
  });
});
