/** Jobs whose callers wait for the end; they are not replicated. */
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {QueueConfig} from '../jobs/configuration.js';
import type {AdmittedJob} from '../jobs/job_types.js';
import type {Reply} from '../messages/calls.js';
import type {Dispatcher} from './dispatcher.js';
import type {JobTable} from './job_table.js';
import type {Arrival} from './job_table_types.js';

/** Options of the registry. */
export interface TransientJobsOptions {
  readonly jobTable: JobTable;
  readonly dispatcher: Dispatcher;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface Waiting {
  readonly reply: Promise<Reply>;
  readonly settle: (reply: Reply) => void;
  readonly timer: NodeJS.Timeout;
}

/** Ended jobs whose answers are kept, for submissions that are repeated. */
const KEPT_ANSWERS = 4_096;

/** Answers each caller once its job ends or its patience does. */
export class TransientJobs {
  private readonly waiting = new Map<string, Waiting>();
  private readonly answers = new Map<string, Reply>();
  private readonly givenUp = new Set<string>();

  constructor(private readonly options: TransientJobsOptions) {
    options.dispatcher.onJobTooLate = id => this.abandon(id, 'worth nothing');
    options.dispatcher.onTransientJobEnd = (id, state) => this.ended(id, state);
  }

  /** The answer to a job that was submitted before, if it is known. */
  known(id: string): Promise<Reply> | Reply | undefined {
    return this.waiting.get(id)?.reply ?? this.answers.get(id);
  }

  /** Whether an earlier submission of a job had begun before it was dropped. */
  mayHaveRun(id: string): boolean {
    return this.givenUp.has(id);
  }

  /** Runs a job; resolves at the latest when its caller stops waiting. */
  submit(
    job: AdmittedJob,
    queue: QueueConfig,
    arrival: Arrival,
  ): Promise<Reply> {
    let settle: (reply: Reply) => void = () => undefined;
    const reply = new Promise<Reply>(resolve => (settle = resolve));
    const restMs = arrival.deadlineAt - performance.now();
    const timer = setTimeout(() => this.expire(job.id), restMs);
    this.waiting.set(job.id, {reply, settle, timer});
    this.options.dispatcher.addJob(job, queue, arrival);
    return reply;
  }

  /** Drops a job whose caller has gone. */
  abandon(id: string, cause: string): void {
    const {jobTable, dispatcher, logger} = this.options;
    const job = jobTable.job(id);
    if (!job || job.admitted.durable) return;
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
    if (started) this.rememberGivenUp(id);
    const reply: Reply = started
      ? {type: 'given-up'}
      : {type: 'refused', reason: 'not-in-time'};
    this.settle(id, reply);
  }

  /** Answers all callers that wait; the next owner may run their jobs. */
  close(): void {
    for (const id of [...this.waiting.keys()]) {
      this.settle(id, {type: 'interrupted'});
    }
  }

  private rememberGivenUp(id: string): void {
    this.givenUp.add(id);
    if (this.givenUp.size <= KEPT_ANSWERS) return;
    const [oldest] = this.givenUp;
    if (oldest !== undefined) this.givenUp.delete(oldest);
  }

  private expire(id: string): void {
    this.abandon(id, 'patience over');
  }

  private ended(id: string, state: 'completed' | 'failed'): void {
    const reply: Reply = {type: 'ended', state};
    this.answers.set(id, reply);
    if (this.answers.size > KEPT_ANSWERS) {
      const [oldest] = this.answers.keys();
      if (oldest !== undefined) this.answers.delete(oldest);
    }
    this.settle(id, reply);
  }

  private settle(id: string, reply: Reply): void {
    const waiting = this.waiting.get(id);
    if (!waiting) return;
    this.waiting.delete(id);
    clearTimeout(waiting.timer);
    waiting.settle(reply);
  }
}
