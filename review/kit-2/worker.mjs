/** A worker: runs tasks under a lease, and keeps its id over its lives. */
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

import {exchange} from './deployment.mjs';

const MAX_HOLD_MS = 1_000;
const HEARTBEAT_MS = 1_500;
const MAX_LISTED_ENDS = 500;

/** Longest wait of a hold for an end, in ms. */
const MAX_WAIT_MS = 2_000;

/**
 * Task durations come with the specification: `{"ms":[30,900]}` names them by
 * step.
 */
function durationOf(specification, task) {
  const [, , step] = task.split('.');
  return JSON.parse(specification).ms[Number(step)];
}

export class Worker {
  /** Address of a control server that it was asked to use. */
  heartbeatAddress = null;
  life = null;
  state = 'ready';
  /** By how much the time of day is ahead on its machine, in ms. */
  aheadMs = 0;

  /**
   * @param options `id`, `host`, `port`, `zone`, `labels`, `capacity`,
   *     `guards` (whether it rejects what does not fit), `controlAddresses`,
   *     `observer`, and `demandOf`, which gives what a task requests.
   */
  constructor(options) {
    Object.assign(this, options);
    this.lives = 0;
  }

  get isUp() {
    return this.life !== null;
  }

  /** Begins a life: listens, then sends its first heartbeat. */
  async start() {
    const life = {
      born: Date.now() + this.aheadMs,
      startedAt: performance.now(),
      sequence: 0,
      token: 0,
      ends: [],
      endCount: 0,
      running: new Map(),
      over: new Map(),
      leaseUntil: 0,
      leaseTimer: undefined,
      waiters: new Set(),
      sockets: new Set(),
    };
    this.lives++;
    const server = http.createServer({keepAliveTimeout: 0}, (req, res) =>
      this.serve(life, req, res),
    );
    server.on('connection', socket => {
      life.sockets.add(socket);
      socket.on('close', () => life.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    life.server = server;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.host, resolve);
    });
    this.life = life;
    this.observer.began(this);
    void this.heartbeats(life);
  }

  /** Ends a life at once: nothing is listed, connections break. */
  crash() {
    const {life} = this;
    if (!life) return;
    this.life = null;
    clearTimeout(life.leaseTimer);
    for (const [task, run] of life.running) {
      clearTimeout(run.timer);
      this.observer.ended(this, task, run, 'crashed');
    }
    life.running.clear();
    life.server.close();
    for (const socket of life.sockets) socket.resetAndDestroy();
    this.observer.crashed(this);
  }

  clock(life) {
    return Math.floor(performance.now() - life.startedAt);
  }

  async heartbeats(life) {
    while (this.life === life) {
      const before = performance.now();
      await this.beat(life);
      await sleep(Math.max(0, HEARTBEAT_MS - (performance.now() - before)));
    }
  }

  /** Calls one control server after the other until one acknowledges. */
  async beat(life) {
    const addresses = [...this.controlAddresses()];
    addresses.sort(() => Math.random() - 0.5);
    if (this.heartbeatAddress) addresses.unshift(this.heartbeatAddress);
    for (const address of addresses) {
      if (this.life !== life) return;
      const answer = await exchange({
        address,
        method: 'PUT',
        path: `/v1/instances/${this.id}`,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(this.report(life)),
        timeoutMs: 1_000,
      });
      if (answer?.status === 200) {
        const {heartbeatAddress} = JSON.parse(answer.text || '{}');
        this.heartbeatAddress = heartbeatAddress ?? address;
        return;
      }
      this.heartbeatAddress = null;
    }
  }

  report(life) {
    return {
      service: 'pool',
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      clockMs: this.clock(life),
      sequence: ++life.sequence,
      born: life.born,
    };
  }

  async serve(life, req, res) {
    let text = '';
    try {
      for await (const chunk of req) text += String(chunk);
    } catch {
      return;
    }
    if (this.life !== life) return;
    const expected = req.headers['mustardferry-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      return this.answer(life, res, 421, {});
    }
    const order = JSON.parse(text);
    const token = order.fencingToken ?? 0;
    if (token < life.token) {
      return this.answer(life, res, 409, {reason: 'fence'});
    }
    life.token = token;
    if (req.url === '/v1/run-start') return this.startRun(life, order, res);
    if (req.url === '/v1/run-stop') return this.stopRun(life, order, res);
    if (req.url === '/v1/hold') return this.hold(life, order, res);
    return this.answer(life, res, 404, {});
  }

