/** Upstreams in memory whose runs end by themselves, for the warm-up. */
import {getTaskKey, type TaskId} from '../jobs/job_types.js';
import {
  type ActiveRun,
  type HoldAnswer,
  type HoldOrder,
  type RunEnd,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  UpstreamPort,
  type UpstreamTarget,
} from '../upstreams/upstream_port.js';
import {upstreamKey} from '../upstreams/upstream_types.js';

/** Time in ms that each run takes. */
export const STAND_IN_RUN_MS = 8;

/** One upstream: its runs, and the ends that were not acknowledged yet. */
class StandInUpstream {
  private readonly runs = new Map<string, ActiveRun>();
  private readonly timers = new Map<string, NodeJS.Timeout>();
  private readonly waiters = new Set<() => void>();
  private ends: RunEnd[] = [];
  private sequence = 0;

  constructor(readonly startedAt: number) {}

  start({task, run}: StartOrder): StartAnswer {
    const key = getTaskKey(task);
    this.runs.set(key, {task, run, percent: 50});
    this.timers.set(
      key,
      setTimeout(() => this.end(task, run, 'done'), STAND_IN_RUN_MS),
    );
    return {type: 'started', clockMs: performance.now()};
  }

  stop({task, run}: StopOrder): StopAnswer {
    if (this.runs.has(getTaskKey(task))) this.end(task, run, 'stopped');
    return {type: 'stopping'};
  }

  async hold({acknowledged, waitMs}: HoldOrder): Promise<HoldAnswer> {
    this.ends = this.ends.filter(({sequence}) => sequence > acknowledged);
    if (this.ends.length === 0 && waitMs > 0) await this.waitForEnd(waitMs);
    return {
      type: 'held',
      moreEnds: false,
      clockMs: performance.now(),
      startedAt: this.startedAt,
      active: [...this.runs.values()],
      ends: this.ends,
    };
  }

  close(): void {
    for (const timer of this.timers.values()) clearTimeout(timer);
    for (const wake of [...this.waiters]) wake();
  }

  private end(task: TaskId, run: number, outcome: RunEnd['outcome']): void {
    const key = getTaskKey(task);
    clearTimeout(this.timers.get(key));
    this.timers.delete(key);
    this.runs.delete(key);
    this.ends = [...this.ends, {sequence: ++this.sequence, task, run, outcome}];
    for (const wake of [...this.waiters]) wake();
  }

  private waitForEnd(ms: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiters.add(wake);
    });
  }
}

/** Executes orders in memory, with one upstream per target. */
export class StandInPort extends UpstreamPort {
  private readonly upstreams = new Map<string, StandInUpstream>();

  override async start(
    to: UpstreamTarget,
    order: StartOrder,
  ): Promise<StartAnswer> {
    return this.upstream(to).start(order);
  }

  override async stop(
    to: UpstreamTarget,
    order: StopOrder,
  ): Promise<StopAnswer> {
    return this.upstream(to).stop(order);
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    return this.upstream(to).hold(order);
  }

  override releaseUpstream(to: UpstreamTarget): void {
    const key = upstreamKey(to);
    this.upstreams.get(key)?.close();
    this.upstreams.delete(key);
  }

  /** Cancels all runs and answers the holds that wait. */
  close(): void {
    for (const upstream of this.upstreams.values()) upstream.close();
    this.upstreams.clear();
  }

  private upstream(to: UpstreamTarget): StandInUpstream {
    const key = upstreamKey(to);
    let upstream = this.upstreams.get(key);
    if (!upstream) {
      upstream = new StandInUpstream(to.startedAt);
      this.upstreams.set(key, upstream);
    }
    return upstream;
  }
}
