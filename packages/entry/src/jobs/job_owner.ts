/** Owns the jobs of one record group for the duration of one leadership. */
import type {
  RecordsCommand,
  RecordsResult,
  RecordsState,
  StartItem,
  StartResult,
} from '@mustardferry/coordination';
import type {
  ExplainReply,
  OwnerReply,
  SubmitToOwner,
} from '@mustardferry/links';
import type {JobAnswer, OwnerEpoch, Policy} from '@mustardferry/model';
import type {Logger, Metrics} from '@mustardferry/runtime';

import {type Admitted, findTeamKind, JobAdmission} from './job_admission.js';
import {JobDeadlines} from './job_deadlines.js';
import {addJobStep, type JobExplanations} from './job_explanations.js';
import {recordAnswer} from './job_settlement.js';
import {scheduleTasks} from './job_tasks.js';
import {buildJobView} from './job_views.js';
import {OwnershipLostError} from './owner_errors.js';
import {conflictReply, noRecordReply, notOwnerReply} from './owner_replies.js';
import {PendingAdmissions} from './pending_admissions.js';
import {type JobFailure, RunningJob} from './running_job.js';
import {JobOwnership, type TaskScheduler} from './task_scheduler.js';

/** Proposes commands to the record group. */
export type ProposeRecords = (
  command: RecordsCommand,
  options?: {readonly durable?: boolean},
) => Promise<RecordsResult>;

/** Options of {@link JobOwner}. */
export interface JobOwnerOptions {
  readonly group: string;
  readonly epoch: OwnerEpoch;
  readonly state: RecordsState;
  readonly propose: ProposeRecords;
  readonly policy: () => Policy;
  readonly scheduler: TaskScheduler;
  /** How long records are kept after admission. */
  readonly retentionMs: number;
  /** Whether the leader lease is valid, so that no other owner is active. */
  readonly holdsLease: () => boolean;
  /** Whether the group has a member with synced storage. */
  readonly hasDurableStorage: () => boolean;
  readonly explanations: JobExplanations;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

const RECORD_RETRY_DELAY_MS = 100;

/** Admits, runs and answers the jobs of a record group. */
export class JobOwner extends JobOwnership {
  private readonly jobs = new Map<string, RunningJob>();
  private readonly admitting = new PendingAdmissions();
  private readonly deadlines = new JobDeadlines(job =>
    this.failJob(job, {
      code: 'deadline-exceeded',
      detail: 'The deadline passed before all results were in.',
    }),
  );
  private readonly admission: JobAdmission;
  private released = false;

  constructor(private readonly options: JobOwnerOptions) {
    super();
    this.admission = new JobAdmission({
      ...options,
      propose: command => this.propose(command),
    });
  }

  override get epoch(): OwnerEpoch {
    return this.options.epoch;
  }

  override get active(): boolean {
    return !this.released && this.options.holdsLease();
  }

  /** Number of jobs without an answer, including pending admissions. */
  get openJobs(): number {
    return this.jobs.size + this.admitting.size;
  }

  /** Takes over the unfinished jobs of earlier owners. */
  takeOverJobs(): void {
    for (const record of this.options.state.unfinished()) {
      const found = findTeamKind(
        this.options.policy(),
        record.team,
        record.kind,
      );
      if (found === undefined) {
        void this.record(record.jobId, {
          outcome: 'unknown',
          jobId: record.jobId,
          code: 'unknown-kind',
          detail: 'The kind left the configuration during a failover.',
        });
        continue;
      }
      const job = new RunningJob({record, ...found, takenOver: true});
      this.jobs.set(job.jobId, job);
      addJobStep(job, 'taken-over', 'owner-failover');
      this.scheduleJob(job);
    }
  }

  /** Ends this ownership: ends all waits and starts no further tasks. */
  releaseJobs(): void {
    this.released = true;
    this.deadlines.clearAllTimers();
    for (const job of this.jobs.values()) {
      // A settled job ignores pending callbacks that start or complete tasks.
      job.fail({code: 'owner-unknown', detail: 'owner changed'});
      this.options.scheduler.releaseJob(job);
      job.releaseWaiters();
    }
    this.jobs.clear();
  }

  /** Handles a submission. A resubmission joins the existing job. */
  async submit(req: SubmitToOwner): Promise<OwnerReply> {
    const {jobId, digest} = req;
    const known = this.options.state.get(jobId);
    if (known !== undefined) {
      if (known.digest !== digest) return conflictReply(jobId);
      this.jobs.get(jobId)?.noteSubmitter(req.waitMs);
      return this.reply(jobId, req.waitMs);
    }
    const pending = this.admitting.join(jobId, digest, () => this.admit(req));
    if (pending.digest !== digest) return conflictReply(jobId);
    const result = await pending.admitted;
    if (result.type === 'reply') return result.reply;
    this.jobs.get(jobId)?.noteSubmitter(req.waitMs);
    return this.reply(jobId, req.waitMs);
  }

