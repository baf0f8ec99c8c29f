/**
 * Routes each task so that the last task of its job is expected to end
 * soonest, as list scheduling on machines of different speed does (Graham,
 * 1969), with learned run times.
 */
import {SPEED_BUCKETS, speedBucket} from './candidate_group.js';
import type {Candidate, CandidateIndex} from './candidate_index.js';
import {
  isEligible,
  NO_UPSTREAM,
  type RoutableTask,
  type RoutingDecision,
  RoutingPolicy,
} from './routing_policy.js';
import type {KindEstimates, RunTimeEstimator} from './run_time_estimator.js';

/** Options of the policy. */
export interface ExpectedEndRoutingOptions {
  /**
   * Gain that a wait must promise, as part of the run time. Default 0.5: with
   * 0.1 the mean response at 80% load was longer than without waits, because
   * the slot waited for is taken from another task.
   */
  readonly minWaitGain?: number;
  /** Tasks that may run at once on an upstream of unknown speed. Default 1. */
  readonly maxExplorations?: number;
}

/** Candidates estimated in one decision; keeps its cost independent of size. */
const MAX_ESTIMATED = 12;
/** Candidates estimated in one speed bucket. */
const MAX_PER_BUCKET = 4;
/** Candidates passed over in one decision as too small or excluded. */
const MAX_EXAMINED = 256;
/** Ends within this factor of the best are equal: estimates are not finer. */
const TIE_FACTOR = 1.05;
/** Least gain in milliseconds that justifies a wait; below it is noise. */
const MIN_WAIT_GAIN_MS = 2;

/** Time for a waiting task to ask again after its wait. */
const RESERVATION_GRACE_MS = 5;
/** Reservations kept; all are dropped when there would be more. */
const MAX_RESERVATIONS = 1_024;

interface Estimated {
  readonly candidate: Candidate;
  readonly runMs: number;
}

interface Reservation {
  readonly taskId: string;
  readonly untilMs: number;
}

/** Expected-end routing; costs the same for any number of candidates. */
export class ExpectedEndRouting extends RoutingPolicy {
  private readonly minWaitGain: number;
  private readonly maxExplorations: number;
  /** Upstreams about to be free that a waiting task counts on. */
  private readonly reservations = new Map<string, Reservation>();
  private turn = 0;

  constructor(
    private readonly estimator: RunTimeEstimator,
    options: ExpectedEndRoutingOptions = {},
  ) {
    super();
    this.minWaitGain = options.minWaitGain ?? 0.5;
    this.maxExplorations = options.maxExplorations ?? 1;
  }

  override choose(
    task: RoutableTask,
    candidates: CandidateIndex,
    now: number,
  ): RoutingDecision {
    this.turn++;
    const explored = this.explore(task, candidates);
    if (explored) return this.start(task, explored, 'exploration');
    const found = this.sample(task, candidates, now, 'fastest');
    const best = this.pick(task, found);
    if (!best) return NO_UPSTREAM;
    const within = this.withinJob(task, candidates, best, now);
    if (within) return this.start(task, within, 'within-job-end');
    const wait = task.waited
      ? undefined
      : this.waitFor(task, candidates, best, now);
    return wait ?? this.start(task, best, 'fastest-end');
  }

  private start(
    task: RoutableTask,
    {candidate, runMs}: Estimated,
    reason: 'exploration' | 'fastest-end' | 'within-job-end',
  ): RoutingDecision {
    const upstream = candidate.upstream.key;
    if (this.reservations.get(upstream)?.taskId === task.taskId) {
      this.reservations.delete(upstream);
    }
    return {type: 'start', upstream, expectedRunMs: runMs, reason};
  }

  private estimates(task: RoutableTask): KindEstimates {
    const {team, kind, expectedRunMs} = task;
    return this.estimator.estimatesOf(team, kind, expectedRunMs);
  }

  /** An upstream of unknown speed, for tasks that are not urgent. */
  private explore(
    task: RoutableTask,
    candidates: CandidateIndex,
  ): Estimated | undefined {
    if (task.urgency === 'urgent') return undefined;
    for (const {fresh} of candidates.groupsOf(task.kind)) {
      const list = fresh.bucket(0);
      for (let step = 0; step < Math.min(list.length, MAX_PER_BUCKET); step++) {
        const candidate = list[(this.turn + step) % list.length];
        if (!candidate || candidate.running >= this.maxExplorations) continue;
        if (!isEligible(task, candidate)) continue;
        const runMs = this.estimates(task).p50Ms(candidate.upstream.key);
        return {candidate, runMs};
      }
    }
    return undefined;
  }

