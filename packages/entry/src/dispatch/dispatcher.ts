/** Selects tasks by fair share, routes them to upstreams and starts them. */
import type {
  HedgingPolicy,
  QueuedTask,
  RetryBudget,
  RoutingDecision,
  RoutingPolicy,
  RunTimeEstimator,
  SharingPolicy,
} from '@mustardferry/decisions';
import type {JobAnswer} from '@mustardferry/model';
import {upstreamKey} from '@mustardferry/model';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {RunningJob} from '../jobs/running_job.js';
import {
  type AdmissionRequest,
  type AdmissionVerdict,
  type ScheduledTask,
  TaskScheduler,
} from '../jobs/task_scheduler.js';
import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import type {Admission} from './admission.js';
import {AttemptFollower} from './attempt_follower.js';
import type {AttemptLauncher} from './attempt_launcher.js';
import {AttemptLedger, type CreditUse} from './attempt_ledger.js';
import {Hedger} from './hedger.js';
import {JobProgress} from './job_progress.js';
import type {OutcomePolicy} from './outcome_policy.js';
import {StrandedTasks} from './stranded_tasks.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';
import {TaskTable} from './task_table.js';
import type {UpstreamMonitor} from './upstream_monitor.js';

type RoutedStart = Extract<RoutingDecision, {type: 'start'}>;

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly sharing: SharingPolicy;
  readonly routing: RoutingPolicy;
  readonly estimator: RunTimeEstimator;
  readonly pool: UpstreamPool;
  readonly launcher: AttemptLauncher;
  readonly credits: CreditUse;
  readonly admission: Admission;
  readonly outcomes: OutcomePolicy;
  readonly hedging: HedgingPolicy;
  readonly budget: RetryBudget;
  readonly monitor: UpstreamMonitor;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Limits the starts in one event loop turn so that replies are read in between. */
const MAX_STARTS_PER_TURN = 256;
/** Delay before queued tasks that got no upstream are routed again. */
const WAITING_TASK_RETRY_MS = 20;

/** Dispatch loop of an entry instance. */
export class Dispatcher extends TaskScheduler {
  private readonly tasks = new TaskTable();
  private readonly progress = new JobProgress();
  private readonly ledger: AttemptLedger;
  private readonly follower: AttemptFollower;
  private readonly hedger: Hedger;
  private readonly stranded: StrandedTasks;
  private dispatchScheduled = false;
  private retryTimer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(private readonly options: DispatcherOptions) {
    super();
    this.stranded = new StrandedTasks(options.pool);
    this.ledger = new AttemptLedger({...options, progress: this.progress});
    this.follower = new AttemptFollower({
      ...options,
      ledger: this.ledger,
      requeueTask: entry => this.enqueueTask(entry),
      dropTask: entry => this.dropTask(entry),
      watchAttempt: (entry, attempt) =>
        this.hedger.watchAttempt(entry, attempt),
      onSlotFreed: () => this.requestDispatch(),
    });
    this.hedger = new Hedger({
      ...options,
      start: (entry, upstream, expectedRunMs) =>
        this.startAttempt(entry, upstream, expectedRunMs, Date.now()),
    });
  }

  /** Number of tasks that are queued, running or waiting for a retry. */
  get openTaskCount(): number {
    return this.tasks.size;
  }

  /**
   * Number of open tasks without those of jobs that were cancelled, answered or
   * released to another owner.
   */
  get ownedTaskCount(): number {
    return this.tasks.activeCount;
  }

  override admit(req: AdmissionRequest): Promise<AdmissionVerdict> {
    return this.options.admission.decideAdmission(req);
  }

  override scheduleTask(task: ScheduledTask): void {
    if (!task.job.settled) this.enqueueTask(this.tasks.add(task, Date.now()));
  }

  override resumeTask(task: ScheduledTask): void {
    const start = task.job.record.starts.findLast(
      candidate => candidate.taskIndex === task.index && !candidate.sealed,
    );
    if (start === undefined || task.job.settled) return;
    const entry = this.tasks.add(task, Date.now());
    entry.phase = 'running';
    const attempt: RunningAttempt = {
      attempt: start.attempt,
      upstream: upstreamKey(start.upstream),
      startedAtMs: start.atMs,
      expectedRunMs: entry.queued.expectedRunMs,
      chargeId: `${entry.queued.taskId}#${start.attempt}`,
      resumed: true,
    };
    this.ledger.trackResumedAttempt(entry, attempt);
    this.follower.resumeAttempt(entry, attempt);
  }

  override cancel(job: RunningJob, _answer: JobAnswer): void {
    this.end(job, attempt => attempt.run?.stop());
  }

  override releaseJob(job: RunningJob): void {
    const {repeatable} = job.kind;
    this.end(job, ({run, stopLeaseRenewal}) =>
      repeatable ? run?.stop() : stopLeaseRenewal?.(),
    );
  }

