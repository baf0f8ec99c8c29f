/**
 * Routes each task so that the last task of its job is expected to end
 * soonest, as list scheduling on machines of different speed does (Graham,
 * 1969), with learned run times.
 */
import {SPEED_BUCKETS, toSpeedBucket, toTimeFactor} from './candidate_group.js';
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
   * Smallest expected gain that justifies a wait, as a fraction of the run
   * time. Default 0.6: a task that waits also delays those behind it, so the
   * gain to the task alone overstates the benefit.
   */
  readonly minWaitGain?: number;
  /** Tasks that may run at once on an upstream of unknown speed. Default 1. */
  readonly maxExplorations?: number;
}

/** Most candidates estimated in one decision, which bounds its cost. */
const MAX_ESTIMATED = 12;
/** Most candidates estimated in one speed bucket of a group. */
const MAX_PER_BUCKET = 4;
/** Candidates examined after which a search ends if any was eligible. */
const MAX_EXAMINED = 256;
/** Expected ends within this factor count as equal: estimates are coarser. */
const TIE_FACTOR = 1.05;
/** Smallest gain that justifies a wait; less is within the noise. */
const MIN_WAIT_GAIN_MS = 2;

interface EstimatedCandidate {
  readonly candidate: Candidate;
  readonly runMs: number;
}

/**
 * Chooses the upstream with the earliest expected end among a bounded number of
 * estimated candidates.
 */
