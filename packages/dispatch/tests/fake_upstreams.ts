/** Fake upstreams in memory: leases, tokens, lists of runs and ends. */
import {getTaskKey, type TaskId} from '../src/jobs/job_types.js';
import {
  type HoldAnswer,
  type HoldOrder,
  OrderNotSentError,
  OrderUnansweredError,
  type RunEnd,
  type StartAnswer,
  type StartOrder,
  type StopAnswer,
  type StopOrder,
  UpstreamPort,
  type UpstreamTarget,
} from '../src/upstreams/upstream_port.js';
import type {Announcement} from '../src/upstreams/upstream_types.js';

/** What happens to an order in transit. */
export type Delivery =
  'delivered' | 'unreached' | 'lost' | 'answer-lost' | 'late';

interface FakeRun {
  readonly task: TaskId;
  readonly run: number;
  readonly timer: NodeJS.Timeout;
  readonly from: number;
  readonly runMs: number;
}

/** Record of a run, for checks across all upstreams. */
export interface RunSpan {
  readonly task: string;
  readonly run: number;
  readonly upstream: string;
  readonly from: number;
  to: number;
  outcome: string;
}

/** Longest lease that the fake upstreams grant. */
export const FAKE_LEASE_MS = 1_000;

/** Delay of orders that are carried out late. */
const LATE_DELIVERY_DELAY_MS = 3_000;

/** A fake upstream; its clock has an offset of its own. */
export class FakeUpstream {
  private clockBase: number;
  readonly runs = new Map<string, FakeRun>();
  ends: RunEnd[] = [];
  token = 0;
  startedAt: number;
  runMs = 60;
  outcome: 'done' | 'failed' = 'done';
  delivery: (order: 'start' | 'stop' | 'hold') => Delivery = () => 'delivered';
  maxRuns = 2;
  labels: readonly string[] = [];
  dataCentre = 'a';
  /** Whether it refuses all starts. */
  unhealthy = false;
  /** Most run ends in the answer to a hold. */
  maxListedEnds = 500;
  private sequence = 0;
  private leaseUntil = 0;
  private leaseTimer: NodeJS.Timeout | undefined;
  private readonly highestForbiddenRun = new Map<string, number>();
  private readonly waiters = new Set<() => void>();

  constructor(
    /** The next incarnation at the address may have another one. */
    public id: string,
    readonly address: string,
    private readonly spans: RunSpan[],
    startedAt = 1,
  ) {
    this.startedAt = startedAt;
    this.clockBase = 5_000 + id.length - performance.now();
  }

  get clockMs(): number {
    return Math.floor(performance.now() + this.clockBase);
  }

  announcement(sequence: number, leaving = false): Announcement {
    const {id, address, startedAt, clockMs, labels, dataCentre} = this;
    return {
      id,
      address,
      startedAt,
      clockMs,
      sequence,
      leaving,
      pool: 'pool',
      dataCentre,
      cpuMillis: this.maxRuns * 1_000,
      memoryMb: 1_000,
      accelerators: 0,
      labels,
    };
  }

  /** Ends this incarnation; the next one has none of its state. */
  restart(): void {
    for (const key of [...this.runs.keys()]) this.end(key, 'stopped');
    this.ends = [];
    this.sequence = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.clockBase = 5_000 + this.id.length - performance.now();
    this.highestForbiddenRun.clear();
    this.startedAt++;
  }

  start(order: StartOrder): StartAnswer {
    const {clockMs} = this;
    if (this.unhealthy) return refused('unhealthy', clockMs);
    if (order.token < this.token) return refused('superseded', clockMs);
    this.token = order.token;
    const key = getTaskKey(order.task);
    if (this.runs.get(key)?.run === order.run)
      return {type: 'started', clockMs};
    if (order.leaseUntil <= clockMs) return refused('lease-over', clockMs);
    this.extendLease(order.leaseUntil);
    if (order.run <= (this.highestForbiddenRun.get(key) ?? 0)) {
      return refused('older-run', clockMs);
    }
    if (this.runs.size >= this.maxRuns) return refused('no-room', clockMs);
    this.beginRun(order, key);
    return {type: 'started', clockMs};
  }

  stop(order: StopOrder): StopAnswer {
    if (order.token < this.token) return {type: 'superseded'};
    this.token = order.token;
    const key = getTaskKey(order.task);
    this.forbidRun(key, order.run);
    if (this.runs.get(key)?.run === order.run) this.end(key, 'stopped');
    return {type: 'stopping'};
  }

