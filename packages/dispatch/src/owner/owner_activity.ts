/** Counts and durations of an owner's work, for logs and metrics. */
import type {Metrics} from '@mustardferry/runtime';

/** Orders to upstreams: from the order to its answer, or to its timeout. */
export type MeasuredOrder = 'start' | 'stop' | 'hold';

/** Steps that only an owner takes. */
export type OwnerStep =
  /** One pass over the queued tasks of a pool. */
  | 'pass'
  /** From the proposal of a command to its commit. */
  | 'commit';

/** Durations that are summarised, in milliseconds. */
export type MeasuredStep = MeasuredOrder | OwnerStep;

/** Summary of the durations of one step. */
export interface StepSummary {
  readonly count: number;
  readonly meanMs: number;
  readonly longestMs: number;
}

/** Counts since the last report. */
export interface ActivityCounts {
  /** Tasks considered in passes over the queues. */
  readonly offered: number;
  /** Upstreams examined for these tasks. */
  readonly examined: number;
  readonly started: number;
  /** Starts of jobs that were no longer expected to meet their objective. */
  readonly startedLate: number;
  /** Orders without an answer before their timeout. */
  readonly unanswered: number;
  /** Orders that were certainly not sent. */
  readonly notSent: number;
}

/** Counts and duration summaries since the last report. */
export interface ActivityReport extends ActivityCounts {
  readonly steps: Readonly<Partial<Record<MeasuredStep, StepSummary>>>;
  /** Processor time of the process in ms since the last report. */
  readonly cpuMs: number;
}

interface DurationSum {
  count: number;
  totalMs: number;
  longestMs: number;
}

const ZERO_COUNTS: ActivityCounts = {
  offered: 0,
  examined: 0,
  started: 0,
  startedLate: 0,
  unanswered: 0,
  notSent: 0,
};

/** Accumulates durations and counts between reports. */
export class OwnerActivity {
  private durations = new Map<MeasuredStep, DurationSum>();
  private counts: Record<keyof ActivityCounts, number> = {...ZERO_COUNTS};
  private cpu = process.cpuUsage();

  /** @param metricPrefix First part of the names of the metrics. */
  constructor(
    private readonly metrics: Metrics,
    private readonly metricPrefix: 'owner' | 'carrier' = 'owner',
  ) {}

  /** Adds the duration of a step in milliseconds, also to the metrics. */
  recordDuration(step: OwnerStep, ms: number): void {
    this.metrics.timing(`owner.${step}`, ms);
    this.add(step, ms);
  }

  /** Adds the duration of an order in milliseconds, also to the metrics. */
  recordOrder(order: MeasuredOrder, ms: number): void {
    this.metrics.timing(`${this.metricPrefix}.${order}`, ms);
    this.add(order, ms);
  }

  count(event: keyof ActivityCounts): void {
    this.counts[event]++;
  }

  /** Returns the counts and durations since the last call, and resets them. */
  takeReport(): ActivityReport {
    const steps: Partial<Record<MeasuredStep, StepSummary>> = {};
    for (const [step, sum] of this.durations)
      steps[step] = summarizeDurations(sum);
    const {user, system} = process.cpuUsage(this.cpu);
    this.cpu = process.cpuUsage();
    const cpuMs = Math.round((user + system) / 1_000);
    const report = {...this.counts, steps, cpuMs};
    this.durations = new Map();
    this.counts = {...ZERO_COUNTS};
    return report;
  }

  private add(step: MeasuredStep, ms: number): void {
    let sum = this.durations.get(step);
    if (!sum) {
      sum = {count: 0, totalMs: 0, longestMs: 0};
      this.durations.set(step, sum);
    }
    sum.count++;
    sum.totalMs += ms;
    sum.longestMs = Math.max(sum.longestMs, ms);
  }
}

function summarizeDurations({
  count,
  totalMs,
  longestMs,
}: DurationSum): StepSummary {
  return {
    count,
    meanMs: Math.round((totalMs / count) * 10) / 10,
    longestMs: Math.round(longestMs),
  };
}
