/** Runs one attempt of a task on one upstream until its outcome is known. */
import {
  type UpstreamLink,
  UpstreamNotReachedError,
  UpstreamProtocolError,
} from '@mustardferry/links';
import type {StartTaskRequest, TaskReply} from '@mustardferry/model';
import {assertNever} from '@mustardferry/model';

import type {AttemptOutcome} from './attempt_outcome.js';

/** Options of an attempt. Durations are in milliseconds. */
export interface TaskAttemptOptions {
  readonly link: UpstreamLink;
  readonly req: StartTaskRequest;
  /** Time after which an answer is overdue and the task is queried by id. */
  readonly overdueAfterMs: number;
  /** How long an unreachable upstream is queried before giving up. */
  readonly resolveTimeoutMs: number;
  /** Called for each query, stop and discarded reply; for the metrics. */
  readonly onProbe: (needed: boolean) => void;
}

const QUERY_BACKOFF_MIN_MS = 50;
const QUERY_BACKOFF_MAX_MS = 1_000;

/** Outcome of one exchange about the task; undefined while it runs. */
type Known = AttemptOutcome | undefined;

/**
 * One attempt. The reply to the start request is the normal way to learn the
 * outcome. When it is overdue or its connection breaks, the attempt is queried
 * by id on another connection, so that a silent connection costs one query.
 */
export class TaskAttempt {
  private readonly abort = new AbortController();
  private settled = false;
  private stopRequested = false;
  private readonly wakers = new Set<() => void>();
  private resolving: Promise<AttemptOutcome> | undefined;

  constructor(private readonly options: TaskAttemptOptions) {}

  /** Starts the task and resolves with its outcome; never rejects. */
  async run(): Promise<AttemptOutcome> {
    const started = this.start();
    const overdue = this.afterOverdue();
    const outcome = await Promise.race([started, overdue]);
    this.settle();
    return outcome;
  }

  /** Finds out what became of an attempt that an earlier owner started. */
  async resume(): Promise<AttemptOutcome> {
    const outcome = await this.resolve();
    this.settle();
    return outcome;
  }

  /** Asks the upstream to stop the task; the outcome follows from `run`. */
  stop(): void {
    if (this.settled || this.stopRequested) return;
    this.stopRequested = true;
    this.wakeAll();
    void this.options.link.stop(this.options.req).catch(() => undefined);
  }

  /** Makes the next query happen now. */
  checkNow(): void {
    this.wakeAll();
  }

  private settle(): void {
    this.settled = true;
    this.abort.abort();
    this.wakeAll();
  }

  private async start(): Promise<AttemptOutcome> {
    const {link, req} = this.options;
    try {
      const reply = await link.start(req, this.abort.signal);
      return this.interpret(reply) ?? (await this.resolve());
    } catch (err) {
      if (this.settled) return {type: 'stopped'};
      if (err instanceof UpstreamNotReachedError) {
        return {type: 'not-started', reason: 'upstream-not-reached'};
      }
      if (err instanceof UpstreamProtocolError) this.options.onProbe(true);
      return this.resolve();
    }
  }

  private async afterOverdue(): Promise<AttemptOutcome> {
    await this.pause(this.options.overdueAfterMs);
    if (this.settled) return {type: 'stopped'};
    return this.resolve();
  }

  /** Queries the upstream until the outcome is known. */
  private resolve(): Promise<AttemptOutcome> {
    this.resolving ??= this.queryUntilKnown();
    return this.resolving;
  }

  private async queryUntilKnown(): Promise<AttemptOutcome> {
    const {overdueAfterMs, resolveTimeoutMs} = this.options;
    let silentSince: number | undefined;
    let runningPauseMs = overdueAfterMs;
    let backoffMs = QUERY_BACKOFF_MIN_MS;
    while (!this.settled) {
      try {
        const known = await this.queryOnce();
        if (known !== undefined) return known;
        silentSince = undefined;
        await this.pause(runningPauseMs);
        runningPauseMs *= 2;
      } catch {
        silentSince ??= Date.now();
        if (Date.now() - silentSince >= resolveTimeoutMs) {
          return {type: 'unresolved', reason: 'upstream-unreachable'};
        }
        await this.pause(backoffMs);
        backoffMs = Math.min(backoffMs * 2, QUERY_BACKOFF_MAX_MS);
      }
    }
    return {type: 'stopped'};
  }

  private async queryOnce(): Promise<Known> {
    const {link, req, onProbe} = this.options;
    const reply = await link.query(req);
    if (reply.incarnation !== req.incarnation) {
      return {type: 'unresolved', reason: 'upstream-restarted'};
    }
    onProbe(reply.state !== 'running');
    if (reply.state === 'unknown' || reply.state === 'never-started') {
      return this.seal();
    }
    return this.interpret(reply);
  }

  /** Makes the upstream refuse a start request that is still on its way. */
  private async seal(): Promise<Known> {
    const {link, req} = this.options;
    const reply = await link.stop(req);
    if (reply.incarnation !== req.incarnation) {
      return {type: 'unresolved', reason: 'upstream-restarted'};
    }
    return this.interpret(reply);
  }

  private interpret(reply: TaskReply): Known {
    switch (reply.state) {
      case 'running':
        return undefined;
      case 'done':
        return {type: 'done', value: reply.value, runMs: reply.runMs};
      case 'error':
        return {type: 'task-error', message: reply.message};
      case 'stopped':
        return {type: 'stopped'};
      case 'never-started':
        return {type: 'not-started', reason: 'sealed'};
      case 'unknown':
        return {type: 'unresolved', reason: 'upstream-lost-record'};
      case 'refused':
        return this.interpretRefusal(reply.refusal);
      default:
        return assertNever(reply);
    }
  }

  private interpretRefusal(
    refusal: Extract<TaskReply, {state: 'refused'}>['refusal'],
  ): Known {
    // The upstream has this attempt already; its state is the answer.
    if (refusal === 'duplicate') return undefined;
    if (refusal === 'sealed') return {type: 'not-started', reason: 'sealed'};
    return {type: 'refused', refusal};
  }

  private pause(ms: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.wakers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.wakers.add(wake);
    });
  }

  private wakeAll(): void {
    for (const wake of [...this.wakers]) wake();
  }
}
