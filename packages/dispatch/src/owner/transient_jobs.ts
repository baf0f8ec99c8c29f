/**
 * Transient jobs: their callers wait for the end, so they are not replicated.
 */
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {QueueConfig} from '../jobs/configuration.js';
import type {AdmittedJob} from '../jobs/job_types.js';
import type {Reply, SubmitRefusal} from '../messages/calls.js';
import type {Dispatcher} from './dispatcher.js';
import type {JobTable} from './job_table.js';
import type {Arrival, OpenJob} from './job_table_types.js';

export interface TransientJobsOptions {
  readonly jobTable: JobTable;
  readonly dispatcher: Dispatcher;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Reply to the caller of a dropped job that has not started. */
interface DroppedJobRefusal {
  readonly reason: SubmitRefusal;
  readonly retryAfterS?: number;
}

interface PendingReply {
  readonly reply: Promise<Reply>;
  readonly resolve: (reply: Reply) => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Most ended jobs whose replies are kept for repeated submissions, and most
 * dropped jobs that are remembered.
 */
const MAX_KEPT_REPLIES = 4_096;

/** Replies to each caller once its job has ended or its deadline has passed. */
export class TransientJobs {
  private readonly pendingReplies = new Map<string, PendingReply>();
  private readonly answers = new Map<string, Reply>();
  private readonly droppedAfterStart = new Set<string>();

  constructor(private readonly options: TransientJobsOptions) {
    options.dispatcher.onUselessJob = id =>
      this.abandon(id, 'result no longer useful');
    options.dispatcher.onEvacuatedJob = id =>
      this.abandon(id, 'data centres evacuated', 'evacuated');
    options.dispatcher.onTransientJobEnd = (id, state) => this.ended(id, state);
  }

  /** Returns the reply to an earlier submission of a job, if there is one. */
  known(id: string): Promise<Reply> | Reply | undefined {
    return this.pendingReplies.get(id)?.reply ?? this.answers.get(id);
  }

  /**
   * Whether an earlier submission of a job may have begun: before it was
   * dropped, or under an earlier leader.
   */
  mayHaveRun(id: string): boolean {
    const {dispatcher} = this.options;
    return this.droppedAfterStart.has(id) || dispatcher.isListed(id);
  }

  /** Runs a job; resolves at the latest when its caller stops waiting. */
  submit(
    job: AdmittedJob,
    queue: QueueConfig,
    arrival: Arrival,
  ): Promise<Reply> {
    let resolveReply: (reply: Reply) => void = () => undefined;
    const reply = new Promise<Reply>(resolve => (resolveReply = resolve));
    const timeLeftMs = arrival.deadlineAt - performance.now();
    const timer = setTimeout(() => this.expire(job.id), timeLeftMs);
    this.pendingReplies.set(job.id, {reply, resolve: resolveReply, timer});
    this.options.dispatcher.addJob(job, queue, arrival);
    return reply;
  }

  /** Drops a job whose caller has disconnected. */
  dropDisconnected(id: string): void {
    const job = this.findOpen(id);
    if (job) this.drop(job, 'caller gone', null);
  }

  /**
   * Replies to all waiting callers that their jobs were interrupted; the next
   * owner may run them.
   */
  close(): void {
    for (const id of [...this.pendingReplies.keys()]) {
      this.resolveReply(id, {type: 'interrupted'});
    }
  }

  /**
   * Drops a job that can't run or whose result would come too late, and advises
   * its caller when to come back.
   *
   * @param reason Reason of the refusal if the job has not started.
   */
  private abandon(
    id: string,
    cause: string,
    reason: SubmitRefusal = 'not-in-time',
  ): void {
    const job = this.findOpen(id);
    if (!job) return;
    const {admitted, objectiveMs} = job;
    const {pool, steps} = admitted;
    const {returnForecast} = this.options.dispatcher;
    const retryAfterS = returnForecast.getRetryAfterS(
      {pool, steps, objectiveMs, reason},
      performance.now(),
    );
    this.drop(job, cause, {reason, retryAfterS});
  }

  private findOpen(id: string): OpenJob | undefined {
    const job = this.options.jobTable.job(id);
    return job?.admitted.durable ? undefined : job;
  }

  /** @param refusal Null if no caller waits for the reply. */
  private drop(
    job: OpenJob,
    cause: string,
    refusal: DroppedJobRefusal | null,
  ): void {
    const {dispatcher, logger, metrics} = this.options;
    const {id} = job.admitted;
    const {reason, ...advice} = refusal ?? {reason: 'not-in-time'};
    const started =
      job.started ||
      !job.isNew ||
      this.mayHaveRun(id) ||
      job.tasks.flat().some(({run}) => run);
    logger.info('job-abandoned', {
      job: id,
      cause,
      ageMs: Math.round(performance.now() - job.receivedAt),
      started,
    });
    dispatcher.dropJob(id);
    if (started) this.rememberDropped(id);
    const reply: Reply = started
      ? {type: 'given-up', ...advice}
      : {type: 'refused', reason, ...advice};
    if (!started && refusal) metrics.increment('jobs.refused', 1, {reason});
    this.resolveReply(id, reply);
  }

  private rememberDropped(id: string): void {
    this.droppedAfterStart.add(id);
    if (this.droppedAfterStart.size <= MAX_KEPT_REPLIES) return;
    const [oldest] = this.droppedAfterStart;
    if (oldest !== undefined) this.droppedAfterStart.delete(oldest);
  }

  private expire(id: string): void {
    this.abandon(id, 'caller deadline passed');
  }

  private ended(id: string, state: 'completed' | 'failed'): void {
    const reply: Reply = {type: 'ended', state};
    this.answers.set(id, reply);
    if (this.answers.size > MAX_KEPT_REPLIES) {
      const [oldest] = this.answers.keys();
      if (oldest !== undefined) this.answers.delete(oldest);
    }
    this.resolveReply(id, reply);
  }

  private resolveReply(id: string, reply: Reply): void {
    const pendingReply = this.pendingReplies.get(id);
    if (!pendingReply) return;
    this.pendingReplies.delete(id);
    clearTimeout(pendingReply.timer);
    pendingReply.resolve(reply);
  }
}
