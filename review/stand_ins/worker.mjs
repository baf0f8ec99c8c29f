/** A worker as the users' protocol describes it, on loopback. */
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

import {call, listen} from './http.mjs';

/** Most ends that one answer lists. */
const ENDS_PER_ANSWER = 500;

const MAX_HOLD_MS = 1_000;
const HEARTBEAT_INTERVAL_MS = 1_500;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const DRAIN_MS = 2_000;
const STOP_MS = 5;

/** Runs tasks under a lease; `runMsOf` tells how long a task works. */
export class Worker {
  /** Share of the starts that the worker sheds with 503, and does not run. */
  shedShare = 0;
  starts = 0;
  running = new Map();

  /**
   * @param options `id`, `service`, `labels`, `cpu`, `ip`, `controls`
   *     (addresses of the control plane), `record`, `runMsOf`.
   */
  constructor(options) {
    this.options = options;
    this.labels = options.labels;
    this.reset();
  }

  reset() {
    this.born = Math.max(Date.now(), (this.born ?? 0) + 1);
    this.startedAt = performance.now();
    this.state = 'ready';
    this.sequence = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.ends = [];
    this.endCount = 0;
    this.noted = 0;
    this.over = new Map();
    this.waiters = new Set();
    this.beatAddress = null;
  }

