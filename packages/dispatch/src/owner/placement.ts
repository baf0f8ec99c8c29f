/** Chooses the upstream for a task. */
import type {OutlierEjection} from '@mustardferry/decisions';

import type {BoardTask} from './board_types.js';
import type {PoolIndex, RatedSession} from './pool_index.js';
import {OVERHEAD_MS} from './ready_queue.js';
import type {RoomTree} from './room_tree.js';
import type {UpstreamSession} from './upstream_session.js';

/**
 * Margin below which an upstream counts as too slow: in milliseconds, and as a
 * part of the expected run time, as run times vary by more than a third.
 */
const MIN_MARGIN_MS = 15;
const MIN_MARGIN_PART = 0.25;

/** Share of the capacity in use above which fast upstreams are saved. */
const SCARCE_SHARE = 0.6;

/** A choice, with what decided it. */
export interface Placement {
  readonly session: UpstreamSession;
  readonly expectedMs: number;
  /** Time to spare until the job's objective; negative when late. */
  readonly marginMs: number;
}

/** A search for an upstream. */
export interface Search {
  readonly pool: PoolIndex;
  readonly now: number;
  /** An upstream that isn't to be chosen. */
  readonly except?: UpstreamSession;
}

/** Whether an upstream may take a task, and if not, whether any. */
type Eligibility = 'eligible' | 'not-this-task' | 'no-task';

/**
 * Prefers, while capacity is scarce, the slowest upstream that still meets the
 * objective, which leaves the fast ones to long tasks; otherwise the one that
 * ends soonest.
 */
export class PlacementPolicy {
  constructor(
    private readonly health: OutlierEjection,
    /** Time factor of tasks whose data is in another rack. */
    private readonly remoteFactor: number,
  ) {}

  choose(task: BoardTask, search: Search): Placement | null {
    const {label, dataRack} = task.step;
    const {pool} = search;
    const isNear = dataRack === '';
    const found = this.pick(task, search, pool.tree(label), isNear);
    if (isNear) return found;
    const near = this.pick(task, search, pool.tree(dataRack), true);
    if (!found || !near) return found ?? near;
    return isBetter(near, found, isScarce(pool)) ? near : found;
  }

  private pick(
    task: BoardTask,
    search: Search,
    tree: RoomTree<RatedSession> | undefined,
    isNear: boolean,
  ): Placement | null {
    if (!tree) return null;
    const {step, job} = task;
    const {pool, now} = search;
    if (isScarce(pool)) {
      const declaredMs = step.declaredMs * (isNear ? 1 : this.remoteFactor);
      const leftMs = job.objectiveMs - (now - job.since) - OVERHEAD_MS;
      const longestMs = Math.min(
        leftMs - MIN_MARGIN_MS,
        leftMs / (1 + MIN_MARGIN_PART),
      );
      let to = tree.lastWithin(longestMs / declaredMs);
      while ((to = tree.previous(step, to)) >= 0) {
        const found = this.takeLike(task, search, tree, to);
        if (found) return found;
        to--;
      }
    }
    let from = 0;
    while ((from = tree.next(step, from)) >= 0) {
      const found = this.takeLike(task, search, tree, from);
      if (found) return found;
      from++;
    }
    return null;
  }

  /** Takes the upstream at a position, or a roomier one as fast. */
  private takeLike(
    task: BoardTask,
    search: Search,
    tree: RoomTree<RatedSession>,
    position: number,
  ): Placement | null {
    const roomiest = tree.roomiestLike(position);
    const found = this.take(task, search, tree, roomiest);
    if (found || roomiest === position) return found;
    return this.take(task, search, tree, position);
  }

  private take(
    task: BoardTask,
    search: Search,
    tree: RoomTree<RatedSession>,
    position: number,
  ): Placement | null {
    const rated = tree.at(position);
    if (!rated) return null;
    const {session} = rated;
    const {pool, now, except} = search;
    pool.noteExamined();
    const eligibility =
      session === except
        ? 'not-this-task'
        : this.eligibility(task, session, now);
    if (eligibility === 'no-task') pool.hide(session);
    return eligibility === 'eligible' ? this.evaluate(task, rated, now) : null;
  }

  private eligibility(
    {step, avoid, id}: BoardTask,
    session: UpstreamSession,
    now: number,
  ): Eligibility {
    const {runs, record, key} = session;
    if (!session.accepts || session.fullUntil > now) return 'no-task';
    const {allowance} = this.health.getStatus(key, now);
    if (runs.size >= allowance) return 'no-task';
    if (!runs.use.fits(step) || avoid.includes(key)) return 'not-this-task';
    if (step.label !== '' && !record.labels.includes(step.label)) {
      return 'not-this-task';
    }
    const isFull =
      step.maxPerUpstream > 0 && runs.countOfStep(id) >= step.maxPerUpstream;
    return isFull ? 'not-this-task' : 'eligible';
  }

  private evaluate(
    {step, job}: BoardTask,
    {session, factor}: RatedSession,
    now: number,
  ): Placement {
    const isNear =
      step.dataRack === '' || session.record.labels.includes(step.dataRack);
    const distance = isNear ? 1 : this.remoteFactor;
    const expectedMs = step.declaredMs * factor * distance;
    const elapsedMs = now - job.since;
    const marginMs = job.objectiveMs - elapsedMs - expectedMs - OVERHEAD_MS;
    return {session, expectedMs, marginMs};
  }
}

function isScarce(pool: PoolIndex): boolean {
  return pool.usedShare > SCARCE_SHARE;
}

function isBetter(a: Placement, b: Placement, scarce: boolean): boolean {
  const aMeets = hasMargin(a);
  const bMeets = hasMargin(b);
  if (aMeets !== bMeets) return aMeets;
  return scarce && aMeets
    ? a.expectedMs > b.expectedMs
    : a.expectedMs < b.expectedMs;
}

function hasMargin({marginMs, expectedMs}: Placement): boolean {
  return marginMs >= Math.max(MIN_MARGIN_MS, MIN_MARGIN_PART * expectedMs);
}