  /**
   * Schedules a dispatch pass in the next event loop turn. Called when tasks,
   * credits or upstreams change.
   */
  requestDispatch(): void {
    if (this.dispatchScheduled || this.closed) return;
    this.dispatchScheduled = true;
    setImmediate(() => {
      this.dispatchScheduled = false;
      this.dispatchTasks();
    });
  }

  /** Applies a change of the evacuated data centres to queued tasks. */
  recheckQueuedTasks(): void {
    for (const entry of this.tasks.listEntries()) this.stranded.add(entry);
    this.requestDispatch();
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.retryTimer);
    for (const entry of this.tasks.listEntries()) {
      for (const attempt of entry.running.values()) attempt.run?.queryNow();
    }
  }

  /** Drops the waiting tasks of a job. Running ones keep their slots until they end. */
  private end(job: RunningJob, leave: (attempt: RunningAttempt) => void): void {
    this.options.sharing.cancel(job.jobId, Date.now());
    for (const entry of this.tasks.listJobEntries(job.jobId)) {
      for (const attempt of entry.running.values()) leave(attempt);
      if (entry.running.size === 0) this.dropTask(entry);
      else entry.phase = 'ended';
    }
    this.requestDispatch();
  }

  private enqueueTask(entry: TaskEntry): void {
    entry.phase = 'queued';
    this.options.sharing.enqueue(entry.queued, Date.now());
    this.stranded.add(entry);
    this.requestDispatch();
  }

  private dispatchTasks(): void {
    const {sharing, pool} = this.options;
    this.stranded.check(Date.now());
    let starts = 0;
    for (; starts < MAX_STARTS_PER_TURN; starts++) {
      const now = Date.now();
      const chosen: {start?: RoutedStart | undefined} = {};
      // Routing inside the filter keeps tasks without an upstream in their place
      // in the queue.
      const decision = sharing.next(now, task => {
        chosen.start = this.findRoute(task, now);
        return chosen.start !== undefined;
      });
      const entry = decision && this.tasks.getEntry(decision.task.taskId);
      if (entry === undefined || chosen.start === undefined) break;
      this.startRoutedTask(entry, chosen.start, now);
    }
    if (starts === MAX_STARTS_PER_TURN) this.requestDispatch();
    else if (sharing.queuedTasks > 0 && pool.candidates.freeCredits > 0) {
      this.scheduleRetry();
    }
  }

  private findRoute(task: QueuedTask, now: number): RoutedStart | undefined {
    if (!this.options.pool.candidates.hasFreeCredit(task.kind))
      return undefined;
    const entry = this.tasks.getEntry(task.taskId);
    if (entry === undefined || !entry.task.owner.active) return undefined;
    const routed = this.chooseRoute(entry, now);
    return routed.type === 'start' ? routed : undefined;
  }

  private chooseRoute(entry: TaskEntry, now: number): RoutingDecision {
    const {queued, excludedUpstreams} = entry;
    const {routing, pool, sharing} = this.options;
    const jobEndsAtMs = this.progress.getExpectedEndMs(queued.jobId);
    const jobRacks = this.progress.getRacks(queued.jobId);
    return routing.chooseUpstream(
      {
        ...queued,
        excluded: excludedUpstreams,
        waitingTasks: sharing.queuedTasks,
        ...(jobEndsAtMs === undefined ? {} : {jobEndsAtMs}),
        ...(jobRacks === undefined ? {} : {jobRacks}),
      },
      pool.candidates,
      now,
    );
  }

  /** Retries queued tasks later, in case no other event requests a dispatch. */
  private scheduleRetry(): void {
    clearTimeout(this.retryTimer);
    this.retryTimer = setTimeout(
      () => this.requestDispatch(),
      WAITING_TASK_RETRY_MS,
    );
  }

  private startRoutedTask(
    entry: TaskEntry,
    routed: RoutedStart,
    now: number,
  ): void {
    const {upstream, expectedRunMs, reason} = routed;
    entry.task.job.explain({
      atMs: now,
      taskId: entry.queued.taskId,
      step: 'routed',
      reason,
      detail: upstream,
    });
    this.startAttempt(entry, upstream, expectedRunMs, now);
  }

  private startAttempt(
    entry: TaskEntry,
    upstream: string,
    expectedRunMs: number,
    now: number,
  ): void {
    const attempt: RunningAttempt = {
      attempt: entry.nextAttempt,
      upstream,
      startedAtMs: now,
      expectedRunMs,
      chargeId: `${entry.queued.taskId}#${entry.nextAttempt}`,
    };
    entry.nextAttempt += 1;
    entry.phase = 'running';
    this.ledger.chargeAttempt(entry, attempt);
    this.follower.startAttempt(entry, attempt);
  }

  private dropTask(entry: TaskEntry): void {
    entry.phase = 'ended';
    const {jobId} = entry.queued;
    if (this.tasks.remove(entry)) this.progress.removeJob(jobId);
  }
}
