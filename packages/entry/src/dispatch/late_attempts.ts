/** Measures which fraction of an upstream's running tasks is late. */
import type {RunTimeEstimator} from '@mustardferry/decisions';

import type {RunningAttempt, TaskEntry} from './task_entry.js';

interface TrackedAttempt {
  readonly entry: TaskEntry;
  readonly attempt: RunningAttempt;
}

/** Ended attempts are removed when an upstream has more entries than this. */
const PRUNE_THRESHOLD = 64;
/** Used when no other task runs on the upstream. */
const DEFAULT_LATE_FRACTION = 0.5;

function isRunning({entry, attempt}: TrackedAttempt): boolean {
  return entry.running.get(attempt.attempt) === attempt;
}

/**
 * Distinguishes a slow upstream from a long task: on a slow upstream, the other
 * tasks are late as well.
 */
export class LateAttempts {
  private readonly byUpstream = new Map<string, TrackedAttempt[]>();

  constructor(private readonly estimator: RunTimeEstimator) {}

  add(entry: TaskEntry, attempt: RunningAttempt): void {
    const list = this.byUpstream.get(attempt.upstream) ?? [];
    list.push({entry, attempt});
    const kept = list.length > PRUNE_THRESHOLD ? list.filter(isRunning) : list;
    this.byUpstream.set(attempt.upstream, kept);
  }

  /** Fraction, 0 to 1, of the other running tasks that exceed their p95 run time. */
  fraction(attempt: RunningAttempt, now: number): number {
    const {upstream} = attempt;
    const running = (this.byUpstream.get(upstream) ?? []).filter(isRunning);
    if (running.length === 0) this.byUpstream.delete(upstream);
    else this.byUpstream.set(upstream, running);
    const others = running.filter(each => each.attempt !== attempt);
    if (others.length === 0) return DEFAULT_LATE_FRACTION;
    const late = others.filter(each => this.isLate(each, now));
    return late.length / others.length;
  }

  private isLate({entry, attempt}: TrackedAttempt, now: number): boolean {
    const {team, kind, expectedRunMs: declaredMs} = entry.queued;
    const {upstream, startedAtMs} = attempt;
    const question = {team, kind, upstream, declaredMs};
    return now - startedAtMs > this.estimator.estimate(question).p95Ms;
  }
}
