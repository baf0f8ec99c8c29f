/** The jobs of a run with their arrival times, a pure function of the seed. */
import {must} from '@mustardferry/model';
import prand, {type RandomGenerator} from 'pure-rand';

import {kindsOf, type MixKind} from './mixes.js';
import type {Scenario} from './scenario.js';

/** A worker as far as load and ideals depend on it. */
export interface TraceWorker {
  readonly worker: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly speed: number;
  readonly slots: number;
}

/** One task; `value` is unique in the run and comes back in the result. */
export interface TraceTask {
  readonly id: string;
  readonly value: string;
  /** On a worker of speed 1. */
  readonly runMs: number;
  /** As declared, wrong by up to 10 times. */
  readonly expectedRunMs: number;
}

/** How a job is submitted once more. */
export interface Resubmission {
  readonly afterMs: number;
  /** Whether the first connection is broken just before. */
  readonly breakFirst: boolean;
  /** Added to the index of the first instance. */
  readonly instanceOffset: number;
}

/** One job. */
export interface TraceJob {
  readonly index: number;
  readonly atMs: number;
  readonly kind: MixKind;
  readonly key: string;
  /** Index of the instance that gets the first submission. */
  readonly instance: number;
  readonly tasks: readonly TraceTask[];
  readonly resubmissions: readonly Resubmission[];
  /** Missing for a job that is not cancelled. */
  readonly cancelAfterMs?: number;
}

const MEAN_SHORT_MS = 280;
const WORKERS_PER_RACK = 8;
const DECLARATION_ERROR = 10;

/** Seeded random numbers with the distributions that a trace needs. */
class Dice {
  private rng: RandomGenerator;

  constructor(seed: number) {
    this.rng = prand.xoroshiro128plus(seed);
  }

  /** Uniform over 0 to 1. */
  part(): number {
    return (
      (prand.unsafeUniformIntDistribution(0, 2 ** 30, this.rng) + 0.5) /
      (2 ** 30 + 1)
    );
  }

  between(low: number, high: number): number {
    return low + (high - low) * this.part();
  }

  below(limit: number): number {
    return Math.floor(this.part() * limit);
  }

  exponential(mean: number): number {
    return -mean * Math.log(this.part());
  }
}

/** Names of the data centres of a scenario. */
export function dataCentreNames(scenario: Scenario): string[] {
  const count = scenario.deployment.data_centres;
  return Array.from({length: count}, (_, index) => `dc${index + 1}`);
}

/** The workers of a scenario; their speeds differ fourfold in each place. */
export function traceWorkers(scenario: Scenario): TraceWorker[] {
  const places = dataCentreNames(scenario);
  const {workers, slots} = scenario.deployment;
  return Array.from({length: workers}, (_, index) => {
    const dataCentre = must(places[index % places.length], 'no data centre');
    const rank = Math.floor(index / places.length);
    const steps = Math.max(1, Math.ceil(workers / places.length) - 1);
    return {
      worker: `w${index + 1}`,
      dataCentre,
      rack: `${dataCentre}-r${Math.floor(rank / WORKERS_PER_RACK) + 1}`,
      speed: 0.5 * 4 ** (rank / steps),
      slots,
    };
  });
}

/** Task milliseconds of speed 1 that the workers do in one millisecond. */
export function capacityOf(workers: readonly TraceWorker[]): number {
  return workers.reduce((sum, each) => sum + each.speed * each.slots, 0);
}

function pickKind(dice: Dice, scenario: Scenario): MixKind {
  const kinds = kindsOf(scenario.load.users);
  let left = dice.part() * scenario.load.users.length;
  for (const kind of kinds) {
    left -= kind.part;
    if (left <= 0) return kind;
  }
  return must(kinds[0], 'the mix is empty');
}

function runTime(dice: Dice, longPart: number): number {
  if (dice.part() < longPart) return dice.between(2_000, 6_000);
  return Math.min(1_000, 50 + dice.exponential(MEAN_SHORT_MS - 50));
}

/** Mean of `runTime`; the cut at 1,000 ms takes off what lies beyond it. */
function meanRunTime(longPart: number): number {
  const tail = MEAN_SHORT_MS - 50;
  const short = 50 + tail * (1 - Math.exp(-950 / tail));
  return (1 - longPart) * short + longPart * 4_000;
}

function tasksOf(scenario: Scenario, dice: Dice, index: number): TraceTask[] {
  const {tasks_per_job: mean, long_part: longPart} = scenario.load;
  const count = Math.min(64, 1 + Math.floor(dice.exponential(mean - 1)));
  return Array.from({length: count}, (_, position) => {
    const runMs = runTime(dice, longPart) * scenario.run.time_scale;
    const wrongBy = DECLARATION_ERROR ** dice.between(-1, 1);
    return {
      id: `t${position}`,
      value: `${scenario.run.seed}-${index}-${position}`,
      runMs: Math.round(runMs),
      expectedRunMs: Math.max(1, Math.round(runMs * wrongBy)),
    };
  });
}

function resubmissionsOf(scenario: Scenario, dice: Dice): Resubmission[] {
  if (dice.part() >= scenario.load.resubmit_part) return [];
  const count = 1 + dice.below(2);
  return Array.from({length: count}, () => ({
    // A third of them race with the first submission.
    afterMs: dice.part() < 1 / 3 ? 0 : dice.between(5, 3_000),
    breakFirst: dice.part() < 1 / 3,
    instanceOffset: 1 + dice.below(8),
  }));
}

function arrivalFactor(scenario: Scenario, atMs: number): number {
  const {
    burst_factor: factor,
    burst_from_s: from,
    burst_to_s: to,
  } = scenario.load;
  return atMs >= from * 1_000 && atMs < to * 1_000 ? factor : 1;
}

/** Mean number of tasks of a job, with the rounding down of `tasksOf`. */
function meanTasks(mean: number): number {
  const ratio = mean > 1 ? Math.exp(-1 / (mean - 1)) : 0;
  return 1 + ratio / (1 - ratio);
}

/** All jobs of a run in order of arrival. */
export function buildTrace(scenario: Scenario): TraceJob[] {
  const dice = new Dice(scenario.run.seed);
  const {load, run} = scenario;
  const workMs =
    meanTasks(load.tasks_per_job) *
    meanRunTime(load.long_part) *
    run.time_scale;
  const perMs = (capacityOf(traceWorkers(scenario)) * load.fraction) / workMs;
  const jobs: TraceJob[] = [];
  let atMs = 0;
  for (;;) {
    atMs += dice.exponential(1 / (perMs * arrivalFactor(scenario, atMs)));
    if (atMs >= run.duration_s * 1_000) return jobs;
    const index = jobs.length;
    const inWave =
      atMs >= load.cancel_from_s * 1_000 && atMs < load.cancel_to_s * 1_000;
    const cancelled = dice.part() < load.cancel_part && inWave;
    jobs.push({
      index,
      atMs,
      kind: pickKind(dice, scenario),
      key: `bench-${run.seed}-${index}`,
      instance: dice.below(scenario.deployment.instances),
      tasks: tasksOf(scenario, dice, index),
      resubmissions: resubmissionsOf(scenario, dice),
      ...(cancelled ? {cancelAfterMs: dice.between(10, 400)} : {}),
    });
  }
}
