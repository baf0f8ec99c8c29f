/**
 * Routes each task so that the last task of its job is expected to end
 * soonest, as list scheduling on machines of different speed does (Graham,
 * 1969), with learned run times.
 */
import {bucketFactor, SPEED_BUCKETS, speedBucket} from './candidate_group.js';
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
   * Gain that a wait must promise, as part of the run time. Default 0.2: a
   * task that waits also delays those behind it, so the gain to the task alone
   * overstates the benefit.
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

interface Estimated {
  readonly candidate: Candidate;
  readonly runMs: number;
}

/** Expected-end routing; costs the same for any number of candidates. */
export class ExpectedEndRouting extends RoutingPolicy {
  private readonly minWaitGain: number;
  private readonly maxExplorations: number;
  private turn = 0;

  constructor(
    private readonly estimator: RunTimeEstimator,
    options: ExpectedEndRoutingOptions = {},
  ) {
    super();
    this.minWaitGain = options.minWaitGain ?? 0.6;
    this.maxExplorations = options.maxExplorations ?? 1;
  }

  override chooseUpstream(
    task: RoutableTask,
    candidates: CandidateIndex,
    now: number,
  ): RoutingDecision {
    this.turn++;
    const explored = this.explore(task, candidates);
    if (explored) return startOn(explored, 'exploration');
    const best = this.pick(task, this.sample(task, candidates, 'fastest'));
    if (!best) return NO_UPSTREAM;
    const within = this.withinJob(task, candidates, best, now);
    if (within) return startOn(within, 'within-job-end');
    if (this.shouldWait(task, candidates, best)) return WAIT;
    return startOn(best, 'fastest-end');
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
          if (!candidate || !isEligible(task, candidate)) continue;
          const runMs = estimates.p50Ms(candidate.upstream.key);
          found.push({candidate, runMs});
          taken++;
        }
        if (found.length >= MAX_ESTIMATED) return found;
      }
    }
    return found;
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
    const slow = this.sample(task, candidates, 'slowest');
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

  /**
   * Whether the task ends sooner on a faster upstream that is full now. Slots
   * of upstreams at least as fast as a given one free at the sum of their
   * rates, so the wait is short where many tasks run, although no single slot
   * can be predicted. In a queue before servers of different speed the slow
   * ones are used above a threshold of the queue length (Larsen and Agrawala,
   * 1983), so all queued tasks count.
   */
  private shouldWait(
    task: RoutableTask,
    candidates: CandidateIndex,
    best: Estimated,
  ): boolean {
    const meanMs = this.estimator.meanRunMs;
    if (meanMs === undefined) return false;
    const ownFactor = best.candidate.speedFactor;
    const ownMs = meanMs * ownFactor;
    const bound = ownMs - Math.max(MIN_WAIT_GAIN_MS, this.minWaitGain * ownMs);
    const queued = Math.max(1, task.waitingTasks ?? 1);
    const last = speedBucket(ownFactor);
    let frees = 0;
    let weighted = 0;
    for (let bucket = 0; bucket < last; bucket++) {
      const factor = bucketFactor(bucket);
      const running = candidates.fullRunning(task.kind, bucket);
      if (running === 0) continue;
      const rate = running / (meanMs * factor);
      frees += rate;
      weighted += rate * factor;
      const waitMs = queued / frees;
      if (waitMs + (meanMs * weighted) / frees < bound) return true;
    }
    return false;
  }
}

const WAIT: RoutingDecision = {type: 'wait', reason: 'faster-upstream-soon'};

function startOn(
  {candidate, runMs}: Estimated,
  reason: 'exploration' | 'fastest-end' | 'within-job-end',
): RoutingDecision {
  const upstream = candidate.upstream.key;
  return {type: 'start', upstream, expectedRunMs: runMs, reason};
}