  /** Replies with the state of a job; waits at most `waitMs` for its answer. */
  async reply(jobId: string, waitMs: number): Promise<OwnerReply> {
    const job = this.jobs.get(jobId);
    if (job !== undefined) {
      const answer = await job.waitForAnswer(waitMs);
      if (job.isReleased) return notOwnerReply(jobId);
      return {
        type: 'job',
        jobId,
        view: buildJobView(job.record, answer, job.mayHaveStarted),
      };
    }
    if (this.released) return notOwnerReply(jobId);
    const record = this.options.state.get(jobId);
    if (record === undefined)
      return noRecordReply(jobId, this.options.state, Date.now());
    return {
      type: 'job',
      jobId,
      view: buildJobView(record, record.answer, record.starts.length > 0),
    };
  }

  /** Cancels a job. Its answer tells whether any task may have run. */
  async cancel(jobId: string, waitMs: number): Promise<OwnerReply> {
    const job = this.jobs.get(jobId);
    if (job !== undefined) {
      this.failJob(job, {
        code: 'cancelled',
        detail: 'The client cancelled the job.',
      });
    }
    return this.reply(jobId, waitMs);
  }

  /** Returns the explanation steps of a job while they are kept. */
  explainJob(jobId: string): ExplainReply {
    const steps =
      this.jobs.get(jobId)?.steps ?? this.options.explanations.getSteps(jobId);
    if (steps !== undefined) return {type: 'steps', jobId, steps};
    return noRecordReply(jobId, this.options.state, Date.now());
  }

  override async recordStarts(
    starts: readonly StartItem[],
  ): Promise<readonly StartResult[]> {
    const result = await this.propose({type: 'start', starts}, true);
    return result.type === 'start' ? result.results : [];
  }

  override async recordSeal(
    jobId: string,
    taskIndex: number,
    attempt: number,
  ): Promise<void> {
    await this.propose({type: 'seal', jobId, taskIndex, attempt}, true);
  }

  override completeTask(job: RunningJob, index: number, value: unknown): void {
    const answer = job.complete(index, value);
    if (answer !== undefined) void this.settleJob(job, answer);
  }

  override failJob(job: RunningJob, failure: JobFailure): void {
    const answer = job.fail(failure);
    if (answer === undefined) return;
    const step = failure.code === 'cancelled' ? 'cancelled' : 'refused';
    addJobStep(job, step, failure.code);
    this.options.scheduler.cancel(job, answer);
    void this.settleJob(job, answer);
  }

  private async admit(req: SubmitToOwner): Promise<Admitted> {
    const admitted = await this.admission.admit(req);
    const {jobId} = req;
    if (admitted.type === 'reply') {
      this.options.explanations.storeRefusal(jobId, admitted.verdict);
      return admitted;
    }
    const record = this.options.state.get(jobId);
    if (record === undefined || this.released) {
      return {type: 'reply', reply: notOwnerReply(jobId)};
    }
    if (this.jobs.has(jobId) || record.answer !== undefined) return admitted;
    const job = new RunningJob({
      record,
      ...admitted.found,
      takenOver: false,
    });
    this.jobs.set(jobId, job);
    this.options.metrics.increment('jobs.admitted', 1, {team: record.team});
    addJobStep(job, 'admitted', admitted.verdict.reason);
    this.scheduleJob(job);
    return admitted;
  }

  private scheduleJob(job: RunningJob): void {
    this.deadlines.startTimer(job);
    scheduleTasks(job, this, this.options.scheduler);
  }

  private async settleJob(job: RunningJob, answer: JobAnswer): Promise<void> {
    this.deadlines.clearTimer(job.jobId);
    const stored = await this.recordUntilLost(job, answer);
    if (stored === undefined) return;
    const {outcome} = stored;
    addJobStep(job, 'answered', outcome);
    const {explanations, metrics} = this.options;
    explanations.storeSteps(job.jobId, job.steps);
    const {team, kind, admittedAtMs} = job.record;
    metrics.increment('jobs.answered', 1, {team, outcome});
    const tookMs = Date.now() - admittedAtMs;
    metrics.timing('jobs.response_ms', tookMs, {team, kind});
    this.jobs.delete(job.jobId);
    job.publishAnswer(stored);
  }

  /** Retries while this is the owner; an answer is published once stored. */
  private async recordUntilLost(
    job: RunningJob,
    answer: JobAnswer,
  ): Promise<JobAnswer | undefined> {
    while (!this.released) {
      const stored = await this.record(job.jobId, answer);
      if (stored !== undefined) return stored;
      job.releaseWaiters();
      await new Promise(resolve => setTimeout(resolve, RECORD_RETRY_DELAY_MS));
    }
    return undefined;
  }

  private record(
    jobId: string,
    answer: JobAnswer,
  ): Promise<JobAnswer | undefined> {
    const {logger} = this.options;
    return recordAnswer(each => this.propose(each), jobId, answer, logger);
  }

  private async propose(
    command: RecordsCommand,
    durable = false,
  ): Promise<RecordsResult> {
    if (this.released) {
      throw new OwnershipLostError(`${this.options.group}: ownership ended`);
    }
    try {
      return await this.options.propose(command, {durable});
    } catch (err) {
      throw new OwnershipLostError(
        `${this.options.group}: ${command.type} was not recorded`,
        {cause: err},
      );
    }
  }
}