  async hold(order: HoldOrder): Promise<HoldAnswer> {
    if (order.token < this.token) return {type: 'superseded'};
    this.token = order.token;
    this.ends = this.ends.filter(e => e.sequence > order.acknowledged);
    if (order.leaseUntil !== undefined) this.extendLease(order.leaseUntil);
    if (order.waitMs > 0 && this.ends.length === 0) {
      await this.waitForEnd(order.waitMs);
    }
    const active = [...this.runs.values()].map(({task, run, from, runMs}) => ({
      task,
      run,
      percent: Math.floor(((performance.now() - from) * 100) / runMs),
    }));
    const {clockMs, startedAt, maxListedEnds} = this;
    const ends = this.ends.slice(0, maxListedEnds);
    const moreEnds = this.ends.length >= maxListedEnds;
    return {type: 'held', clockMs, startedAt, active, ends, moreEnds};
  }

  private beginRun(order: StartOrder, key: string): void {
    const span: RunSpan = {
      task: key,
      run: order.run,
      upstream: this.id,
      from: performance.now(),
      to: Infinity,
      outcome: 'open',
    };
    this.spans.push(span);
    const timer = setTimeout(() => this.end(key, this.outcome), this.runMs);
    const {task, run} = order;
    const {from} = span;
    this.runs.set(key, {task, run, timer, from, runMs: this.runMs});
  }

  private end(key: string, outcome: RunEnd['outcome']): void {
    const run = this.runs.get(key);
    if (!run) return;
    clearTimeout(run.timer);
    this.runs.delete(key);
    this.forbidRun(key, run.run);
    this.sequence++;
    const {task, run: number} = run;
    this.ends.push({sequence: this.sequence, task, run: number, outcome});
    const span = this.spans.find(
      s =>
        s.task === key &&
        s.run === number &&
        s.upstream === this.id &&
        s.to === Infinity,
    );
    if (span) {
      span.to = performance.now();
      span.outcome = outcome;
    }
    for (const waiter of [...this.waiters]) waiter();
  }

  private forbidRun(key: string, run: number): void {
    this.highestForbiddenRun.set(
      key,
      Math.max(run, this.highestForbiddenRun.get(key) ?? 0),
    );
  }

  private extendLease(until: number): void {
    const most = this.clockMs + FAKE_LEASE_MS;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, most));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => {
      for (const key of [...this.runs.keys()]) this.end(key, 'lease-over');
    }, this.leaseUntil - this.clockMs);
  }

  private waitForEnd(ms: number): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      this.waiters.add(done);
    });
  }
}

function refused(
  reason: Extract<StartAnswer, {type: 'refused'}>['reason'],
  clockMs: number,
): StartAnswer {
  return {type: 'refused', reason, clockMs};
}

/** Delivers orders by address, as the fake upstream there decides. */
export class FakePort extends UpstreamPort {
  constructor(private readonly upstreams: readonly FakeUpstream[]) {
    super();
  }

  override start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer> {
    return this.deliverOrder(to, 'start', order.timeoutMs, async u =>
      u.start(order),
    );
  }

  override stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer> {
    return this.deliverOrder(to, 'stop', order.timeoutMs, async u =>
      u.stop(order),
    );
  }

  override hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer> {
    return this.deliverOrder(to, 'hold', order.timeoutMs, u => u.hold(order));
  }

  override releaseUpstream(): void {
    // The port keeps no state per upstream.
  }

  private async deliverOrder<T>(
    to: UpstreamTarget,
    kind: 'start' | 'stop' | 'hold',
    timeoutMs: number,
    run: (upstream: FakeUpstream) => Promise<T>,
  ): Promise<T> {
    const upstream = this.upstreams.find(({address}) => address === to.address);
    const delivery = upstream ? upstream.delivery(kind) : 'unreached';
    if (!upstream || delivery === 'unreached')
      throw new OrderNotSentError(kind);
    if (delivery === 'delivered') {
      await delay(1);
      if (upstream.id !== to.id) return {type: 'other-life'} as T;
      return run(upstream);
    }
    if (delivery === 'answer-lost') void run(upstream);
    if (delivery === 'late')
      setTimeout(() => void run(upstream), LATE_DELIVERY_DELAY_MS);
    await delay(timeoutMs);
    throw new OrderUnansweredError(kind);
  }
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Returns the pairs of runs of one task that overlap in time. */
export function findOverlappingRuns(spans: readonly RunSpan[]): string[] {
  const found: string[] = [];
  for (const [index, a] of spans.entries()) {
    for (const b of spans.slice(index + 1)) {
      if (a.task !== b.task) continue;
      if (a.from < b.to && b.from < a.to) {
        found.push(`${a.task}: ${a.upstream}/${a.run}, ${b.upstream}/${b.run}`);
      }
    }
  }
  return found;
}
