/** Chooses the upstream for a task. */
import type {OutlierEjection} from '@mustardferry/decisions';

import type {BoardTask} from './board_types.js';
import type {PoolPass} from './pool_pass.js';
import {OVERHEAD_MS} from './ready_queue.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

/** Margin in milliseconds below which an upstream counts as too slow. */
const MIN_MARGIN_MS = 15;

/** Share of the capacity in use above which fast upstreams are saved. */
const SCARCE_SHARE = 0.6;

/** A choice, with what decided it. */
export interface Placement {
  readonly session: UpstreamSession;
  readonly expectedMs: number;
  /** Time to spare until the job's objective; negative when late. */
  readonly marginMs: number;
}

/**
 * Prefers, while capacity is scarce, the slowest upstream that still meets the
 * objective, which leaves the fast ones to long tasks; otherwise the one that
 * ends soonest.
 */
export class PlacementPolicy {
  constructor(
    private readonly speed: UpstreamSpeed,
    private readonly health: OutlierEjection,
  ) {}

  /** Time factor of the fastest upstream, busy or not; 1 without any. */
  fastestFactor(sessions: readonly UpstreamSession[], now: number): number {
    let fastest = Infinity;
    for (const {key} of sessions) {
      fastest = Math.min(fastest, this.speed.factor(key, now));
    }
    return Number.isFinite(fastest) ? fastest : 1;
  }

  choose(task: BoardTask, pass: PoolPass): Placement | null {
    if (pass.isFullFor(task)) return null;
    const scarce = pass.usedShare > SCARCE_SHARE;
    let best: Placement | null = null;
    for (const session of pass.sessions) {
      if (!this.isEligible(task, session, pass.now)) continue;
      const found = this.evaluate(task, session, pass);
      if (!best || isBetter(found, best, scarce)) best = found;
    }
    if (!best) pass.noteFull(task);
    return best;
  }

  private isEligible(
    task: BoardTask,
    session: UpstreamSession,
    now: number,
  ): boolean {
    const {step} = task;
    if (!session.runs.use.fits(step) || !session.accepts) return false;
    if (session.fullUntil > now || task.avoid.includes(session.key)) {
      return false;
    }
    const {labels} = session.record;
    if (step.label !== '' && !labels.includes(step.label)) return false;
    if (
      step.maxPerUpstream > 0 &&
      runsOfStep(task, session) >= step.maxPerUpstream
    ) {
      return false;
    }
    const {allowance} = this.health.verdict(session.key, now);
    return session.runs.size < allowance;
  }

  private evaluate(
    task: BoardTask,
    session: UpstreamSession,
    {now, remoteFactor}: PoolPass,
  ): Placement {
    const {step, job} = task;
    const near =
      step.dataRack === '' || session.record.labels.includes(step.dataRack);
    const factor =
      this.speed.factor(session.key, now) * (near ? 1 : remoteFactor);
    const expectedMs = step.declaredMs * factor;
    const elapsedMs = now - job.since;
    const marginMs = job.objectiveMs - elapsedMs - expectedMs - OVERHEAD_MS;
    return {session, expectedMs, marginMs};
  }
}

function isBetter(a: Placement, b: Placement, scarce: boolean): boolean {
  const aMeets = a.marginMs >= MIN_MARGIN_MS;
  const bMeets = b.marginMs >= MIN_MARGIN_MS;
  if (aMeets !== bMeets) return aMeets;
  if (a.expectedMs !== b.expectedMs) {
    return scarce && aMeets
      ? a.expectedMs > b.expectedMs
      : a.expectedMs < b.expectedMs;
  }
  return a.session.runs.use.freeCpuMillis > b.session.runs.use.freeCpuMillis;
}

function runsOfStep(task: BoardTask, session: UpstreamSession): number {
  let count = 0;
  for (const run of session.runs.all) {
    const {id} = run.task;
    if (id.job === task.id.job && id.step === task.id.step) count++;
  }
  return count;
}
