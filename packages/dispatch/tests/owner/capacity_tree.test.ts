/** Searches give what a look at every upstream would give. */
import {expect} from 'chai';
import fc from 'fast-check';

import {
  CapacityTree,
  type ResourceVector,
} from '../../src/owner/capacity_tree.js';

interface Leaf extends ResourceVector {
  readonly timeFactor: number;
}

const ROOM = {
  cpuMillis: fc.integer({min: 0, max: 4}),
  memoryMb: fc.integer({min: 0, max: 4}),
  accelerators: fc.integer({min: 0, max: 1}),
};

const LEAVES = fc
  .array(fc.record({...ROOM, timeFactor: fc.integer({min: 1, max: 6})}), {
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

function treeOf(leaves: readonly Leaf[]): CapacityTree<Leaf> {
  return new CapacityTree(leaves, leaf => leaf);
}

describe('RoomTree', () => {
  it('finds the nearest upstream with room in either direction', () => {
    fc.assert(
      fc.property(LEAVES, fc.record(ROOM), fc.nat(20), (leaves, need, at) => {
        const tree = treeOf(leaves);
        const next = leaves.findIndex((l, i) => i >= at && fits(need, l));
        expect(tree.next(need, at)).to.equal(next);
        const previous = leaves.findLastIndex(
          (l, i) => i <= at && fits(need, l),
        );
        expect(tree.previous(need, at)).to.equal(previous);
      }),
    );
  });

  it('follows changes of room, and hides upstreams', () => {
    fc.assert(
      fc.property(
        LEAVES,
        fc.record(ROOM),
        fc.array(fc.tuple(fc.nat(19), fc.option(fc.record(ROOM)))),
        (leaves, need, changes) => {
          const tree = treeOf(leaves);
          const rooms: (ResourceVector | null)[] = [...leaves];
          for (const [at, room] of changes) {
            if (at >= leaves.length) continue;
            rooms[at] = room;
            if (room) tree.update(at, room);
            else tree.exclude(at);
          }
          const next = rooms.findIndex(room => room && fits(need, room));
          expect(tree.next(need, 0)).to.equal(next);
        },
      ),
    );
  });

  it('divides upstreams by their speed', () => {
    fc.assert(
      fc.property(
        LEAVES,
        fc.integer({min: 0, max: 7}),
        (leaves, timeFactor) => {
          const last = leaves.findLastIndex(
            leaf => leaf.timeFactor <= timeFactor,
          );
          expect(treeOf(leaves).findLastWithin(timeFactor)).to.equal(last);
        },
      ),
    );
  });

  it('spreads tasks over upstreams that are equally fast', () => {
    fc.assert(
      fc.property(LEAVES, fc.nat(19), (leaves, at) => {
        const leaf = leaves[at];
        if (!leaf) return;
        const found = leaves[treeOf(leaves).findFreestEquallyFast(at)];
        const alike = leaves.filter(
          ({timeFactor}) => timeFactor === leaf.timeFactor,
        );
        const most = Math.max(...alike.map(({cpuMillis}) => cpuMillis));
        expect(found?.timeFactor).to.equal(leaf.timeFactor);
        expect(found?.cpuMillis).to.equal(most);
      }),
    );
  });
});
