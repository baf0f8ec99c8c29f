/** Client side of the connections to one upstream. */
import type {
  RenewLeasesReply,
  RenewLeasesRequest,
  StartTaskRequest,
  TaskReply,
  UpstreamId,
} from '@mustardferry/model';
import {errors as undiciErrors, Pool} from 'undici';
import {z} from 'zod';

import {
  UpstreamExchangeError,
  UpstreamNotReachedError,
  UpstreamProtocolError,
} from './errors.js';

/** Options of an upstream link. Durations are in milliseconds. */
export interface UpstreamLinkOptions {
  readonly id: UpstreamId;
  readonly token: string | undefined;
  /** Most connections at once; never above the slot credits plus one. */
  readonly maxConnections: number;
  readonly connectTimeoutMs: number;
  /** Time limit of queries, stops and renewals. */
  readonly controlTimeoutMs: number;
}

/** What identifies one attempt of a task. */
export interface TaskAttempt {
  readonly taskId: string;
  readonly attempt: number;
}

const replySchema = z
  .object({
    taskId: z.string(),
    attempt: z.number(),
    incarnation: z.number(),
    state: z.enum([
      'running',
      'done',
      'error',
      'stopped',
      'never-started',
      'unknown',
      'refused',
    ]),
  })
  .passthrough();

/** Codes of errors that prove that no request was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function codeOf(err: unknown): string {
  if (err instanceof undiciErrors.UndiciError) return err.code;
  const code = (err as {code?: unknown} | undefined)?.code;
  return typeof code === 'string' ? code : '';
}

/**
 * Connections to one life of an upstream. Starts hold a connection until the
 * task ends; queries, stops and renewals use a connection of their own, so
 * that they get through when the others have gone silent.
 */
export class UpstreamLink {
  readonly name: string;
  private readonly starts: Pool;
  private control: Pool;

  constructor(private readonly options: UpstreamLinkOptions) {
    this.name = `upstream-link ${options.id.address}`;
    this.starts = this.createPool(options.maxConnections, 0);
    this.control = this.createPool(1, options.controlTimeoutMs);
  }

  /**
   * Starts a task and resolves with its final state.
   *
   * @throws UpstreamNotReachedError when nothing was sent.
   * @throws UpstreamExchangeError when the task may have started.
   * @throws UpstreamProtocolError when the reply is for another task.
   */
  start(req: StartTaskRequest, signal?: AbortSignal): Promise<TaskReply> {
    return this.exchange(this.starts, 'POST', '/v1/tasks', req, req, signal);
  }

  /** Asks for the state of an attempt, on a connection apart from starts. */
  query(task: TaskAttempt): Promise<TaskReply> {
    const path = `/v1/tasks/${encodeURIComponent(task.taskId)}?attempt=${task.attempt}`;
    return this.exchangeControl('GET', path, undefined, task);
  }

  /** Stops an attempt, or seals it when it never started. */
  stop(task: TaskAttempt): Promise<TaskReply> {
    const path = `/v1/tasks/${encodeURIComponent(task.taskId)}/stop`;
    return this.exchangeControl('POST', path, {attempt: task.attempt}, task);
  }

  /** Renews the leases of running tasks. */
  async renew(req: RenewLeasesRequest): Promise<RenewLeasesReply> {
    const body = await this.send(this.control, 'POST', '/v1/leases/renew', req);
    return body as RenewLeasesReply;
  }

  async close(): Promise<void> {
    await Promise.all([this.starts.destroy(), this.control.destroy()]);
  }

  private createPool(connections: number, timeoutMs: number): Pool {
    return new Pool(`http://${this.options.id.address}`, {
      connections,
      pipelining: 1,
      connect: {timeout: this.options.connectTimeoutMs},
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      // Longer than the usual gap between tasks, so that starts reuse
      // connections instead of paying a handshake each.
      keepAliveTimeout: 30_000,
    });
  }

  private async exchangeControl(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    task: TaskAttempt,
  ): Promise<TaskReply> {
    const pool = this.control;
    try {
      return await this.exchange(pool, method, path, body, task);
    } catch (err) {
      if (err instanceof UpstreamExchangeError && pool === this.control) {
        this.control = this.createPool(1, this.options.controlTimeoutMs);
        void pool.destroy();
      }
      throw err;
    }
  }

  private async exchange(
    pool: Pool,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    task: TaskAttempt,
    signal?: AbortSignal,
  ): Promise<TaskReply> {
    const reply = replySchema.safeParse(
      await this.send(pool, method, path, body, signal),
    );
    if (!reply.success) {
      throw new UpstreamProtocolError(`${this.name}: malformed reply`, {
        cause: reply.error,
      });
    }
    const {taskId, attempt} = reply.data;
    // A reply for another task must never reach this task's caller.
    if (taskId !== task.taskId || attempt !== task.attempt) {
      throw new UpstreamProtocolError(
        `${this.name}: asked for ${task.taskId}, got ${taskId}`,
      );
    }
    return reply.data as unknown as TaskReply;
  }

  private async send(
    pool: Pool,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    signal?: AbortSignal,
  ): Promise<unknown> {
    const {token} = this.options;
    try {
      const res = await pool.request({
        method,
        path,
        headers: {
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
          ...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
        },
        ...(body === undefined ? {} : {body: JSON.stringify(body)}),
        ...(signal === undefined ? {} : {signal}),
      });
      return await res.body.json();
    } catch (err) {
      if (NOT_SENT_CODES.has(codeOf(err))) {
        throw new UpstreamNotReachedError(this.name, {cause: err});
      }
      throw new UpstreamExchangeError(this.name, {cause: err});
    }
  }
}
