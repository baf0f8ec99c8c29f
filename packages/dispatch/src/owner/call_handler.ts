/** Answers calls from the replicated state and the job table. */
import {
  LogFailedError,
  NotLeaderError,
  NotProposedError,
  type ReplicatedLog,
} from '@mustardferry/coordination';
import {assertNever} from '@mustardferry/model';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {Command, CommandResult, JobRecord} from '../jobs/commands.js';
import type {Configuration, QueueConfig} from '../jobs/configuration.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import {
  type AdmittedJob,
  getQueueKey,
  type JobState,
} from '../jobs/job_types.js';
import type {
  Call,
  CallOrigin,
  Reply,
  SubmitRefusal,
} from '../messages/calls.js';
import {
  admittedJob,
  arrivalOf,
  lastSegment,
  type SubmitCall,
} from './call_parts.js';
import type {Dispatcher, Propose} from './dispatcher.js';
import {computeExpectedTimes, type JobTable} from './job_table.js';
import type {Arrival} from './job_table_types.js';
import type {Registrar} from './registrar.js';
import {TransientJobs} from './transient_jobs.js';

/** What calls are answered from. */
export interface CallHandlerOptions {
  readonly state: DispatchState;
  readonly log: ReplicatedLog<Command, CommandResult>;
  readonly propose: Propose;
  readonly jobTable: JobTable;
  readonly dispatcher: Dispatcher;
  readonly registrar: Registrar;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly term: number;
  readonly address: string;
}

/** Open jobs beyond which submissions are refused; bounds memory. */
const MAX_OPEN_JOBS = 5_000;

/** Handles the calls of one term. */
export class CallHandler {
  private readonly transients: TransientJobs;
  private readonly submitting = new Map<string, Promise<Reply>>();

  constructor(private readonly options: CallHandlerOptions) {
    this.transients = new TransientJobs(options);
  }

  /** Drops a job whose caller has gone. */
  abandon(job: string): void {
    this.transients.abandon(job, 'caller gone');
  }

  /** Answers the callers that wait for the end of their jobs. */
  close(): void {
    this.transients.close();
  }

  /** Answers a call; failures of the log become replies. */
  async handleCall(call: Call, origin: CallOrigin): Promise<Reply> {
    try {
      return await this.dispatch(call, origin);
    } catch (err) {
      this.options.logger.warn('call-interrupted', {call: call.type, err});
      const hadNoEffect =
        err instanceof NotLeaderError ||
        err instanceof NotProposedError ||
        err instanceof LogFailedError;
      return {type: hadNoEffect ? 'not-leader' : 'interrupted'};
    }
  }

  private dispatch(call: Call, origin: CallOrigin): Promise<Reply> | Reply {
    switch (call.type) {
      case 'submit':
        return this.submit(call, arrivalOf(call, origin));
      case 'state':
        return this.state(call.host, call.path);
      case 'cancel':
        return this.cancel(call.path);
      case 'abandon':
        this.abandon(call.job);
        return {type: 'no-job'};
      case 'announce':
        return this.announce(call);
      case 'leave':
        return this.leave(call.id);
      case 'configure':
        return this.configure(call.configuration);
      case 'read-configuration':
        return this.readConfiguration();
      default:
        return assertNever(call);
    }
  }

  private submit(call: SubmitCall, arrival: Arrival): Promise<Reply> | Reply {
    const {state, jobTable, logger} = this.options;
    const {queues} = state;
    const {job} = call;
    if (!queues) return this.refuse(job.id, 'no-configuration');
    const queue = queues.findQueue(call.host, call.path);
    if (!queue || queue.prefix + job.id !== call.path) {
      logger.info('job-unroutable', {
        job: job.id,
        host: call.host,
        revision: queues.configuration.revision,
      });
      return {type: 'no-queue'};
    }
    if (state.jobs.has(job.id)) return {type: 'accepted'};
    const running = this.submitting.get(job.id);
    if (running) return running;
    const answered = this.transients.known(job.id);
    if (answered) return answered;
    if (jobTable.openCount >= MAX_OPEN_JOBS) {
      return this.refuse(job.id, 'overloaded');
    }
    if (!job.durable) return this.runTransient(call, queue, arrival);
    const admission = this.admit(call, queue, arrival).finally(() =>
      this.submitting.delete(job.id),
    );
    this.submitting.set(job.id, admission);
    return admission;
  }

  private refuse(job: string, reason: SubmitRefusal): Reply {
    const {logger, metrics, jobTable} = this.options;
    logger.warn('job-refused', {job, reason, openJobs: jobTable.openCount});
    metrics.increment('jobs.refused', 1, {reason});
    return {type: 'refused', reason};
  }

