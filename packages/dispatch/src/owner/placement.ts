/** Chooses the upstream for a task. */
import type {OutlierEjection} from '@mustardferry/decisions';

import type {CapacityTree} from './capacity_tree.js';
import type {OpenTask} from './job_table_types.js';
import type {PoolIndex, RankedSession} from './pool_index.js';
import {DISPATCH_OVERHEAD_MS} from './ready_queue.js';
import type {UpstreamSession} from './upstream_session.js';

/**
 * Least margin to the objective for an upstream to count as fast enough, in ms
 * and as a fraction of the expected run time. Run times vary by more than a
 * third.
 */
const MIN_MARGIN_MS = 15;
const MIN_MARGIN_FRACTION = 0.25;

/**
 * CPU utilization above which fast upstreams are reserved for tasks that need
 * them.
 */
const SCARCE_UTILIZATION = 0.6;

/** The upstream chosen for a task, with the times that decided it. */
export interface Placement {
  readonly session: UpstreamSession;
  readonly expectedMs: number;
  /**
   * Time in ms between the expected end and the job's objective; negative when
   * late.
   */
  readonly marginMs: number;
}

/** Parameters of the search for an upstream. */
export interface PlacementSearch {
  readonly pool: PoolIndex;
  readonly now: number;
  /** An upstream that must not be chosen. */
  readonly excludedSession?: UpstreamSession;
}

/** Whether an upstream may take a task, other tasks only, or none. */
type Eligibility = 'eligible' | 'not-this-task' | 'no-task';

/**
 * Chooses the upstream on which a task ends soonest. While capacity is scarce,
 * it prefers the slowest one that still meets the objective, which leaves the
 * fast ones to long tasks.
 */
export class PlacementPolicy {
  constructor(
    private readonly health: OutlierEjection,
    /** Factor by which a run takes longer when its data is in another rack. */
    private readonly remoteFactor: number,
  ) {}

  /** Returns null if no suitable upstream has enough free capacity. */
  chooseUpstream(task: OpenTask, search: PlacementSearch): Placement | null {
    const {label, dataRack} = task.step;
    const {pool} = search;
    const isLocal = dataRack === '';
    const placement = this.searchTree(
      task,
      search,
      pool.getTree(label),
      isLocal,
    );
    if (isLocal) return placement;
    const local = this.searchTree(task, search, pool.getTree(dataRack), true);
    if (!placement || !local) return placement ?? local;
    return isPreferred(local, placement, isScarce(pool)) ? local : placement;
  }

  private searchTree(
    task: OpenTask,
    search: PlacementSearch,
    tree: CapacityTree<RankedSession> | undefined,
    isLocal: boolean,
  ): Placement | null {
    if (!tree) return null;
    const {step, job} = task;
    const {pool, now} = search;
    if (isScarce(pool)) {
      const declaredMs = step.declaredMs * (isLocal ? 1 : this.remoteFactor);
      const leftMs =
        job.objectiveMs - (now - job.receivedAt) - DISPATCH_OVERHEAD_MS;
      const longestMs = Math.min(
        leftMs - MIN_MARGIN_MS,
        leftMs / (1 + MIN_MARGIN_FRACTION),
      );
      let to = tree.findLastWithin(longestMs / declaredMs);
      while ((to = tree.previous(step, to)) >= 0) {
        const placement = this.evaluateEquallyFast(task, search, tree, to);
        if (placement) return placement;
        to--;
      }
    }
    let from = 0;
    while ((from = tree.next(step, from)) >= 0) {
      const placement = this.evaluateEquallyFast(task, search, tree, from);
      if (placement) return placement;
      from++;
    }
    return null;
  }

  /**
   * Tries the upstream with the most free CPU among those as fast as the one at
   * a position, then that one.
   */
  private evaluateEquallyFast(
    task: OpenTask,
    search: PlacementSearch,
    tree: CapacityTree<RankedSession>,
    position: number,
  ): Placement | null {
    const freest = tree.findFreestEquallyFast(position);
    const placement = this.evaluatePosition(task, search, tree, freest);
    if (placement || freest === position) return placement;
    return this.evaluatePosition(task, search, tree, position);
  }

  private evaluatePosition(
    task: OpenTask,
    search: PlacementSearch,
    tree: CapacityTree<RankedSession>,
    position: number,
  ): Placement | null {
    const ranked = tree.at(position);
    if (!ranked) return null;
    const {session} = ranked;
    const {pool, now, excludedSession} = search;
    pool.countExamined();
    const eligibility =
      session === excludedSession
        ? 'not-this-task'
        : this.checkEligibility(task, session, now);
    if (eligibility === 'no-task') pool.exclude(session);
    return eligibility === 'eligible'
      ? this.predictPlacement(task, ranked, now)
      : null;
  }

  private checkEligibility(
    {step, avoidedUpstreams, id}: OpenTask,
    session: UpstreamSession,
    now: number,
  ): Eligibility {
    const {runs, record, key} = session;
    if (!session.acceptsRuns || session.noRoomUntil > now) return 'no-task';
    const {allowance} = this.health.getStatus(key, now);
    if (runs.size >= allowance) return 'no-task';
    const isAvoided = avoidedUpstreams.some(
      avoided => avoided.key === key && avoided.until > now,
    );
    if (isAvoided || !runs.capacityUse.fits(step)) return 'not-this-task';
    if (step.label !== '' && !record.labels.includes(step.label)) {
      return 'not-this-task';
    }
    const hasReachedLimit =
      step.maxPerUpstream > 0 &&
      runs.countRunsOfStep(id) >= step.maxPerUpstream;
    return hasReachedLimit ? 'not-this-task' : 'eligible';
  }

  private predictPlacement(
    {step, job}: OpenTask,
    {session, timeFactor}: RankedSession,
    now: number,
  ): Placement {
    const isLocal =
      step.dataRack === '' || session.record.labels.includes(step.dataRack);
    const localityFactor = isLocal ? 1 : this.remoteFactor;
    const expectedMs = step.declaredMs * timeFactor * localityFactor;
    const elapsedMs = now - job.receivedAt;
    const marginMs =
      job.objectiveMs - elapsedMs - expectedMs - DISPATCH_OVERHEAD_MS;
    return {session, expectedMs, marginMs};
  }
}

function isScarce(pool: PoolIndex): boolean {
  return pool.cpuUtilization > SCARCE_UTILIZATION;
}

function isPreferred(a: Placement, b: Placement, scarce: boolean): boolean {
  const aIsSafe = hasSafeMargin(a);
  const bIsSafe = hasSafeMargin(b);
  if (aIsSafe !== bIsSafe) return aIsSafe;
  return scarce && aIsSafe
    ? a.expectedMs > b.expectedMs
    : a.expectedMs < b.expectedMs;
}

function hasSafeMargin({marginMs, expectedMs}: Placement): boolean {
  return marginMs >= Math.max(MIN_MARGIN_MS, MIN_MARGIN_FRACTION * expectedMs);
}
