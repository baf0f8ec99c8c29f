/** Sends attempts, awaits their outcome and moves their tasks on. */
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
    const {job, owner, index} = entry.task;
    const {address, incarnation} = must(
      this.options.pool.announcement(attempt.upstream),
      'routed to an upstream that is not in the pool',
    );
    const result = await this.recorder.record(owner, {
      jobId: job.jobId,
      taskIndex: index,
      attempt: attempt.attempt,
      upstream: {address, incarnation},
      atMs: attempt.startedAtMs,
    });
    if (result?.outcome === 'started' && owner.active && !job.settled) {
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
    } else if (result === undefined && owner.active) {
      owner.failJob(job, {
        code: 'no-durable-storage',
        detail: 'The start could not be recorded on synced storage.',
      });
    }
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
    const {job, owner, index} = entry.task;
    if (seal !== undefined) {
      try {
        await owner.recordSeal(job.jobId, index, seal.attempt);
      } catch (err) {
        this.options.logger.info('seal-not-recorded', {jobId: job.jobId, err});
        this.options.dropTask(entry);
        // Without this record, a later owner would refuse to start the task again.
        if (owner.active) {
          owner.failJob(job, {
            code: 'task-outcome-unknown',
            detail: 'A start that did not happen could not be recorded.',
            unknown: true,
          });
        }
        return;
      }
    }
    if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, delayMs));
    if (entry.phase !== 'backing-off' || job.settled) return;
    this.options.requeueTask(entry);
  }
}
