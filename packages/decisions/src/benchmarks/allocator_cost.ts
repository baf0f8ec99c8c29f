/** Cost of slot allocations, from nothing and after changes of demand. */
import {performance} from 'node:perf_hooks';

import {SlotAllocator} from '../slots/allocate_slots.js';
import {TASK_RESOURCES, upstreams} from './fixtures.js';

/** Milliseconds for one allocation. */
export interface AllocatorCost {
  readonly fullMs: number;
  readonly steadyMs: number;
}

const ROUNDS = 50;
const UNLIMITED = {
  slots: 1e9,
  processors: 1e9,
  memoryMb: 1e12,
  accelerators: 1e9,
};

function report(
  allocator: SlotAllocator,
  instance: number,
  teams: number,
  round: number,
): void {
  allocator.setDemand({
    instance: `instance-${instance}`,
    weight: 1,
    teams: Array.from({length: teams}, (_, team) => {
      const slots = (instance * 31 + team * 17 + round * 7) % 23;
      const {processors, memoryMb} = TASK_RESOURCES;
      return {
        team: `team-${team}`,
        demand: {
          slots,
          processors: processors * slots,
          memoryMb: memoryMb * slots,
          accelerators: 0,
        },
      };
    }),
  });
}

/** Measures one size. */
export function allocatorCost(
  workers: number,
  instances: number,
  teams: number,
): AllocatorCost {
  const allocator = new SlotAllocator();
  allocator.setTeams(
    Array.from({length: teams}, (_, team) => ({
      team: `team-${team}`,
      weight: 1 / teams,
      quota: UNLIMITED,
    })),
  );
  const all = upstreams(workers);
  for (const {key, rack, capacity} of all) {
    allocator.setWorker({worker: key, rack, speedFactor: 1, capacity});
  }
  for (let each = 0; each < instances; each++)
    report(allocator, each, teams, 0);
  const start = performance.now();
  allocator.allocate();
  const fullMs = performance.now() - start;
  let steadyMs = 0;
  for (let round = 1; round <= ROUNDS; round++) {
    report(allocator, round % instances, teams, round);
    const from = performance.now();
    allocator.allocate();
    steadyMs += performance.now() - from;
    const {key} = all[round % all.length] ?? {key: ''};
    allocator.releaseCredits(`instance-${round % instances}`, key, 1);
  }
  return {fullMs, steadyMs: steadyMs / ROUNDS};
}
