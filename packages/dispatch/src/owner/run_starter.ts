/** Starts ready tasks on the upstreams that have room for them. */
import type {OutlierEjection} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {BoardTask, Run} from './board_types.js';
import type {Placement, PlacementPolicy} from './placement.js';
import type {OfferResult} from './ready_queue.js';
import {RunProgress} from './run_progress.js';
import type {TaskBoard} from './task_board.js';
import type {UpstreamSession} from './upstream_session.js';

/** Options of the starter. */
export interface RunStarterOptions {
  readonly board: TaskBoard;
  readonly placement: PlacementPolicy;
  readonly health: OutlierEjection;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly remoteFactor: number;
  readonly mayOrder: () => boolean;
}

/** Upstreams of a pool up to which a task may have to use all of them. */
const SMALL_POOL = 4;

/** Owns the pools of upstreams. */
export class RunStarter {
  private readonly pools = new Map<string, UpstreamSession[]>();
  private scheduled = false;
  private enabled = false;

  constructor(private readonly options: RunStarterOptions) {}

  get isEnabled(): boolean {
    return this.enabled;
  }

  get sessions(): readonly UpstreamSession[] {
    return [...this.pools.values()].flat();
  }

  /** Sessions that may take tasks of a pool. */
  sessionsOf(pool: string): readonly UpstreamSession[] {
    return (this.pools.get(pool) ?? []).filter(session => session.accepts);
  }

  enable(): void {
    this.enabled = true;
    this.schedule();
  }

  disable(): void {
    this.enabled = false;
  }

  add(session: UpstreamSession): void {
    const {pool} = session.record;
    this.pools.set(pool, [...(this.pools.get(pool) ?? []), session]);
  }

  remove(session: UpstreamSession): void {
    const {pool} = session.record;
    const others = (this.pools.get(pool) ?? []).filter(s => s !== session);
    this.pools.set(pool, others);
  }

  /** Starts what fits, after the current turn. */
  schedule(): void {
    if (this.scheduled || !this.enabled) return;
    this.scheduled = true;
    queueMicrotask(() => {
      this.scheduled = false;
      if (this.enabled && this.options.mayOrder()) this.startReady();
    });
  }

  private startReady(): void {
    const now = performance.now();
    for (const [pool, queue] of this.options.board.readyQueues) {
      if (queue.size === 0) continue;
      const sessions = this.sessionsOf(pool);
      queue.offerAll(now, task => this.offer(task, sessions, now));
    }
  }

  private offer(
    task: BoardTask,
    sessions: readonly UpstreamSession[],
    now: number,
  ): OfferResult {
    if (sessions.length === 0) return 'full';
    const {remoteFactor} = this.options;
    const input = {sessions, now, remoteFactor};
    const found = this.options.placement.choose(task, input);
    if (found) {
      this.start(task, found, now);
      return 'placed';
    }
    if (sessions.length <= SMALL_POOL) task.avoid = [];
    return 'passed-over';
  }

  private start(task: BoardTask, found: Placement, now: number): void {
    const {session, expectedMs, marginMs} = found;
    const run: Run = {
      task,
      number: task.lastRun + 1,
      session,
      startedAt: now,
      phase: 'starting',
      confirmedAt: Infinity,
      stopAckedAt: Infinity,
      progress: new RunProgress(now),
    };
    task.lastRun = run.number;
    task.run = run;
    task.phase = 'active';
    this.options.logger.info('task-start', {
      job: task.id.job,
      task: task.key,
      run: run.number,
      upstream: session.record.id,
      waitedMs: Math.round(now - task.job.since),
      expectedMs: Math.round(expectedMs),
      marginMs: Math.round(marginMs),
    });
    this.options.metrics.increment('starts');
    this.options.health.probeStarted(session.key);
    void session.start(run);
  }
}