export class ExpectedEndRouting extends RoutingPolicy {
  private readonly minWaitGain: number;
  private readonly maxExplorations: number;
  private rotation = 0;

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
    this.rotation++;
    const explored = this.pickUnexplored(task, candidates);
    if (explored) return createStart(explored, 'exploration');
    const best = this.pickEarliestEnd(
      task,
      this.estimateFree(task, candidates, 'fastest'),
    );
    if (!best) return NO_UPSTREAM;
    const withinJobEnd = this.findWithinJobEnd(task, candidates, best, now);
    if (withinJobEnd) return createStart(withinJobEnd, 'within-job-end');
    if (this.shouldWait(task, candidates, best)) return WAIT;
    return createStart(best, 'fastest-end');
  }

  private getKindEstimates(task: RoutableTask): KindEstimates {
    const {team, kind, expectedRunMs} = task;
    return this.estimator.getKindEstimates(team, kind, expectedRunMs);
  }

  /** Picks an upstream of unknown speed, unless the task is urgent. */
  private pickUnexplored(
    task: RoutableTask,
    candidates: CandidateIndex,
  ): EstimatedCandidate | undefined {
    if (task.urgency === 'urgent') return undefined;
    for (const {unexplored} of candidates.getGroups(task.kind)) {
      const list = unexplored.getBucket(0);
      for (let step = 0; step < Math.min(list.length, MAX_PER_BUCKET); step++) {
        const candidate = list[(this.rotation + step) % list.length];
        if (!candidate || candidate.running >= this.maxExplorations) continue;
        if (!isEligible(task, candidate)) continue;
        const runMs = this.getKindEstimates(task).estimateP50Ms(
          candidate.upstream.key,
        );
        return {candidate, runMs};
      }
    }
    return undefined;
  }

  /** Estimates a bounded number of free upstreams, in order of speed. */
  private estimateFree(
    task: RoutableTask,
    candidates: CandidateIndex,
    order: 'fastest' | 'slowest',
  ): readonly EstimatedCandidate[] {
    const estimates = this.getKindEstimates(task);
    const found: EstimatedCandidate[] = [];
    let examined = 0;
    for (let step = 0; step < SPEED_BUCKETS; step++) {
      const bucket = order === 'fastest' ? step : SPEED_BUCKETS - 1 - step;
      for (const {freeBySpeed} of candidates.getGroups(task.kind)) {
        const list = freeBySpeed.getBucket(bucket);
        let taken = 0;
        for (let offset = 0; offset < list.length; offset++) {
          const candidate = list[(this.rotation + offset) % list.length];
          if (taken >= MAX_PER_BUCKET) break;
          if (examined++ >= MAX_EXAMINED && found.length > 0) return found;
          if (!candidate || !isEligible(task, candidate)) continue;
          const runMs = estimates.estimateP50Ms(candidate.upstream.key);
          found.push({candidate, runMs});
          taken++;
        }
        if (found.length >= MAX_ESTIMATED) return found;
      }
    }
    return found;
  }

  /** Picks the earliest end; for equal ends, the rack with less of the job. */
  private pickEarliestEnd(
    task: RoutableTask,
    found: readonly EstimatedCandidate[],
  ): EstimatedCandidate | undefined {
    let fastest = Infinity;
    for (const {runMs} of found) fastest = Math.min(fastest, runMs);
    let best: EstimatedCandidate | undefined;
    for (const each of found) {
      if (each.runMs > fastest * TIE_FACTOR) continue;
      if (
        !best ||
        this.computeTieRank(task, each) < this.computeTieRank(task, best)
      )
        best = each;
    }
    return best;
  }

  private computeTieRank(
    task: RoutableTask,
    {candidate}: EstimatedCandidate,
  ): number {
    const inRack = task.jobRacks?.get(candidate.upstream.rack) ?? 0;
    return inRack + candidate.running / (1 + candidate.upstream.capacity.slots);
  }

  /**
   * Finds the slowest upstream on which the task still ends before the rest of
   * its job, when other tasks wait. This leaves the fast ones to long tasks.
   */
  private findWithinJobEnd(
    task: RoutableTask,
    candidates: CandidateIndex,
    best: EstimatedCandidate,
    now: number,
  ): EstimatedCandidate | undefined {
    const slackMs = (task.jobEndsAtMs ?? 0) - now;
    if (slackMs < 2 * best.runMs || !task.waitingTasks) return undefined;
    if (candidates.freeCredits > 2 * task.waitingTasks) return undefined;
    const slow = this.estimateFree(task, candidates, 'slowest');
    return slow.find(
      each => this.estimateP95Ms(task, each.candidate) <= slackMs,
    );
  }

  private estimateP95Ms(task: RoutableTask, candidate: Candidate): number {
    return this.estimator.estimate({
      team: task.team,
      kind: task.kind,
      upstream: candidate.upstream.key,
      declaredMs: task.expectedRunMs,
    }).p95Ms;
  }

  /**
   * Whether the task is expected to end sooner on a faster upstream that is
   * full now. The slots of all upstreams at least as fast as a given one become
   * free at the sum of their rates, so the wait is short where many tasks run,
   * although no single slot can be predicted. All queued tasks count: with
   * servers of different speed, the slow ones should be used only above a
   * threshold of the queue length (Larsen and Agrawala, 1983).
   */
  private shouldWait(
    task: RoutableTask,
    candidates: CandidateIndex,
    best: EstimatedCandidate,
  ): boolean {
    const meanMs = this.estimator.meanRunMs;
    if (meanMs === undefined) return false;
    const ownFactor = best.candidate.speedFactor;
    const ownMs = meanMs * ownFactor;
    const bound = ownMs - Math.max(MIN_WAIT_GAIN_MS, this.minWaitGain * ownMs);
    const queued = Math.max(1, task.waitingTasks ?? 1);
    const last = toSpeedBucket(ownFactor);
    let releaseRate = 0;
    let weightedRate = 0;
    for (let bucket = 0; bucket < last; bucket++) {
      const factor = toTimeFactor(bucket);
      const running = candidates.countFullRunning(task.kind, bucket);
      if (running === 0) continue;
      const rate = running / (meanMs * factor);
      releaseRate += rate;
      weightedRate += rate * factor;
      const waitMs = queued / releaseRate;
      if (waitMs + (meanMs * weightedRate) / releaseRate < bound) return true;
    }
    return false;
  }
}

const WAIT: RoutingDecision = {type: 'wait', reason: 'faster-upstream-soon'};

function createStart(
  {candidate, runMs}: EstimatedCandidate,
  reason: 'exploration' | 'fastest-end' | 'within-job-end',
): RoutingDecision {
  const upstream = candidate.upstream.key;
  return {type: 'start', upstream, expectedRunMs: runMs, reason};
}
