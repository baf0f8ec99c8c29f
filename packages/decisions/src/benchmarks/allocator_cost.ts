/** Measures slot allocations: the first, and those after changed demand. */
import {performance} from 'node:perf_hooks';

import {SlotAllocator} from '../slots/allocate_slots.js';
import {TASK_RESOURCES, upstreams} from './fixtures.js';

/** Milliseconds for the first allocation, and for a later one on average. */
export interface AllocatorCost {
  readonly fullMs: number;
  readonly steadyMs: number;
}

const MEASURED_ROUNDS = 50;
const UNLIMITED_QUOTA = {
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

/** Measures the allocator with the given numbers of workers and teams. */
export function measureAllocatorCost(
  workers: number,
  instances: number,
  teams: number,
): AllocatorCost {
  const allocator = new SlotAllocator();
  allocator.setTeams(
    Array.from({length: teams}, (_, team) => ({
      team: `team-${team}`,
      weight: 1 / teams,
      quota: UNLIMITED_QUOTA,
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
  for (let round = 1; round <= MEASURED_ROUNDS; round++) {
    report(allocator, round % instances, teams, round);
    const from = performance.now();
    allocator.allocate();
    steadyMs += performance.now() - from;
    const {key} = all[round % all.length] ?? {key: ''};
    allocator.releaseCredits(`instance-${round % instances}`, key, 1);
  }
  return {fullMs, steadyMs: steadyMs / MEASURED_ROUNDS};
}
