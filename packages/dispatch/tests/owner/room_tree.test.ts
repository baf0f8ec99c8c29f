/** Searches give what a look at every upstream would give. */
import {expect} from 'chai';
import fc from 'fast-check';

import {type Room, RoomTree} from '../../src/owner/room_tree.js';

interface Leaf extends Room {
  readonly factor: number;
}

const ROOM = {
  cpuMillis: fc.integer({min: 0, max: 4}),
  memoryMb: fc.integer({min: 0, max: 4}),
  accelerators: fc.integer({min: 0, max: 1}),
};

const LEAVES = fc
  .array(fc.record({...ROOM, factor: fc.integer({min: 1, max: 6})}), {
    maxLength: 20,
  })
  .map(leaves => leaves.toSorted((a, b) => a.factor - b.factor));

function fits(need: Room, free: Room): boolean {
  return (
    need.cpuMillis <= free.cpuMillis &&
    need.memoryMb <= free.memoryMb &&
    need.accelerators <= free.accelerators
  );
}

function treeOf(leaves: readonly Leaf[]): RoomTree<Leaf> {
  return new RoomTree(leaves, leaf => leaf);
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
          const rooms: (Room | null)[] = [...leaves];
          for (const [at, room] of changes) {
            if (at >= leaves.length) continue;
            rooms[at] = room;
            if (room) tree.update(at, room);
            else tree.hide(at);
          }
          const next = rooms.findIndex(room => room && fits(need, room));
          expect(tree.next(need, 0)).to.equal(next);
        },
      ),
    );
  });

  it('divides upstreams by their speed', () => {
    fc.assert(
      fc.property(LEAVES, fc.integer({min: 0, max: 7}), (leaves, factor) => {
        const last = leaves.findLastIndex(leaf => leaf.factor <= factor);
        expect(treeOf(leaves).lastWithin(factor)).to.equal(last);
      }),
    );
  });

  it('spreads tasks over upstreams that are equally fast', () => {
    fc.assert(
      fc.property(LEAVES, fc.nat(19), (leaves, at) => {
        const leaf = leaves[at];
        if (!leaf) return;
        const found = leaves[treeOf(leaves).roomiestLike(at)];
        const alike = leaves.filter(({factor}) => factor === leaf.factor);
        const most = Math.max(...alike.map(({cpuMillis}) => cpuMillis));
        expect(found?.factor).to.equal(leaf.factor);
        expect(found?.cpuMillis).to.equal(most);
      }),
    );
  });
});
