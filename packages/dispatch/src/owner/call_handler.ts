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
import type {QueueConfig} from '../jobs/configuration.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import {
  type AdmittedJob,
  getQueueKey,
  type JobRequest,
  type JobState,
} from '../jobs/job_types.js';
import type {
  Call,
  CallOrigin,
  Reply,
  SubmitRefusal,
} from '../messages/calls.js';
import {
  createAdmittedJob,
  createArrival,
  extractJobId,
  type SubmitCall,
} from './call_conversion.js';
import {ConfigurationOrders} from './configuration_orders.js';
import type {Dispatcher} from './dispatcher.js';
import {EvacuationOrders} from './evacuation_orders.js';
import {computeExpectedTimes, type JobTable} from './job_table.js';
import type {Arrival} from './job_table_types.js';
import type {Propose} from './proposer.js';
import {Refusals} from './refusals.js';
import type {SessionRegistry} from './session_registry.js';
import {TransientJobs} from './transient_jobs.js';

/** Options of the call handler. */
export interface CallHandlerOptions {
  readonly state: DispatchState;
  readonly log: ReplicatedLog<Command, CommandResult>;
  readonly propose: Propose;
  readonly jobTable: JobTable;
  readonly dispatcher: Dispatcher;
  readonly sessionRegistry: SessionRegistry;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly term: number;
  readonly address: string;
}

/** Submissions are refused at this number of open jobs, to bound memory. */
const MAX_OPEN_JOBS = 5_000;

/** Handles the calls of one term of leadership. */
export class CallHandler {
  private readonly transientJobs: TransientJobs;
  private readonly refusals: Refusals;
  private readonly configurationOrders: ConfigurationOrders;
  private readonly evacuationOrders: EvacuationOrders;
  private readonly pendingAdmissions = new Map<string, Promise<Reply>>();

  constructor(private readonly options: CallHandlerOptions) {
    this.transientJobs = new TransientJobs(options);
    const {returnForecast} = options.dispatcher;
    this.refusals = new Refusals({...options, returnForecast});
    this.configurationOrders = new ConfigurationOrders(options);
    this.evacuationOrders = new EvacuationOrders(options);
  }

  /** Drops a job whose caller has disconnected. */
  abandon(job: string): void {
    this.transientJobs.dropDisconnected(job);
  }

  /** Answers the callers that still wait for their jobs to end. */
  close(): void {
    this.transientJobs.close();
  }

  /** Answers a call; errors of the log become replies. */
  async handleCall(call: Call, origin: CallOrigin): Promise<Reply> {
    try {
      return await this.routeCall(call, origin);
    } catch (err) {
      this.options.logger.warn('call-interrupted', {call: call.type, err});
      const hadNoEffect =
        err instanceof NotLeaderError ||
        err instanceof NotProposedError ||
        err instanceof LogFailedError;
      return {type: hadNoEffect ? 'not-leader' : 'interrupted'};
    }
  }

  private routeCall(call: Call, origin: CallOrigin): Promise<Reply> | Reply {
    switch (call.type) {
      case 'submit':
        return this.submit(call, createArrival(call, origin));
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
        return this.configurationOrders.apply(call.configuration);
      case 'read-configuration':
        return this.configurationOrders.read();
      case 'read-evacuations':
        return this.evacuationOrders.read();
      case 'evacuate':
        return this.evacuationOrders.apply(call);
      default:
        return assertNever(call);
    }
  }

  private submit(call: SubmitCall, arrival: Arrival): Promise<Reply> | Reply {
    const {state, jobTable, logger} = this.options;
    const {queues} = state;
    const {job} = call;
    if (!queues) return this.refusals.refuseUnconfigured(job.id);
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
    const running = this.pendingAdmissions.get(job.id);
    if (running) return running;
    const answered = this.transientJobs.known(job.id);
    if (answered) return answered;
    this.options.dispatcher.returnForecast.recordArrival(
      {pool: queue.pool, steps: job.steps},
      performance.now(),
    );
    if (jobTable.openCount >= MAX_OPEN_JOBS) {
      return this.refusals.refuse(job, queue, 'overloaded');
    }
    if (!job.durable) return this.runTransientJob(call, queue, arrival);
    const admission = this.admit(call, queue, arrival).finally(() =>
      this.pendingAdmissions.delete(job.id),
    );
    this.pendingAdmissions.set(job.id, admission);
    return admission;
  }