  /** Estimates a bounded number of free upstreams, by speed. */
  private sample(
    task: RoutableTask,
    candidates: CandidateIndex,
    now: number,
    order: 'fastest' | 'slowest',
  ): readonly Estimated[] {
    const estimates = this.estimates(task);
    const found: Estimated[] = [];
    let examined = 0;
    for (let step = 0; step < SPEED_BUCKETS; step++) {
      const bucket = order === 'fastest' ? step : SPEED_BUCKETS - 1 - step;
      for (const {bySpeed} of candidates.groupsOf(task.kind)) {
        const list = bySpeed.bucket(bucket);
        let taken = 0;
        for (let offset = 0; offset < list.length; offset++) {
          const candidate = list[(this.turn + offset) % list.length];
          if (taken >= MAX_PER_BUCKET) break;
          if (examined++ >= MAX_EXAMINED && found.length > 0) return found;
          if (!candidate || !this.usable(task, candidate, now)) continue;
          const runMs = estimates.p50Ms(candidate.upstream.key);
          found.push({candidate, runMs});
          taken++;
        }
        if (found.length >= MAX_ESTIMATED) return found;
      }
    }
    return found;
  }

  private usable(
    task: RoutableTask,
    candidate: Candidate,
    now: number,
  ): boolean {
    if (!isEligible(task, candidate)) return false;
    const reserved = this.reservations.get(candidate.upstream.key);
    if (!reserved || reserved.taskId === task.taskId) return true;
    return candidate.freeCredits > 1 || !this.isReserved(candidate, now);
  }

  /** Whether a waiting task counts on the upstream; forgets old waits. */
  private isReserved({upstream}: Candidate, now: number): boolean {
    const reserved = this.reservations.get(upstream.key);
    if (!reserved) return false;
    if (reserved.untilMs + RESERVATION_GRACE_MS >= now) return true;
    this.reservations.delete(upstream.key);
    return false;
  }

  /** The earliest end; equal ends go to the rack with less of the job. */
  private pick(
    task: RoutableTask,
    found: readonly Estimated[],
  ): Estimated | undefined {
    let fastest = Infinity;
    for (const {runMs} of found) fastest = Math.min(fastest, runMs);
    let best: Estimated | undefined;
    for (const each of found) {
      if (each.runMs > fastest * TIE_FACTOR) continue;
      if (!best || this.rank(task, each) < this.rank(task, best)) best = each;
    }
    return best;
  }

  private rank(task: RoutableTask, {candidate}: Estimated): number {
    const inRack = task.jobRacks?.get(candidate.upstream.rack) ?? 0;
    return inRack + candidate.running / (1 + candidate.upstream.capacity.slots);
  }

  /**
   * The slowest upstream that still ends before the rest of the job, when
   * other tasks wait: it leaves the fast ones to long tasks.
   */
  private withinJob(
    task: RoutableTask,
    candidates: CandidateIndex,
    best: Estimated,
    now: number,
  ): Estimated | undefined {
    const slackMs = (task.jobEndsAtMs ?? 0) - now;
    if (slackMs < 2 * best.runMs || !task.waitingTasks) return undefined;
    if (candidates.freeCredits > 2 * task.waitingTasks) return undefined;
    const slow = this.sample(task, candidates, now, 'slowest');
    return slow.find(each => this.p95Ms(task, each.candidate) <= slackMs);
  }

  private p95Ms(task: RoutableTask, candidate: Candidate): number {
    return this.estimator.estimate({
      team: task.team,
      kind: task.kind,
      upstream: candidate.upstream.key,
      declaredMs: task.expectedRunMs,
    }).p95Ms;
  }

  /** A wait for a faster upstream, when the task would still end sooner. */
  private waitFor(
    task: RoutableTask,
    candidates: CandidateIndex,
    best: Estimated,
    now: number,
  ): RoutingDecision | undefined {
    const gainMs = Math.max(MIN_WAIT_GAIN_MS, this.minWaitGain * best.runMs);
    let endMs = best.runMs - gainMs;
    let chosen: Candidate | undefined;
    const estimates = this.estimates(task);
    const last = speedBucket(best.candidate.speedFactor);
    for (const group of candidates.groupsOf(task.kind)) {
      for (let bucket = 0; bucket < last; bucket++) {
        const next = group.nextFree(bucket);
        // A task past its expected end gives no hint when the slot frees.
        if (!next || next.nextFreeAtMs <= now) continue;
        if (this.isReserved(next, now)) continue;
        if (task.excluded?.has(next.upstream.key)) continue;
        const waitMs = next.nextFreeAtMs - now;
        const totalMs = waitMs + estimates.p50Ms(next.upstream.key);
        if (totalMs >= endMs) continue;
        endMs = totalMs;
        chosen = next;
      }
    }
    return chosen && this.reserve(task, chosen);
  }

  private reserve(task: RoutableTask, candidate: Candidate): RoutingDecision {
    const upstream = candidate.upstream.key;
    const untilMs = candidate.nextFreeAtMs;
    // Entries of upstreams that left are never looked up again.
    if (this.reservations.size >= MAX_RESERVATIONS) this.reservations.clear();
    this.reservations.set(upstream, {taskId: task.taskId, untilMs});
    const reason = 'faster-upstream-soon';
    return {type: 'wait', upstream, untilMs, reason};
  }
}
