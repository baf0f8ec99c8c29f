/** Figures of one run: response times, waste, goodput, refusals. */
import {build} from 'hdr-histogram-js';

import type {JobOutcome} from '../load/outcomes.js';
import type {TraceJob, TraceWorker} from '../load/trace.js';
import type {StartEvent, WorkerRecords} from '../workers/worker_record.js';
import {startsByValue, type Violation} from './invariants.js';
import {idealResponse, omniscientResponses} from './omniscient.js';

/** Distribution of a measure. */
export interface Distribution {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p99: number;
}

/** Figures of one kind of request. */
export interface KindSummary {
  readonly team: string;
  readonly kind: string;
  readonly urgent: boolean;
  readonly jobs: number;
  readonly complete: number;
  /** Response time divided by the ideal, over complete jobs. */
  readonly slowdown: Distribution;
  readonly responseMs: Distribution;
  /** Mean response time divided by the omniscient scheduler's. */
  readonly omniscientRatio: number;
}

/** Wasted messages per task started, by cause. */
export interface Waste {
  readonly total: number;
  readonly byCause: Readonly<Record<string, number>>;
}

/** Figures of one run. */
export interface RunSummary {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
  readonly kinds: readonly KindSummary[];
  /** Over the jobs of urgent kinds. */
  readonly urgent: Omit<KindSummary, 'team' | 'kind' | 'urgent'>;
  readonly waste: Waste;
  readonly tasksStarted: number;
  /** Work of complete jobs divided by the work offered. */
  readonly goodputPart: number;
  readonly goodputJobsPerS: number;
  readonly results: Readonly<Record<string, number>>;
  /** Answers other than complete by code. */
  readonly codes: Readonly<Record<string, number>>;
  readonly unconfirmedAnswers: number;
  readonly peakConnections: number;
  readonly rejectedConnections: number;
  readonly violations: readonly Violation[];
}

/** Ratios are recorded with this many steps per unit. */
const RATIO_STEPS = 1_000;

/** Distribution of ratios or milliseconds, by an HDR histogram. */
export function distributionOf(values: readonly number[]): Distribution {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2 ** 40,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of values) {
    histogram.recordValue(Math.max(0, Math.round(value * RATIO_STEPS)));
  }
  const at = (percentile: number) =>
    values.length === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / RATIO_STEPS;
  const sum = values.reduce((total, value) => total + value, 0);
  return {
    count: values.length,
    mean: values.length === 0 ? 0 : sum / values.length,
    p50: at(50),
    p99: at(99),
  };
}

function causeOf(start: StartEvent, earlier: StartEvent): string {
  if (start.attempt === earlier.attempt) return 'duplicate';
  const ended = earlier.endMs !== undefined && earlier.endMs <= start.startMs;
  return ended ? 'retry' : 'hedge';
}

/**
 * Wasted messages, seen by the workers: refused starts, starts after a task's
 * first (retries, hedges, duplicates), queries that found the task running,
 * and results that could not be sent because the connection had ended.
 */
export function wasteOf(records: WorkerRecords): Waste {
  const counts: Record<string, number> = {};
  const add = (cause: string, count = 1) => {
    if (count > 0) counts[cause] = (counts[cause] ?? 0) + count;
  };
  for (const refusal of records.refusals) add(`refused-${refusal.refusal}`);
  for (const starts of startsByValue(records).values()) {
    const inOrder = [...starts].sort((a, b) => a.startMs - b.startMs);
    inOrder.slice(1).forEach((start, i) => {
      add(causeOf(start, inOrder[i] ?? start));
    });
  }
  add('unneeded-probe', records.queriesWhileRunning);
  const discarded = records.starts.filter(
    start => start.end === 'done' && start.delivered === false,
  );
  add('discarded-answer', discarded.length);
  const starts = Math.max(1, records.starts.length);
  const byCause = Object.fromEntries(
    Object.entries(counts).map(([cause, count]) => [cause, count / starts]),
  );
  const total = Object.values(byCause).reduce((sum, part) => sum + part, 0);
  return {total, byCause};
}

