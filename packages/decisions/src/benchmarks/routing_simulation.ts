/** Response times of jobs under each routing policy, at one instance. */
import type {Resources} from '@mustardferry/model';
import {type RandomGenerator, xoroshiro128plus} from 'pure-rand';

import {randomFraction, randomIndex} from '../common/random.js';
import type {RoutingPolicy} from '../routing/routing_policy.js';
import type {RunTimeEstimator} from '../routing/run_time_estimator.js';
import {WeightedFairSharing} from '../sharing/weighted_fair_sharing.js';
import {policyOf, taskOf, upstreams, WORKER_CAPACITY} from './fixtures.js';
import {
  lognormal,
  SimulatedInstance,
  type SimulatedRun,
} from './simulated_instance.js';

/** Makes the policy under test. */
export type MakeRouting = (
  estimator: RunTimeEstimator,
  rng: RandomGenerator,
) => RoutingPolicy;

/** Result over the jobs that arrived after the warm-up. */
export interface RoutingResult {
  readonly jobs: number;
  /** Mean and 99th percentile of response over the ideal on an idle system. */
  readonly meanRatio: number;
  readonly p99Ratio: number;
}

interface Job {
  readonly arrivedAtMs: number;
  readonly idealMs: number;
  left: number;
}

const WORKERS = 30;
/** Time factors of the workers, from the fastest to the slowest. */
const SPEEDS = [0.5, 0.7, 1, 1, 1.4, 2];
/** Median run times of the kinds in milliseconds. */
const KIND_MS = [50, 200, 800];
const MAX_TASKS = 8;
const RUN_SIGMA = 0.2;
const WARM_UP_MS = 10_000;
const END_MS = 40_000;

function speedOf(upstream: string): number {
  const index = Number(upstream.slice('upstream-'.length));
  return SPEEDS[index % SPEEDS.length] ?? 1;
}

class RoutingSimulation {
  private readonly rng: RandomGenerator;
  private readonly jobs = new Map<string, Job>();
  private readonly work = new Map<string, number>();
  private readonly ratios: number[] = [];
  private readonly instance: SimulatedInstance;
  private readonly arrivals: number;
  private order = 0;
  private jobOrder = 0;
  private due = 0;

  constructor(makeRouting: MakeRouting, load: number, seed: number) {
    this.rng = xoroshiro128plus(seed);
    const workers = upstreams(WORKERS);
    this.instance = new SimulatedInstance(
      'instance-0',
      new WeightedFairSharing(),
      policyOf([100]),
      workers,
      (task, upstream) => (this.work.get(task.taskId) ?? 0) * speedOf(upstream),
      estimator => makeRouting(estimator, xoroshiro128plus(seed + 1)),
    );
    for (const {key} of workers) {
      this.instance.granted(key, WORKER_CAPACITY.slots);
    }
    const perSlot: Resources = {...WORKER_CAPACITY, slots: 1};
    this.instance.setCapacity(perSlot);
    // Work done by all slots in a millisecond, at the speed of each.
    const rate = workers.reduce(
      (sum, {key}) => sum + WORKER_CAPACITY.slots / speedOf(key),
      0,
    );
    const meanMs = KIND_MS.reduce((sum, ms) => sum + ms, 0) / KIND_MS.length;
    const meanTasks = (1 + MAX_TASKS) / 2;
    this.arrivals = (load * rate) / (meanMs * meanTasks);
  }

  run(): RoutingResult {
    for (let now = 0; now < END_MS; now++) {
      this.due += this.arrivals;
      while (this.due > 0) {
        // Exponential gaps between jobs.
        this.due += Math.log(1 - randomFraction(this.rng));
        this.arrive(now);
      }
      for (const run of this.instance.tick(now).ended) this.end(run);
    }
    const sorted = this.ratios.sort((a, b) => a - b);
    const sum = sorted.reduce((total, ratio) => total + ratio, 0);
    return {
      jobs: sorted.length,
      meanRatio: sum / sorted.length,
      p99Ratio: sorted[Math.floor(sorted.length * 0.99)] ?? NaN,
    };
  }

  private arrive(now: number): void {
    const tasks = 1 + randomIndex(this.rng, MAX_TASKS);
    const kind = randomIndex(this.rng, KIND_MS.length);
    const jobId = `group-${this.jobOrder++}`;
    let longest = 0;
    for (let each = 0; each < tasks; each++) {
      const median = KIND_MS[kind] ?? 0;
      const workMs = median * lognormal(this.rng, RUN_SIGMA);
      longest = Math.max(longest, workMs);
      // Ids must select the kind: taskOf derives it from the order.
      const order = KIND_MS.length * this.order++ + kind;
      const task = {...taskOf(0, order, now, median), jobId};
      this.work.set(task.taskId, workMs);
      this.instance.sharing.enqueue(task, now);
    }
    const idealMs = longest * Math.min(...SPEEDS);
    this.jobs.set(jobId, {arrivedAtMs: now, idealMs, left: tasks});
  }

  private end({task, endAtMs}: SimulatedRun): void {
    this.work.delete(task.taskId);
    const job = this.jobs.get(task.jobId);
    if (!job || --job.left > 0) return;
    this.jobs.delete(task.jobId);
    if (job.arrivedAtMs < WARM_UP_MS) return;
    this.ratios.push((endAtMs - job.arrivedAtMs) / job.idealMs);
  }
}

/** Runs one policy at a load between 0 and 1. */
export function routingResult(
  makeRouting: MakeRouting,
  load: number,
  seed: number,
): RoutingResult {
  return new RoutingSimulation(makeRouting, load, seed).run();
}
