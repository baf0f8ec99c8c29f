/** HTTP client of the load generator: one exchange with one instance. */
import {setTimeout as sleep} from 'node:timers/promises';

import type {JobView, Problem, SubmitJobRequest} from '@mustardferry/model';
import {Agent, request} from 'undici';

import type {Exchange, LaterQuery} from './outcomes.js';
import type {TraceJob} from './trace.js';

/** Where the instances are and how to talk to them. */
export interface ClientOptions {
  /** `IP:PORT` of each entry instance as the clients see it. */
  readonly instances: readonly string[];
  /** Bearer token; empty for none. */
  readonly token: string;
  /** Seconds that an instance may hold a response. */
  readonly waitS: number;
}

/** A response that takes this much longer than asked for counts as lost. */
const GRACE_MS = 2_000;
const POLL_MS = 50;

type ExchangeHead = Pick<Exchange, 'instance' | 'cause' | 'sentMs'>;
type ExchangeRest = Omit<Exchange, keyof ExchangeHead | 'doneMs'>;

/** How a job is submitted. */
export interface SubmitOptions {
  readonly instance: number;
  readonly cause: Exchange['cause'];
  readonly abort: AbortSignal;
  /** Overrides the client's `waitS`. */
  readonly waitS?: number;
  /** Called with the job id when the job is accepted but not yet answered. */
  readonly onAccepted?: (jobId: string) => void;
}

function bodyOf(job: TraceJob): SubmitJobRequest {
  return {
    team: job.kind.team,
    kind: job.kind.kind,
    tasks: job.tasks.map(task => ({
      id: task.id,
      payload: {runMs: task.runMs, value: task.value},
      expectedRunMs: task.expectedRunMs,
    })),
  };
}

function fromProblem(status: number, body: Partial<Problem>): ExchangeRest {
  const result = body.outcome ?? 'unknown';
  return {
    status,
    result,
    // A server error that ran nothing may pass at another instance.
    final: result === 'failed' || (result === 'not-run' && status < 500),
    code: body.code ?? `http-${status}`,
    jobId: body.jobId ?? '',
  };
}

function fromView(status: number, view: JobView): ExchangeRest {
  if (view.state === 'complete') {
    const results = view.results ?? [];
    const {jobId} = view;
    const result = 'complete';
    return {status, result, final: true, code: '', jobId, results};
  }
  if (view.state === 'failed') {
    const problem = view.problem ?? {};
    const {jobId} = view;
    return {...fromProblem(status, problem), final: true, jobId};
  }
  const {jobId, state: code} = view;
  return {status, result: 'accepted', final: false, code, jobId};
}

/** Submits, polls and queries jobs. */
export class LoadClient {
  private readonly agent = new Agent({
    pipelining: 1,
    keepAliveTimeout: 30_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(readonly options: ClientOptions) {}

  /** Submits a job and waits for its answer. Never rejects. */
  async submit(job: TraceJob, options: SubmitOptions): Promise<Exchange> {
    const {instance, cause, abort} = options;
    const head = {instance, cause, sentMs: Date.now()};
    const headers = {
      'idempotency-key': job.key,
      prefer: `wait=${options.waitS ?? this.options.waitS}`,
    };
    try {
      const res = await this.send(
        instance,
        'POST',
        '/v1/jobs',
        abort,
        headers,
        bodyOf(job),
      );
      const first = this.finish(head, res.status, res.body);
      if (first.result !== 'accepted' || first.jobId === '') return first;
      options.onAccepted?.(first.jobId);
      return await this.poll(head, first, abort);
    } catch (err) {
      const code = err instanceof Error ? err.name : 'no-response';
      const lost = {status: 0, result: 'unknown', final: false} as const;
      return {...head, doneMs: Date.now(), ...lost, code, jobId: ''};
    }
  }

  /** Cancels a job by its id; the reply doesn't matter. */
  async cancel(jobId: string, instance: number): Promise<void> {
    const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
    const abort = AbortSignal.timeout(GRACE_MS);
    await this.send(instance, 'DELETE', path, abort).catch(() => undefined);
  }

  /** Asks for a job's stored state, at several instances if need be. */
  async query(jobId: string, instance: number): Promise<LaterQuery> {
    let last: LaterQuery = {status: 0, state: 'unreachable'};
    for (let attempt = 0; attempt < 3; attempt += 1) {
      try {
        const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
        const abort = AbortSignal.timeout(GRACE_MS);
        const res = await this.send(instance + attempt, 'GET', path, abort);
        if (res.status === 200) {
          const {state, results} = res.body as JobView;
          return {status: 200, state, ...(results ? {results} : {})};
        }
        const unavailable = res.status >= 500;
        const state = unavailable ? 'unreachable' : 'denied';
        last = {status: res.status, state};
        if (!unavailable) return last;
      } catch {
        // The next instance is asked.
      }
    }
    return last;
  }

  async destroy(): Promise<void> {
    await this.agent.destroy();
  }

  private async poll(
    head: ExchangeHead,
    accepted: Exchange,
    abort: AbortSignal,
  ): Promise<Exchange> {
    const path = `/v1/jobs/${encodeURIComponent(accepted.jobId)}`;
    for (;;) {
      await sleep(POLL_MS, undefined, {signal: abort});
      const res = await this.send(head.instance, 'GET', path, abort);
      const next = this.finish(head, res.status, res.body);
      if (next.result !== 'accepted') return next;
    }
  }

  private finish(head: ExchangeHead, status: number, body: unknown): Exchange {
    const known =
      status === 200 || status === 202
        ? fromView(status, body as JobView)
        : fromProblem(status, body as Partial<Problem>);
    return {...head, doneMs: Date.now(), ...known};
  }

  private async send(
    instance: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    abort: AbortSignal,
    headers: Record<string, string> = {},
    body?: unknown,
  ): Promise<{status: number; body: unknown}> {
    const {instances, token, waitS} = this.options;
    const address = instances[instance % instances.length] ?? '';
    const limit = AbortSignal.timeout(waitS * 1_000 + GRACE_MS);
    const res = await request(`http://${address}${path}`, {
      method,
      dispatcher: this.agent,
      signal: AbortSignal.any([abort, limit]),
      headers: {
        ...headers,
        ...(token === '' ? {} : {authorization: `Bearer ${token}`}),
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
      ...(body === undefined ? {} : {body: JSON.stringify(body)}),
    });
    const text = await res.body.text();
    let parsed: unknown = {};
    try {
      parsed = JSON.parse(text);
    } catch {
      // A body that is not JSON carries no outcome.
    }
    return {status: res.statusCode, body: parsed};
  }
}
