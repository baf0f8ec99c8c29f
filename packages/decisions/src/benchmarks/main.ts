/** Prints decision costs, response times and the shares that teams receive. */
import {
  measureHashSlotBalance,
  measureKeyMovement,
} from '../homing/key_movement.js';
import {
  LeastOutstandingRouting,
  RandomRouting,
  TwoChoicesRouting,
} from '../routing/baseline_routing.js';
import {ExpectedEndRouting} from '../routing/expected_end_routing.js';
import {FirstInFirstOutSharing} from '../sharing/first_in_first_out_sharing.js';
import {WeightedFairSharing} from '../sharing/weighted_fair_sharing.js';
import {measureAllocatorCost} from './allocator_cost.js';
import {measureDecisionCost} from './decision_cost.js';
import {type CreateRouting, simulateRouting} from './routing_simulation.js';
import {
  ShareSimulation,
  type ShareSimulationOptions,
} from './share_simulation.js';

const UPSTREAMS = [30, 300, 1_250];
const TEAMS = [2, 20, 190];
const SHARES = [40, 30, 20, 10];
const RUN_MS = [60, 150, 300, 600];
const WARM_UP_MS = 2_000;
const WINDOW_MS = 10_000;
const BORROW_MS = 5_000;
const MAX_RETURN_MS = 5_000;
const SEEDS = [1, 2, 3];

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function createOptions(seed: number): ShareSimulationOptions {
  return {
    instances: 6,
    workers: 30,
    shares: SHARES,
    runMs: RUN_MS,
    seed,
    createSharing: () => new WeightedFairSharing(),
    isActive: () => true,
  };
}

function printCost(): void {
  printLine('decision cost: dequeue, route, charge, release');
  printLine('upstreams  teams  us/decision  started  waited');
  for (const upstreams of UPSTREAMS) {
    for (const teams of TEAMS) {
      const cost = measureDecisionCost(upstreams, teams);
      const columns = [
        String(upstreams).padStart(9),
        String(teams).padStart(6),
        cost.microseconds.toFixed(2).padStart(12),
        cost.started.toFixed(3).padStart(8),
        cost.waited.toFixed(3).padStart(7),
      ];
      printLine(columns.join(' '));
    }
  }
}

function measureShares(options: ShareSimulationOptions): readonly number[] {
  const simulation = new ShareSimulation(options);
  while (simulation.now < WARM_UP_MS) simulation.step();
  simulation.receivedSlotMs.fill(0);
  while (simulation.now < WARM_UP_MS + WINDOW_MS) simulation.step();
  simulation.checkInvariants();
  const total = simulation.receivedSlotMs.reduce(
    (sum, slots) => sum + slots,
    0,
  );
  return simulation.receivedSlotMs.map(slots => (100 * slots) / total);
}

function printShares(name: string, options: ShareSimulationOptions): void {
  const shares = measureShares(options);
  const worst = Math.max(
    ...shares.map(
      (share, team) => Math.abs(share / (SHARES[team] ?? 1) - 1) * 100,
    ),
  );
  const text = shares.map(share => share.toFixed(2)).join(' / ');
  printLine(
    `${name} seed ${options.seed}: received ${text} of ${SHARES.join(' / ')}, ` +
      `largest relative deviation ${worst.toFixed(2)}%`,
  );
}

/** Time until a team that was idle holds 95% of its share. */
function measureReturnTimeMs(seed: number, team: number): number {
  const wakesAtMs = WARM_UP_MS + BORROW_MS;
  const simulation = new ShareSimulation({
    ...createOptions(seed),
    isActive: (each, now) => each !== team || now >= wakesAtMs,
  });
  while (simulation.now < wakesAtMs) simulation.step();
  const slots = 30 * 8 * ((SHARES[team] ?? 0) / 100);
  while (simulation.now < wakesAtMs + MAX_RETURN_MS) {
    simulation.step();
    if ((simulation.running()[team] ?? 0) >= 0.95 * slots) break;
  }
  return simulation.now - wakesAtMs;
}

const ROUTING_POLICIES: Readonly<Record<string, CreateRouting>> = {
  'expected end': estimator => new ExpectedEndRouting(estimator),
  'expected end, no waits': estimator =>
    new ExpectedEndRouting(estimator, {minWaitGain: Infinity}),
  'least outstanding': () => new LeastOutstandingRouting(),
  'two choices': (_, rng) => new TwoChoicesRouting(rng),
  random: (_, rng) => new RandomRouting(rng),
};

function printRouting(): void {
  printLine('response over ideal on an idle system: mean (p99) for each seed');
  for (const load of [0.5, 0.8]) {
    for (const [name, createRouting] of Object.entries(ROUTING_POLICIES)) {
      const results = SEEDS.map(seed =>
        simulateRouting(createRouting, load, seed),
      );
      const text = results.map(
        ({meanRatio, p99Ratio}) =>
          `${meanRatio.toFixed(3)} (${p99Ratio.toFixed(2)})`,
      );
      printLine(`load ${load}, ${name}: ${text.join(', ')}`);
    }
  }
}

function main(): void {
  const before = ['bavaria-south', 'pakistan-central', 'third'];
  const moved = measureKeyMovement(before, [...before, 'fourth'], 100_000);
  printLine(
    `keys moved from 3 to 4 data centres: fixed slots ` +
      `${(moved.slots * 100).toFixed(2)}%, modulo ` +
      `${(moved.modulo * 100).toFixed(2)}%`,
  );
  const balance = measureHashSlotBalance(before).map(part =>
    (part * 100).toFixed(1),
  );
  printLine(`slots by data centre: ${balance.join('% / ')}%`);
  printCost();
  for (const workers of UPSTREAMS) {
    const {fullMs, steadyMs} = measureAllocatorCost(workers, 16, 190);
    printLine(
      `allocator, ${workers} workers, 16 instances, 190 teams: ` +
        `first ${fullMs.toFixed(2)} ms, then ${steadyMs.toFixed(2)} ms`,
    );
  }
  printRouting();
  for (const seed of SEEDS) printShares('weighted fair', createOptions(seed));
  printShares('first in, first out', {
    ...createOptions(1),
    createSharing: () => new FirstInFirstOutSharing(),
  });
  for (const team of SHARES.keys()) {
    const times = SEEDS.map(seed => measureReturnTimeMs(seed, team));
    printLine(`team-${team} gets its share back after ${times.join(', ')} ms`);
  }
}

main();
