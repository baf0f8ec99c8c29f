/** Sends attempts, awaits their outcome and moves their tasks on. */
import type {StartResult} from '@mustardferry/coordination';
import type {RetryBudget} from '@mustardferry/decisions';
import {assertNever, must} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import type {AttemptLauncher} from './attempt_launcher.js';
import type {AttemptLedger} from './attempt_ledger.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {OutcomePolicy} from './outcome_policy.js';
import {StartRecorder} from './start_recorder.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';
import type {UpstreamMonitor} from './upstream_monitor.js';

/** Options of {@link AttemptFollower}. */
export interface AttemptFollowerOptions {
  readonly pool: UpstreamPool;
  readonly ledger: AttemptLedger;
  readonly launcher: AttemptLauncher;
  readonly outcomes: OutcomePolicy;
  readonly logger: Logger;
  /** Puts a task back into the queue. */
  readonly requeueTask: (entry: TaskEntry) => void;
  /** Removes a task from the dispatcher. */
  readonly dropTask: (entry: TaskEntry) => void;
  readonly budget: RetryBudget;
  readonly monitor: UpstreamMonitor;
  /** Called for each attempt that was sent, to consider hedging it. */
  readonly watchAttempt: (entry: TaskEntry, attempt: RunningAttempt) => void;
  /** Called when an attempt has freed its slot. */
  readonly onSlotFreed: () => void;
}

/** Period of checks whether an owner has regained its lease. */
const LEASE_CHECK_PERIOD_MS = 20;

/** Sends attempts and handles their outcomes. */
export class AttemptFollower {
  private readonly recorder = new StartRecorder();

  constructor(private readonly options: AttemptFollowerOptions) {}

  /**
   * Sends an attempt. For kinds that must not be repeated, the start is recorded
   * first.
   */
  startAttempt(entry: TaskEntry, attempt: RunningAttempt): void {
    if (entry.task.job.kind.repeatable) this.sendAttempt(entry, attempt);
    else void this.recordStartAndSend(entry, attempt);
  }

  /** Awaits the outcome of an attempt that an earlier owner recorded. */
  resumeAttempt(entry: TaskEntry, attempt: RunningAttempt): void {
    const start = entry.task.job.record.starts.find(
      candidate =>
        candidate.taskIndex === entry.task.index &&
        candidate.attempt === attempt.attempt,
    );
    const {upstream} = must(start, 'resumed attempt without a start record');
    void this.options.launcher
      .resumeAttempt(entry, attempt, upstream)
      .then(outcome => this.handleOutcome(entry, attempt, outcome));
  }

  private async recordStartAndSend(
    entry: TaskEntry,
    attempt: RunningAttempt,
  ): Promise<void> {
    const {job, owner} = entry.task;
    const result = await this.recordStart(entry, attempt);
    // The lease may also be lost and regained within one term. The task then
    // stays with this owner, as no other one would start it.
    const isOwned = await this.waitForLease(entry);
    if (result?.outcome === 'started' && isOwned) {
      if (this.options.pool.allowsStart(attempt.upstream)) {
        this.sendAttempt(entry, attempt);
      } else {
        this.withdrawStart(entry, attempt);
      }
      return;
    }
    this.releaseAttempt(entry, attempt);
    this.options.dropTask(entry);
    if (result?.outcome === 'refused') {
      owner.failJob(job, {
        code: 'task-outcome-unknown',
        detail: `The start was refused: ${result.reason}.`,
        unknown: true,
      });
    } else if (result === undefined && isOwned) {
      owner.failJob(job, {
        code: 'no-durable-storage',
        detail: 'The start could not be recorded on synced storage.',
      });
    }
  }

  /**
   * Records a start. Tries again after a failure without a lease: an owner that
   * regains its lease in the same term proposed nothing meanwhile.
   */
  private async recordStart(
    entry: TaskEntry,
    attempt: RunningAttempt,
  ): Promise<StartResult | undefined> {
    const {job, owner, index} = entry.task;
    const {address, incarnation} = must(
      this.options.pool.announcement(attempt.upstream),
      'routed to an upstream that is not in the pool',
    );
    const item = {
      jobId: job.jobId,
      taskIndex: index,
      attempt: attempt.attempt,
      upstream: {address, incarnation},
      atMs: attempt.startedAtMs,
    };
    for (;;) {
      const result = await this.recorder.record(owner, item);
      if (result !== undefined || owner.active || job.settled) return result;
      if (!(await this.waitForLease(entry))) return undefined;
    }
  }

