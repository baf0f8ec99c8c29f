/** Open-loop load: every job is sent when it is due, whatever is pending. */
import {setMaxListeners} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';

import type {LoadClient, SubmitOptions} from './client.js';
import type {Exchange, JobOutcome} from './outcomes.js';
import type {TraceJob} from './trace.js';

/** Options of a run of the generator. */
export interface GeneratorOptions {
  /** Time after the last arrival in which answers are awaited. */
  readonly settleMs: number;
  /** Submissions of a job after a lost answer or a refusal, at most. */
  readonly maxRetries: number;
  readonly retryDelayMs: number;
}

/** Queries after the run that are sent at the same time. */
const QUERY_CONCURRENCY = 16;

interface JobState {
  readonly exchanges: Exchange[];
  readonly breakFirst: AbortController;
  answer?: Exchange;
  jobId?: string;
  cancelledMs?: number;
}

/** Submits the jobs of a trace and collects what came back. */
export class LoadGenerator {
  private readonly stop = new AbortController();

  constructor(
    private readonly client: LoadClient,
    private readonly options: GeneratorOptions,
  ) {}

  /** Runs a trace; resolves when every job is answered or given up. */
  async run(jobs: readonly TraceJob[]): Promise<JobOutcome[]> {
    // Every job listens for the end of the run.
    setMaxListeners(0, this.stop.signal);
    const startMs = Date.now();
    const pending: Promise<JobOutcome>[] = [];
    for (const job of jobs) {
      const dueMs = startMs + job.atMs;
      const waitMs = dueMs - Date.now();
      if (waitMs >= 1) await sleep(waitMs);
      pending.push(this.runJob(job, dueMs));
    }
    const timer = setTimeout(() => this.stop.abort(), this.options.settleMs);
    const outcomes = await Promise.all(pending);
    clearTimeout(timer);
    return outcomes;
  }

  /** Asks for the state of every job that has an id. */
  async queryAll(outcomes: readonly JobOutcome[]): Promise<JobOutcome[]> {
    const result = [...outcomes];
    let next = 0;
    const worker = async () => {
      for (;;) {
        const position = next++;
        const outcome = result[position];
        if (outcome === undefined) return;
        const jobId = outcome.exchanges.find(e => e.jobId !== '')?.jobId;
        if (jobId === undefined) continue;
        const laterQuery = await this.client.query(jobId, position);
        result[position] = {...outcome, laterQuery};
      }
    };
    await Promise.all(Array.from({length: QUERY_CONCURRENCY}, worker));
    return result;
  }

  private async runJob(job: TraceJob, dueMs: number): Promise<JobOutcome> {
    const state: JobState = {exchanges: [], breakFirst: new AbortController()};
    const parts = [
      this.submitUntilAnswered(job, state),
      ...job.resubmissions.map(async again => {
        await this.delay(again.afterMs);
        if (again.breakFirst) state.breakFirst.abort();
        const instance = job.instance + again.instanceOffset;
        const abort = this.stop.signal;
        const cause = 'resubmission';
        await this.exchange(job, state, {instance, cause, abort});
      }),
      this.cancelWhenDue(job, state),
    ];
    await Promise.all(parts);
    const {exchanges, answer, cancelledMs} = state;
    const last = answer ?? exchanges.at(-1);
    return {
      index: job.index,
      dueMs,
      ...(answer === undefined ? {} : {answeredMs: answer.doneMs}),
      ...(cancelledMs === undefined ? {} : {cancelledMs}),
      result: last?.result ?? 'unknown',
      code: last?.code ?? 'no-exchange',
      exchanges,
    };
  }

  private async exchange(
    job: TraceJob,
    state: JobState,
    options: SubmitOptions,
  ): Promise<Exchange> {
    // A client that means to cancel needs the job id before the answer.
    const cancels = job.cancelAfterMs !== undefined;
    const exchange = await this.client.submit(job, {
      ...options,
      ...(cancels ? {waitS: 0} : {}),
      onAccepted: jobId => (state.jobId = jobId),
    });
    state.exchanges.push(exchange);
    if (exchange.final) state.answer ??= exchange;
    return exchange;
  }

  /** Submits through one instance after the other until an answer comes. */
  private async submitUntilAnswered(
    job: TraceJob,
    state: JobState,
  ): Promise<void> {
    const first = AbortSignal.any([this.stop.signal, state.breakFirst.signal]);
    for (let attempt = 0; attempt <= this.options.maxRetries; attempt += 1) {
      const exchange = await this.exchange(job, state, {
        instance: job.instance + attempt,
        cause: attempt === 0 ? 'first' : 'retry',
        abort: attempt === 0 ? first : this.stop.signal,
      });
      if (exchange.final || state.answer !== undefined) return;
      await this.delay(this.options.retryDelayMs);
      if (this.stop.signal.aborted) return;
    }
  }

  private async cancelWhenDue(job: TraceJob, state: JobState): Promise<void> {
    if (job.cancelAfterMs === undefined) return;
    await this.delay(job.cancelAfterMs);
    if (state.jobId === undefined || state.answer !== undefined) return;
    state.cancelledMs = Date.now();
    await this.client.cancel(state.jobId, job.instance);
  }

  private async delay(ms: number): Promise<void> {
    await sleep(ms, undefined, {signal: this.stop.signal}).catch(
      () => undefined,
    );
  }
}