  answer(life, res, status, body) {
    if (this.life !== life || res.destroyed) return;
    res.writeHead(status, {'content-type': 'application/json'});
    const clockMs = this.clock(life);
    res.end(JSON.stringify({clockMs, born: life.born, ...body}));
  }

  startRun(life, order, res) {
    const {task, runNumber, expiresAtMs, specification} = order;
    const refuse = reason => {
      this.observer.refused(this, task, runNumber, reason);
      this.answer(life, res, 409, {reason});
    };
    const present = life.running.get(task);
    if (present?.number === runNumber) return this.answer(life, res, 200, {});
    if (!(expiresAtMs > this.clock(life))) return refuse('late');
    this.extend(life, expiresAtMs);
    if (present || runNumber <= (life.over.get(task) ?? 0))
      return refuse('old');
    const demand = this.demandOf(task);
    if (this.guards && !this.fits(life, demand)) return refuse('room');
    const run = {number: runNumber, demand, token: life.token};
    run.timer = setTimeout(
      () => this.end(life, task, 'done'),
      durationOf(specification, task),
    );
    run.until = performance.now() + durationOf(specification, task);
    run.from = performance.now();
    life.running.set(task, run);
    this.observer.started(this, task, run);
    this.answer(life, res, 200, {});
  }

  /** Thousandths of a core that runs use. */
  used(life = this.life) {
    let cpu = 0;
    for (const run of life.running.values()) cpu += run.demand.cpu;
    return cpu;
  }

  fits(life, {cpu}) {
    return this.used(life) + cpu <= this.capacity.cpu;
  }

  stopRun(life, {task, runNumber}, res) {
    life.over.set(task, Math.max(runNumber, life.over.get(task) ?? 0));
    if (life.running.get(task)?.number === runNumber) {
      this.end(life, task, 'stopped');
    }
    this.answer(life, res, 200, {});
  }

  extend(life, until) {
    const most = this.clock(life) + MAX_HOLD_MS;
    life.leaseUntil = Math.max(life.leaseUntil, Math.min(until, most));
    clearTimeout(life.leaseTimer);
    const leftMs = life.leaseUntil - this.clock(life);
    life.leaseTimer = setTimeout(() => {
      if (this.life !== life) return;
      this.observer.lapsed(this);
      for (const task of [...life.running.keys()])
        this.end(life, task, 'lapsed');
    }, leftMs);
  }

  end(life, task, how) {
    const run = life.running.get(task);
    if (!run || this.life !== life) return;
    clearTimeout(run.timer);
    life.running.delete(task);
    life.over.set(task, Math.max(run.number, life.over.get(task) ?? 0));
    life.ends.push([++life.endCount, task, run.number, how, '']);
    this.observer.ended(this, task, run, how);
    for (const wake of [...life.waiters]) wake();
  }

  async hold(life, {ackCursor = 0, expiresAtMs, waitMs = 0}, res) {
    for (const [number, task, run, how] of life.ends) {
      if (number <= ackCursor) this.observer.noted(this, task, run, how);
    }
    life.ends = life.ends.filter(([number]) => number > ackCursor);
    if (expiresAtMs !== undefined) this.extend(life, expiresAtMs);
    if (life.ends.length === 0 && waitMs > 0) {
      await this.untilEnd(life, Math.min(waitMs, MAX_WAIT_MS));
    }
    if (this.life !== life) return;
    const now = performance.now();
    const running = [...life.running].map(([task, run]) => {
      const share = (now - run.from) / (run.until - run.from);
      return [task, run.number, '', Math.min(99, Math.floor(100 * share)), 0];
    });
    const finished = life.ends.slice(0, MAX_LISTED_ENDS);
    this.answer(life, res, 200, {running, finished});
  }

  untilEnd(life, ms) {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        life.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      life.waiters.add(done);
    });
  }
}