/** What a summary is computed from. */
export interface RunData {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
  readonly roundTripMs: number;
  readonly durationMs: number;
  readonly jobs: readonly TraceJob[];
  readonly workers: readonly TraceWorker[];
  readonly outcomes: readonly JobOutcome[];
  readonly records: WorkerRecords;
  readonly violations: readonly Violation[];
}

interface JobFigures {
  readonly job: TraceJob;
  readonly complete: boolean;
  readonly responseMs: number;
  readonly idealMs: number;
  readonly omniscientMs: number;
}

function figuresOf(data: RunData): JobFigures[] {
  const {jobs, workers, roundTripMs} = data;
  const omniscient = omniscientResponses(jobs, workers, roundTripMs);
  return data.outcomes.flatMap(outcome => {
    const job = jobs[outcome.index];
    if (job === undefined) return [];
    const complete =
      outcome.result === 'complete' && outcome.answeredMs !== undefined;
    return {
      job,
      complete,
      responseMs: (outcome.answeredMs ?? 0) - outcome.dueMs,
      idealMs: idealResponse(job, workers, roundTripMs),
      omniscientMs: omniscient[job.index] ?? 0,
    };
  });
}

function summarize(figures: readonly JobFigures[]): RunSummary['urgent'] {
  const done = figures.filter(figure => figure.complete);
  const sum = (pick: (figure: JobFigures) => number) =>
    done.reduce((total, figure) => total + pick(figure), 0);
  return {
    jobs: figures.length,
    complete: done.length,
    slowdown: distributionOf(done.map(f => f.responseMs / f.idealMs)),
    responseMs: distributionOf(done.map(f => f.responseMs)),
    omniscientRatio:
      sum(f => f.responseMs) /
      Math.max(
        1e-9,
        sum(f => f.omniscientMs),
      ),
  };
}

function countBy<T>(items: readonly T[], name: (item: T) => string) {
  const counts: Record<string, number> = {};
  for (const item of items) {
    counts[name(item)] = (counts[name(item)] ?? 0) + 1;
  }
  return counts;
}

function workOf(figures: readonly JobFigures[]): number {
  return figures
    .flatMap(figure => figure.job.tasks)
    .reduce((sum, task) => sum + task.runMs, 0);
}

function summarizeKinds(figures: readonly JobFigures[]): KindSummary[] {
  const groups = new Map<string, JobFigures[]>();
  for (const figure of figures) {
    const name = `${figure.job.kind.team}/${figure.job.kind.kind}`;
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [figure]);
    else group.push(figure);
  }
  return [...groups.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .flatMap(([, group]) => {
      const first = group[0];
      if (first === undefined) return [];
      const {team, kind, urgent} = first.job.kind;
      return [{team, kind, urgent, ...summarize(group)}];
    });
}

/** Computes the figures of a run. Cancelled jobs count for no measure. */
export function summarizeRun(data: RunData): RunSummary {
  const kept = data.outcomes.filter(o => o.cancelledMs === undefined);
  const figures = figuresOf({...data, outcomes: kept});
  const done = figures.filter(figure => figure.complete);
  const incomplete = kept.filter(outcome => outcome.result !== 'complete');
  const unconfirmed = kept.filter(
    outcome =>
      outcome.result === 'complete' &&
      outcome.laterQuery?.state === 'unreachable',
  );
  return {
    scenario: data.scenario,
    policy: data.policy,
    seed: data.seed,
    kinds: summarizeKinds(figures),
    urgent: summarize(figures.filter(figure => figure.job.kind.urgent)),
    waste: wasteOf(data.records),
    tasksStarted: data.records.starts.length,
    goodputPart: workOf(done) / Math.max(1, workOf(figures)),
    goodputJobsPerS: (done.length * 1_000) / data.durationMs,
    results: countBy(kept, outcome => outcome.result),
    codes: countBy(incomplete, outcome => outcome.code),
    unconfirmedAnswers: unconfirmed.length,
    peakConnections: data.records.peakConnections,
    rejectedConnections: data.records.rejectedConnections,
    violations: data.violations,
  };
}
