/** Runs one attempt of a task on one upstream until its outcome is known. */
import {
  type UpstreamLink,
  UpstreamNotReachedError,
  UpstreamProtocolError,
} from '@mustardferry/links';
import type {StartTaskRequest, TaskReply} from '@mustardferry/model';
import {assertNever} from '@mustardferry/model';

import type {AttemptOutcome} from './attempt_outcome.js';

/** Options of {@link TaskAttempt}. */
export interface TaskAttemptOptions {
  readonly link: UpstreamLink;
  readonly req: StartTaskRequest;
  /** How long an unreachable upstream is queried before giving up. */
  readonly resolveTimeoutMs: number;
  /**
   * Called for each query and each discarded reply, for the metrics. `needed` is
   * false when a query found the task still running.
   */
  readonly onProbe: (needed: boolean) => void;
  /** Called when a query yielded the outcome but the start got no reply. */
  readonly onSilentConnection: () => void;
}

/** Time for a reply in transit to arrive after a sign that the task ended. */
const REPLY_GRACE_MS = 50;
const QUERY_BACKOFF_MIN_MS = 50;
const QUERY_BACKOFF_MAX_MS = 250;

/** Outcome according to one reply; `undefined` while the task runs. */
type KnownOutcome = AttemptOutcome | undefined;

/**
 * One attempt to run a task. Normally the reply to the start request carries the
 * outcome. Lease renewals reveal that the task no longer runs; if there is no
 * reply by then, or the connection broke, the attempt is queried by id on another
 * connection. This detects a silent connection without extra messages.
 */
export class TaskAttempt {
  private readonly abortController = new AbortController();
  private settled = false;
  private stopRequested = false;
  private readonly waiters = new Set<() => void>();
  private resolving: Promise<AttemptOutcome> | undefined;
  private awaitingReply = false;

  constructor(private readonly options: TaskAttemptOptions) {}

  /** Starts the task and resolves with its outcome; never rejects. */
  async run(): Promise<AttemptOutcome> {
    const started = this.start();
    const queried = this.waitForWake().then(() => this.resolveAfterGrace());
    const outcome = await Promise.race([started, queried]);
    this.markSettled();
    return outcome;
  }

  /** Determines the outcome of an attempt that an earlier owner started. */
  async resumeAttempt(): Promise<AttemptOutcome> {
    const outcome = await this.resolveOutcome();
    this.markSettled();
    return outcome;
  }

  /** Asks the upstream to stop the task; the outcome follows from `run`. */
  stop(): void {
    if (this.settled || this.stopRequested) return;
    this.stopRequested = true;
    void this.options.link.stop(this.options.req).catch(() => undefined);
  }

  /** Queries the upstream soon, since the task may have ended without a reply. */
  queryNow(): void {
    this.wakeWaiters();
  }

  private markSettled(): void {
    this.settled = true;
    this.abortController.abort();
    this.wakeWaiters();
  }

  private async start(): Promise<AttemptOutcome> {
    const {link, req} = this.options;
    this.awaitingReply = true;
    try {
      const reply = await link.start(req, this.abortController.signal);
      this.awaitingReply = false;
      return this.interpretReply(reply) ?? (await this.resolveOutcome());
    } catch (err) {
      this.awaitingReply = false;
      if (this.settled) return {type: 'stopped'};
      if (err instanceof UpstreamNotReachedError) {
        return {type: 'not-started', reason: 'upstream-not-reached'};
      }
      if (err instanceof UpstreamProtocolError) this.options.onProbe(true);
      return this.resolveOutcome();
    }
  }

  private async resolveAfterGrace(): Promise<AttemptOutcome> {
    await this.waitForWakeOrTimeout(REPLY_GRACE_MS);
    if (this.settled) return {type: 'stopped'};
    const outcome = await this.resolveOutcome();
    if (!this.settled && this.awaitingReply && outcome.type !== 'stopped') {
      this.options.onSilentConnection();
    }
    return outcome;
  }

  /** Queries the upstream until the outcome is known. */
  private resolveOutcome(): Promise<AttemptOutcome> {
    this.resolving ??= this.queryUntilKnown();
    return this.resolving;
  }

  private async queryUntilKnown(): Promise<AttemptOutcome> {
    let silentSince: number | undefined;
    let backoffMs = QUERY_BACKOFF_MIN_MS;
    while (!this.settled) {
      try {
        const known = await this.queryState();
        if (known !== undefined) return known;
        silentSince = undefined;
        // The reply or the next renewal triggers the next query.
        if (this.awaitingReply) await this.waitForWake();
      } catch {
        silentSince ??= Date.now();
        const silentMs = Date.now() - silentSince;
        if (silentMs >= this.options.resolveTimeoutMs) {
          return {type: 'unresolved', reason: 'upstream-unreachable'};
        }
      }
      await this.waitForWakeOrTimeout(backoffMs);
      backoffMs = Math.min(backoffMs * 2, QUERY_BACKOFF_MAX_MS);
    }
    return {type: 'stopped'};
  }

  private async queryState(): Promise<KnownOutcome> {
    const {link, req, onProbe} = this.options;
    const reply = await link.query(req);
    if (reply.incarnation !== req.incarnation) {
      return {type: 'unresolved', reason: 'upstream-restarted'};
    }
    onProbe(reply.state !== 'running');
    if (reply.state === 'unknown' || reply.state === 'never-started') {
      return this.seal();
    }
    return this.interpretReply(reply);
  }

  /**
   * Stops an attempt that the upstream has not seen, so that it refuses a start
   * request that is still in transit.
   */
  private async seal(): Promise<KnownOutcome> {
    const {link, req} = this.options;
    const reply = await link.stop(req);
    if (reply.incarnation !== req.incarnation) {
      return {type: 'unresolved', reason: 'upstream-restarted'};
    }
    return this.interpretReply(reply);
  }

  private interpretReply(reply: TaskReply): KnownOutcome {
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
  ): KnownOutcome {
    // The upstream already has this attempt, so its state is queried.
    if (refusal === 'duplicate') return undefined;
    if (refusal === 'sealed') return {type: 'not-started', reason: 'sealed'};
    return {type: 'refused', refusal};
  }

  /** Like {@link waitForWake}, but at most for the given time. */
  private waitForWakeOrTimeout(ms: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiters.add(wake);
    });
  }

  /** Resolves on the next requested query, or when the outcome is known. */
  private waitForWake(): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
    });
  }

  private wakeWaiters(): void {
    for (const wake of [...this.waiters]) wake();
  }
}
