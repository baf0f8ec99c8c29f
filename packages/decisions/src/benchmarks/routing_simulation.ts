/** Simulates the response times of jobs on one instance, by routing policy. */
import type {Resources} from '@mustardferry/model';
import {type RandomGenerator, xoroshiro128plus} from 'pure-rand';

import {randomFraction, randomIndex} from '../common/random.js';
import type {RoutingPolicy} from '../routing/routing_policy.js';
import type {RunTimeEstimator} from '../routing/run_time_estimator.js';
import {WeightedFairSharing} from '../sharing/weighted_fair_sharing.js';
import {
  createPolicy,
  createTask,
  upstreams,
  WORKER_CAPACITY,
} from './fixtures.js';
import {
  drawLogNormal,
  SimulatedInstance,
  type SimulatedRun,
} from './simulated_instance.js';

/** Creates the policy under test. */
export type CreateRouting = (
  estimator: RunTimeEstimator,
  rng: RandomGenerator,
) => RoutingPolicy;

/** Result over the jobs that arrived after the warm-up. */
export interface RoutingResult {
  readonly jobs: number;
  /** Mean and p99 ratio of response time to the ideal on an idle system. */
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
const TIME_FACTORS = [0.5, 0.7, 1, 1, 1.4, 2];
/** Median run times of the kinds in milliseconds. */
const KIND_MEDIAN_MS = [50, 200, 800];
const MAX_TASKS = 8;
const RUN_SIGMA = 0.2;
const WARM_UP_MS = 10_000;
const END_MS = 40_000;

function getTimeFactor(upstream: string): number {
  const index = Number(upstream.slice('upstream-'.length));
  return TIME_FACTORS[index % TIME_FACTORS.length] ?? 1;
}

class RoutingSimulation {
  private readonly rng: RandomGenerator;
  private readonly jobs = new Map<string, Job>();
  private readonly workMsByTask = new Map<string, number>();
  private readonly ratios: number[] = [];
  private readonly instance: SimulatedInstance;
  private readonly jobsPerMs: number;
  private order = 0;
  private jobOrder = 0;
  private dueJobs = 0;

  constructor(createRouting: CreateRouting, load: number, seed: number) {
    this.rng = xoroshiro128plus(seed);
    const workers = upstreams(WORKERS);
    this.instance = new SimulatedInstance(
      'instance-0',
      new WeightedFairSharing(),
      createPolicy([100]),
      workers,
      (task, upstream) =>
        (this.workMsByTask.get(task.taskId) ?? 0) * getTimeFactor(upstream),
      estimator => createRouting(estimator, xoroshiro128plus(seed + 1)),
    );
    for (const {key} of workers) {
      this.instance.granted(key, WORKER_CAPACITY.slots);
    }
    const perSlot: Resources = {...WORKER_CAPACITY, slots: 1};
    this.instance.setCapacity(perSlot);
    // Work that all slots do in a millisecond, each at its own speed.
    const rate = workers.reduce(
      (sum, {key}) => sum + WORKER_CAPACITY.slots / getTimeFactor(key),
      0,
    );
    const meanMs =
      KIND_MEDIAN_MS.reduce((sum, ms) => sum + ms, 0) / KIND_MEDIAN_MS.length;
    const meanTasks = (1 + MAX_TASKS) / 2;
    this.jobsPerMs = (load * rate) / (meanMs * meanTasks);
  }

  run(): RoutingResult {
    for (let now = 0; now < END_MS; now++) {
      this.dueJobs += this.jobsPerMs;
      while (this.dueJobs > 0) {
        // Exponential gaps between jobs.
        this.dueJobs += Math.log(1 - randomFraction(this.rng));
        this.addJob(now);
      }
      for (const run of this.instance.advanceTo(now).ended) this.end(run);
    }
    const sorted = this.ratios.sort((a, b) => a - b);
    const sum = sorted.reduce((total, ratio) => total + ratio, 0);
    return {
      jobs: sorted.length,
      meanRatio: sum / sorted.length,
      p99Ratio: sorted[Math.floor(sorted.length * 0.99)] ?? NaN,
    };
  }

  private addJob(now: number): void {
    const tasks = 1 + randomIndex(this.rng, MAX_TASKS);
    const kind = randomIndex(this.rng, KIND_MEDIAN_MS.length);
    const jobId = `group-${this.jobOrder++}`;
    let longest = 0;
    for (let each = 0; each < tasks; each++) {
      const median = KIND_MEDIAN_MS[kind] ?? 0;
      const workMs = median * drawLogNormal(this.rng, RUN_SIGMA);
      longest = Math.max(longest, workMs);
      // The order must select the kind, because createTask derives it from it.
      const order = KIND_MEDIAN_MS.length * this.order++ + kind;
      const task = {...createTask(0, order, now, median), jobId};
      this.workMsByTask.set(task.taskId, workMs);
      this.instance.sharing.enqueue(task, now);
    }
    const idealMs = longest * Math.min(...TIME_FACTORS);
    this.jobs.set(jobId, {arrivedAtMs: now, idealMs, left: tasks});
  }

  private end({task, endAtMs}: SimulatedRun): void {
    this.workMsByTask.delete(task.taskId);
    const job = this.jobs.get(task.jobId);
    if (!job || --job.left > 0) return;
    this.jobs.delete(task.jobId);
    if (job.arrivedAtMs < WARM_UP_MS) return;
    this.ratios.push((endAtMs - job.arrivedAtMs) / job.idealMs);
  }
}

/** Simulates one policy at a load between 0 and 1. */
export function simulateRouting(
  createRouting: CreateRouting,
  load: number,
  seed: number,
): RoutingResult {
  return new RoutingSimulation(createRouting, load, seed).run();
}