  get address() {
    return `${this.options.ip}:${this.port}`;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedAt);
  }

  get usedCpu() {
    let used = 0;
    for (const {cpu} of this.running.values()) used += cpu;
    return used;
  }

  async start() {
    this.up = true;
    this.server = createServer((req, res) => void this.serve(req, res));
    this.port = await listen(this.server, this.options.ip, this.port ?? 0);
    this.note('worker-up', {born: this.born, labels: this.labels});
    void this.beatRegularly(this.born);
  }

  /** Ends at once, as a crash does. */
  crash() {
    this.up = false;
    this.note('worker-crashed', {running: this.running.size});
    clearTimeout(this.leaseTimer);
    for (const run of this.running.values()) clearTimeout(run.timer);
    this.running.clear();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Starts again under the same id and address, without any memory. */
  async restart(labels = this.labels) {
    this.labels = labels;
    this.reset();
    await this.start();
  }

  /** Reports `draining`, deregisters, and ends. */
  async leave() {
    this.state = 'draining';
    await this.beat();
    await sleep(DRAIN_MS);
    await this.toControl('DELETE');
    this.crash();
  }

  async beatRegularly(born) {
    while (this.up && this.born === born) {
      await this.beat();
      await sleep(HEARTBEAT_INTERVAL_MS);
    }
  }

  beat() {
    const {service, cpu} = this.options;
    return this.toControl('PUT', {
      service,
      address: this.address,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: {cpu, memoryRequestMb: 65_536, gpu: 0},
      labels: this.labels,
      clockMs: this.clockMs,
      born: this.born,
      sequence: ++this.sequence,
    });
  }

  /** Calls one daemon after the other until one acknowledges. */
  async toControl(method, body) {
    const {id, controls} = this.options;
    const first = this.beatAddress ? [this.beatAddress] : [];
    for (const address of [...first, ...controls, ...controls]) {
      const answer = await call(address, method, `/v1/instances/${id}`, {
        body,
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
      });
      const status = answer?.status ?? 'none';
      if (method === 'DELETE' || status !== 200) {
        this.note('to-control', {method, address, status});
      }
      if (answer?.status === 200) {
        this.beatAddress = answer.body.heartbeatAddress ?? this.beatAddress;
        return;
      }
      this.beatAddress = null;
    }
  }

  async serve(req, res) {
    const {born} = this;
    let text = '';
    try {
      for await (const chunk of req) text += chunk;
    } catch {
      return;
    }
    if (!this.up || this.born !== born) return;
    const [status, body] = await this.answer(req, text);
    if (!this.up || this.born !== born) return;
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  }

  async answer(req, text) {
    const expected = req.headers['mustardferry-expected-instance'];
    if (expected !== undefined && expected !== this.options.id) {
      return [421, {}];
    }
    const body = JSON.parse(text);
    const token = body.fencingToken ?? 0;
    if (token < this.token) return this.refuse('fence');
    this.token = token;
    if (req.url === '/v1/run-start') return this.startRun(body);
    if (req.url === '/v1/run-stop') return this.stopRun(body);
    return req.url === '/v1/hold' ? this.hold(body) : [404, {}];
  }

  refuse(reason) {
    return [409, {clockMs: this.clockMs, reason}];
  }

  startRun({task, runNumber, specification, expiresAtMs}) {
    const {clockMs} = this;
    if (this.sheds()) {
      this.note('start-shed', {task, run: runNumber});
      return [503, {}];
    }
    if (this.running.get(task)?.run === runNumber) return [200, {clockMs}];
    if (expiresAtMs <= clockMs) return this.refuse('late');
    this.extend(expiresAtMs);
    const isOld = runNumber <= (this.over.get(task) ?? 0);
    if (isOld || this.running.has(task)) return this.refuse('old');
    const {cpu, runMs} = this.options.workOf(task, specification);
    if (this.usedCpu + cpu > this.options.cpu) return this.refuse('room');
    const timer = setTimeout(() => this.endRun(task, 'done'), runMs);
    this.running.set(task, {run: runNumber, timer, cpu, since: clockMs, runMs});
    const {labels, token} = this;
    this.note('run-began', {task, run: runNumber, cpu, token, labels});
    return [200, {clockMs}];
  }

  /** Spreads the starts that are shed evenly. */
  sheds() {
    const before = Math.floor(this.starts * this.shedShare);
    this.starts++;
    return Math.floor(this.starts * this.shedShare) > before;
  }

  stopRun({task, runNumber}) {
    this.over.set(task, Math.max(runNumber, this.over.get(task) ?? 0));
    const run = this.running.get(task);
    if (run?.run === runNumber) {
      clearTimeout(run.timer);
      run.timer = setTimeout(() => this.endRun(task, 'stopped'), STOP_MS);
    }
    return [200, {clockMs: this.clockMs}];
  }

  endRun(task, how) {
    const {run, timer, cpu} = this.running.get(task);
    clearTimeout(timer);
    this.running.delete(task);
    this.over.set(task, Math.max(run, this.over.get(task) ?? 0));
    this.ends.push([++this.endCount, task, run, how, '']);
    this.note('run-ended', {task, run, how, cpu});
    for (const wake of [...this.waiters]) wake();
  }

  extend(expiresAtMs) {
    const most = this.clockMs + MAX_HOLD_MS;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(expiresAtMs, most));
    clearTimeout(this.leaseTimer);
    const leftMs = this.leaseUntil - this.clockMs;
    this.leaseTimer = setTimeout(() => this.lapse(), leftMs);
  }

  lapse() {
    // Without unnoted ends or runs a lapse says nothing.
    if (this.running.size + this.ends.length > 0) this.note('lease-lapsed');
    for (const task of [...this.running.keys()]) this.endRun(task, 'lapsed');
  }

  async hold({ackCursor = 0, expiresAtMs, waitMs = 0}) {
    this.takeNote(ackCursor);
    if (expiresAtMs !== undefined) this.extend(expiresAtMs);
    if (this.ends.length === 0 && waitMs > 0) await this.untilEnd(waitMs);
    const {born, clockMs} = this;
    const running = [...this.running].map(([task, {run, since, runMs}]) => {
      const share = Math.floor((100 * (clockMs - since)) / runMs);
      return [task, run, '', Math.min(99, share), 0];
    });
    const finished = this.ends.slice(0, ENDS_PER_ANSWER);
    return [200, {clockMs, born, running, finished}];
  }

  /** Forgets the ends that the system has taken note of. */
  takeNote(cursor) {
    for (const [n, task, run, how] of this.ends) {
      if (n <= cursor) this.note('end-noted', {task, run, how});
    }
    this.ends = this.ends.filter(([n]) => n > cursor);
  }

  untilEnd(ms) {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      this.waiters.add(done);
    });
  }

  note(event, fields) {
    this.options.record.add(event, {worker: this.options.id, ...fields});
  }
}