  /**
   * Tasks start while the job is being committed. If the leader fails before
   * the commit, the next one finds their runs on the upstreams before it starts
   * any task.
   */
  private async admit(
    {job}: SubmitCall,
    queue: QueueConfig,
    arrival: Arrival,
  ): Promise<Reply> {
    const {propose, dispatcher, term, metrics} = this.options;
    const admitted = createAdmittedJob(job, queue, term);
    const now = performance.now();
    const isPlacedEarly = !dispatcher.earlyEndJobs.has(job.id);
    if (isPlacedEarly) dispatcher.addJob(admitted, queue, arrival);
    try {
      await propose({type: 'submit', job: admitted});
    } catch {
      // Logged by the proposer; tasks may have started.
      return {type: 'interrupted'};
    }
    metrics.increment('jobs.accepted');
    metrics.timing('jobs.admission', performance.now() - now);
    this.logAcceptedJob(admitted, queue, performance.now() - now);
    if (!isPlacedEarly) this.placeRecordedJob(job.id, queue);
    return {type: 'accepted'};
  }

  private runTransientJob(
    {job}: SubmitCall,
    queue: QueueConfig,
    arrival: Arrival,
  ): Promise<Reply> | Reply {
    const {dispatcher, term} = this.options;
    if (dispatcher.fitsOnlyEvacuated(job, queue.pool, arrival.isNew)) {
      return this.refuseTransientJob(job, queue, arrival, 'evacuated');
    }
    const expected = computeExpectedTimes(job, queue);
    if (!dispatcher.canServe({...queue, ...arrival, ...expected})) {
      return this.refuseTransientJob(job, queue, arrival, 'not-in-time');
    }
    const admitted = createAdmittedJob(job, queue, term);
    this.options.metrics.increment('jobs.accepted');
    this.logAcceptedJob(admitted, queue, 0);
    return this.transientJobs.submit(admitted, queue, arrival);
  }

  /** A refusal guarantees that the job never ran. */
  private refuseTransientJob(
    job: JobRequest,
    queue: QueueConfig,
    {isNew}: Arrival,
    reason: SubmitRefusal,
  ): Reply {
    const mayHaveRun = !isNew || this.transientJobs.mayHaveRun(job.id);
    return mayHaveRun
      ? this.refusals.giveUp(job, queue, reason)
      : this.refusals.refuse(job, queue, reason);
  }

  private logAcceptedJob(
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

  /** Places a job with run ends that were committed before its admission. */
  private placeRecordedJob(id: string, queue: QueueConfig): void {
    const {jobTable, dispatcher, state, term} = this.options;
    dispatcher.earlyEndJobs.delete(id);
    const record = state.jobs.get(id);
    if (record?.outcome !== 'open' || jobTable.job(id)) return;
    dispatcher.addRecordedJob(record, queue, term);
  }

  private state(host: string, path: string): Reply {
    const {queues} = this.options.state;
    const {jobTable, state} = this.options;
    if (!queues) return {type: 'refused', reason: 'no-configuration'};
    const queue = queues.findQueue(host, path);
    if (queue?.prefix === path) {
      return {type: 'pending', count: jobTable.pending(getQueueKey(queue))};
    }
    const record = state.jobs.get(extractJobId(path));
    if (record) return {type: 'state', state: this.getJobState(record)};
    return queue ? {type: 'no-job'} : {type: 'no-queue'};
  }

  private getJobState({job, outcome}: JobRecord): JobState {
    if (outcome !== 'open') return outcome;
    return this.options.jobTable.job(job.id)?.started ? 'running' : 'queued';
  }

  private async cancel(path: string): Promise<Reply> {
    const {state, propose, dispatcher, logger} = this.options;
    const id = extractJobId(path);
    await this.pendingAdmissions.get(id);
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
    const rec = state.jobs.get(id);
    return {type: 'state', state: rec ? this.getJobState(rec) : 'cancelled'};
  }

  private async announce({
    upstream,
  }: Extract<Call, {type: 'announce'}>): Promise<Reply> {
    await this.options.sessionRegistry.announce(upstream);
    return {type: 'announced', leader: this.options.address};
  }

  private async leave(id: string): Promise<Reply> {
    await this.options.sessionRegistry.leave(id);
    return {type: 'announced', leader: this.options.address};
  }
}