  /**
   * Waits until the owner holds its lease. Returns false if the job was settled
   * before, for example because the next owner takes it over.
   */
  private async waitForLease(entry: TaskEntry): Promise<boolean> {
    const {job, owner} = entry.task;
    while (!job.settled && !owner.active) await sleep(LEASE_CHECK_PERIOD_MS);
    return !job.settled;
  }

  private sendAttempt(entry: TaskEntry, attempt: RunningAttempt): void {
    if (entry.sentCount === 0) this.options.budget.started(entry.queued.team);
    entry.sentCount += 1;
    entry.task.job.countStart();
    this.options.monitor.recordSent(attempt);
    this.options.watchAttempt(entry, attempt);
    void this.options.launcher
      .launchAttempt(entry, attempt)
      .then(outcome => this.handleOutcome(entry, attempt, outcome));
  }

  /** Queues a task again whose upstream was evacuated before it was sent. */
  private withdrawStart(entry: TaskEntry, attempt: RunningAttempt): void {
    this.releaseAttempt(entry, attempt);
    entry.task.job.explain({
      atMs: Date.now(),
      taskId: entry.queued.taskId,
      step: 'retried',
      reason: 'data-centre-evacuated',
      detail: `not sent to ${attempt.upstream}`,
    });
    void this.retry(entry, 0, attempt);
  }

  private releaseAttempt(entry: TaskEntry, attempt: RunningAttempt): void {
    this.options.ledger.releaseAttempt(entry, attempt, Date.now());
    this.options.onSlotFreed();
  }

  private handleOutcome(
    entry: TaskEntry,
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
  ): void {
    this.releaseAttempt(entry, attempt);
    this.options.outcomes.recordOutcome(entry, attempt, outcome);
    const {job, owner, index} = entry.task;
    if (outcome.type === 'not-started' || outcome.type === 'refused') {
      job.uncountStart();
    }
    if (entry.phase === 'ended' || job.settled) {
      if (entry.running.size === 0) this.options.dropTask(entry);
      return;
    }
    if (outcome.type === 'done') {
      for (const other of entry.running.values()) other.run?.stop();
      this.options.dropTask(entry);
      owner.completeTask(job, index, outcome.value);
      return;
    }
    // Another attempt of the task may still succeed.
    if (entry.running.size === 0) this.handleFailure(entry, attempt, outcome);
  }

  private handleFailure(
    entry: TaskEntry,
    attempt: RunningAttempt,
    outcome: Exclude<AttemptOutcome, {type: 'done'}>,
  ): void {
    const {job, owner} = entry.task;
    const next = this.options.outcomes.decideNextStep(entry, attempt, outcome);
    switch (next.type) {
      case 'fail':
        this.options.dropTask(entry);
        owner.failJob(job, next.failure);
        return;
      case 'retry':
        void this.retry(entry, next.delayMs, next.seal ? attempt : undefined);
        return;
      default:
        assertNever(next);
    }
  }

  private async retry(
    entry: TaskEntry,
    delayMs: number,
    seal: RunningAttempt | undefined,
  ): Promise<void> {
    entry.phase = 'backing-off';
    if (seal !== undefined && !(await this.recordSeal(entry, seal))) return;
    if (delayMs > 0) await sleep(delayMs);
    if (entry.phase !== 'backing-off' || entry.task.job.settled) return;
    this.options.requeueTask(entry);
  }

  /**
   * Records that an attempt never started. Without this record, a later owner
   * would refuse to start the task again, so the job fails if there is none.
   */
  private async recordSeal(
    entry: TaskEntry,
    {attempt}: RunningAttempt,
  ): Promise<boolean> {
    const {job, owner, index} = entry.task;
    for (;;) {
      try {
        await owner.recordSeal(job.jobId, index, attempt);
        return true;
      } catch (err) {
        this.options.logger.info('seal-not-recorded', {jobId: job.jobId, err});
      }
      if (owner.active || !(await this.waitForLease(entry))) break;
    }
    this.options.dropTask(entry);
    if (owner.active) {
      owner.failJob(job, {
        code: 'task-outcome-unknown',
        detail: 'A start that did not happen could not be recorded.',
        unknown: true,
      });
    }
    return false;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