  /**
   * Tasks start beside the commit: a leader that fails in between leaves runs
   * that the next one finds on the upstreams before it starts anything.
   */
  private async admit(
    {job}: SubmitCall,
    queue: QueueConfig,
    arrival: Arrival,
  ): Promise<Reply> {
    const {propose, dispatcher, term, metrics} = this.options;
    const admitted = admittedJob(job, queue, term);
    const now = performance.now();
    const early = !dispatcher.earlyEndJobs.has(job.id);
    if (early) dispatcher.addJob(admitted, queue, arrival);
    try {
      await propose({type: 'submit', job: admitted});
    } catch {
      // Logged by the proposer; tasks may have started.
      return {type: 'interrupted'};
    }
    metrics.increment('jobs.accepted');
    metrics.timing('jobs.admission', performance.now() - now);
    this.reportAccepted(admitted, queue, performance.now() - now);
    if (!early) this.placeRecorded(job.id, queue, now);
    return {type: 'accepted'};
  }

  private runTransient(
    {job}: SubmitCall,
    queue: QueueConfig,
    arrival: Arrival,
  ): Promise<Reply> | Reply {
    const {dispatcher, term} = this.options;
    const {pool, priority} = queue;
    const expected = computeExpectedTimes(job, queue);
    if (!dispatcher.canServe({...arrival, ...expected, pool, priority})) {
      const mayHaveRun = !arrival.isNew || this.transients.mayHaveRun(job.id);
      // A refusal says that the job never ran.
      if (mayHaveRun) return {type: 'given-up'};
      return this.refuse(job.id, 'not-in-time');
    }
    const admitted = admittedJob(job, queue, term);
    this.options.metrics.increment('jobs.accepted');
    this.reportAccepted(admitted, queue, 0);
    return this.transients.submit(admitted, queue, arrival);
  }

  private reportAccepted(
    job: AdmittedJob,
    queue: QueueConfig,
    commitMs: number,
  ): void {
    const {logger, state, jobTable} = this.options;
    logger.info('job-accepted', {
      job: job.id,
      queue: queue.name,
      revision: state.queues?.configuration.revision,
      durable: job.durable,
      tasks: job.steps.reduce((sum, {tasks}) => sum + tasks, 0),
      openJobs: jobTable.openCount,
      commitMs: Math.round(commitMs),
    });
  }

  /** Places a job of which ends were committed before it was admitted. */
  private placeRecorded(id: string, queue: QueueConfig, now: number): void {
    const {jobTable, dispatcher, state, term} = this.options;
    dispatcher.earlyEndJobs.delete(id);
    const record = state.jobs.get(id);
    if (record?.outcome !== 'open' || jobTable.job(id)) return;
    jobTable.recover(record, queue, now, term);
    if (dispatcher.isRecoveryComplete) jobTable.completeRecovery();
    dispatcher.schedule();
  }

  private state(host: string, path: string): Reply {
    const {queues} = this.options.state;
    const {jobTable, state} = this.options;
    if (!queues) return {type: 'refused', reason: 'no-configuration'};
    const queue = queues.findQueue(host, path);
    if (queue?.prefix === path) {
      return {type: 'pending', count: jobTable.pending(getQueueKey(queue))};
    }
    const record = state.jobs.get(lastSegment(path));
    if (record) return {type: 'state', state: this.stateOf(record)};
    return queue ? {type: 'no-job'} : {type: 'no-queue'};
  }

  private stateOf({job, outcome}: JobRecord): JobState {
    if (outcome !== 'open') return outcome;
    return this.options.jobTable.job(job.id)?.started ? 'running' : 'queued';
  }

  private async cancel(path: string): Promise<Reply> {
    const {state, propose, dispatcher, logger} = this.options;
    const id = lastSegment(path);
    await this.submitting.get(id);
    const record = state.jobs.get(id);
    if (!record) return {type: 'no-job'};
    if (record.outcome === 'open') {
      await propose({type: 'cancel', job: id, at: Date.now()});
      logger.info('job-cancelled', {
        job: id,
        ageMs: Date.now() - record.job.admittedAt,
      });
      dispatcher.dropJob(id);
    }
    const now = state.jobs.get(id);
    return {type: 'state', state: now ? this.stateOf(now) : 'cancelled'};
  }

  private async announce({
    upstream,
  }: Extract<Call, {type: 'announce'}>): Promise<Reply> {
    await this.options.registrar.announce(upstream);
    return {type: 'announced', leader: this.options.address};
  }

  private async leave(id: string): Promise<Reply> {
    await this.options.registrar.leave(id);
    return {type: 'announced', leader: this.options.address};
  }

  private async configure(configuration: Configuration): Promise<Reply> {
    const {state, log, propose, logger} = this.options;
    const {revision} = configuration;
    const held = state.queues?.configuration.revision ?? -1;
    if (revision <= held) {
      // Only committed revisions may be acknowledged by an old leader, too.
      await log.readBarrier();
      logger.info('configuration-known', {revision, held});
      return {type: 'configured', revision: held};
    }
    await propose({type: 'configure', configuration});
    logger.info('configuration-accepted', {
      revision,
      replaced: held,
      queues: configuration.queues.length,
    });
    this.options.dispatcher.schedule();
    return {type: 'configured', revision};
  }

  private async readConfiguration(): Promise<Reply> {
    const {state, log} = this.options;
    await log.readBarrier();
    const {queues} = state;
    if (!queues) return {type: 'no-configuration'};
    return {type: 'configuration', source: queues.configuration.source};
  }
}
