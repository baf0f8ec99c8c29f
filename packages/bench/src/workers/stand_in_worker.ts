/** One stand-in worker: an HTTP listener, its tasks and its renewals. */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';

import {
  must,
  type RenewLeasesRequest,
  type Resources,
  type StartTaskRequest,
  type StopTaskRequest,
  type ThrottleTaskRequest,
} from '@mustardferry/model';
import fastify, {type FastifyInstance} from 'fastify';

import {type RenewalOptions, Renewals} from './renewals.js';
import {TaskTable} from './task_table.js';
import type {WorkerRecord} from './worker_record.js';

/** What a stand-in worker is. */
export interface StandInWorkerOptions {
  readonly worker: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly speed: number;
  readonly capacity: Resources;
  readonly maxConnections: number;
  readonly kinds: readonly string[];
  /** Missing for a worker that announces itself to nobody. */
  readonly renewals?: RenewalOptions;
}

/** Faults that a worker shows on command. */
export type WorkerFault =
  | {readonly fault: 'straggle'; readonly factor: number}
  | {readonly fault: 'fail'; readonly failing: boolean}
  /** Open connections go silent for good; new ones work. */
  | {readonly fault: 'freeze'}
  | {readonly fault: 'vanish'}
  | {readonly fault: 'leave'}
  | {readonly fault: 'restart'};

interface TaskPath {
  readonly Params: {readonly id: string};
}

/** A worker that keeps its address over restarts. */
export class StandInWorker {
  private app: FastifyInstance | undefined;
  private table: TaskTable | undefined;
  private renewals: Renewals | undefined;
  private readonly sockets = new Set<Socket>();
  private readonly silent = new WeakSet<Socket>();
  private port = 0;
  private lives = 0;

  constructor(
    readonly options: StandInWorkerOptions,
    private readonly record: WorkerRecord,
  ) {}

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Announcements that an entry instance accepted in this life. */
  get acceptedRenewals(): number {
    return this.renewals?.accepted ?? 0;
  }

  /** Listens and begins to announce itself. */
  async start(): Promise<void> {
    const {options} = this;
    // Grows even when two lives begin in the same millisecond.
    const incarnation = Date.now() + this.lives;
    const restarted = this.lives > 0;
    this.lives += 1;
    const table = new TaskTable(
      {...options, incarnation, restarted},
      this.record,
    );
    this.table = table;
    this.app = this.createApp(table, incarnation);
    await this.app.listen({host: '127.0.0.1', port: this.port});
    const bound = this.app.server.address();
    if (bound !== null && typeof bound === 'object') this.port = bound.port;
    if (options.renewals === undefined) return;
    const {worker, dataCentre, rack, capacity, maxConnections, kinds} = options;
    this.renewals = new Renewals(
      options.renewals,
      {
        worker,
        address: this.address,
        incarnation,
        dataCentre,
        rack,
        capacity,
        maxConnections,
        kinds,
      },
      () => table.usage,
    );
    this.renewals.start();
  }

  /** Shows a fault. */
  async inject(fault: WorkerFault): Promise<void> {
    const table = must(this.table, `worker ${this.options.worker} not started`);
    switch (fault.fault) {
      case 'straggle':
        return table.straggle(fault.factor);
      case 'fail':
        return table.setFailing(fault.failing);
      case 'freeze':
        return this.freeze();
      case 'leave':
        table.leaving = true;
        return this.renewals?.leave();
      case 'vanish':
        return this.close();
      case 'restart':
        await this.close();
        return this.start();
    }
  }

  /** Ends this life at once: connections break, tasks end without a reply. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    this.table?.vanish();
    await this.renewals?.close();
    await this.app?.close();
    this.app = undefined;
  }

  private freeze(): void {
    for (const socket of this.sockets) {
      this.silent.add(socket);
      // Swallows replies without an error, as a lost path does.
      socket._write = () => undefined;
      socket._writev = () => undefined;
    }
  }

  private watchConnections(server: Server): void {
    server.on('connection', socket => {
      if (this.sockets.size >= this.options.maxConnections) {
        this.record.rejectedConnections += 1;
        socket.destroy();
        return;
      }
      this.sockets.add(socket);
      const open = this.sockets.size;
      this.record.peakConnections = Math.max(this.record.peakConnections, open);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  private createApp(table: TaskTable, incarnation: number): FastifyInstance {
    const app = fastify({
      forceCloseConnections: true,
      keepAliveTimeout: 60_000,
    });
    this.watchConnections(app.server);
    app.addHook('onRequest', async req => {
      // Requests on a silent connection never arrive.
      if (this.silent.has(req.raw.socket)) await new Promise(() => undefined);
    });
    this.addStart(app, table);
    app.post<{Body: RenewLeasesRequest}>('/v1/leases/renew', async req => ({
      incarnation,
      notRunning: table.renew(req.body.leaseMs, req.body.tasks),
    }));
    app.get<TaskPath & {Querystring: {attempt?: string}}>(
      '/v1/tasks/:id',
      async req => table.query(req.params.id, Number(req.query.attempt ?? 1)),
    );
    app.post<TaskPath & {Body: StopTaskRequest}>(
      '/v1/tasks/:id/stop',
      async req => table.stop(req.params.id, req.body.attempt),
    );
    app.post<TaskPath & {Body: ThrottleTaskRequest}>(
      '/v1/tasks/:id/throttle',
      async (req, res) => {
        const {attempt, speed} = req.body;
        const found = table.throttle(req.params.id, attempt, speed);
        return res.code(found ? 200 : 404).send({});
      },
    );
    app.post<TaskPath & {Body: StopTaskRequest}>(
      '/v1/tasks/:id/checkpoint',
      async (req, res) => {
        const found = table.checkpoint(req.params.id, req.body.attempt);
        return res.code(found ? 200 : 404).send({});
      },
    );
    return app;
  }

  private addStart(app: FastifyInstance, table: TaskTable): void {
    app.post<{Body: StartTaskRequest}>('/v1/tasks', async (req, res) => {
      const before = this.record.starts.length;
      const pending = table.start(req.body);
      const event = this.record.starts[before];
      const reply = await pending;
      const socket = req.raw.socket;
      if (event !== undefined) {
        event.delivered = !socket.destroyed && !this.silent.has(socket);
      }
      // The death of a process leaves requests unanswered.
      if (event?.end === 'vanished') return res.hijack();
      return reply;
    });
  }
}
