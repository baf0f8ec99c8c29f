/**
 * Stand-in for a worker, as PROTOCOL.md describes it: fencing tokens, leases on
 * its own clock, run numbers, lists of runs and of ends.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

const MAX_LISTED_ENDS = 500;

/** Reads a body as JSON. */
async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

export class Worker {
  /**
   * @param options.behave Returns `{runMs, how}` for a task that begins.
   * @param options.observer Told of what happens, as it happens.
   */
  constructor({
    id,
    ip,
    port = 8_080,
    zone,
    service,
    labels,
    slots = 8,
    ...rest
  }) {
    Object.assign(this, {id, ip, port, zone, service, labels, slots});
    this.maxHoldMs = rest.maxHoldMs ?? 1_000;
    this.stopMs = rest.stopMs ?? 10;
    this.behave = rest.behave;
    this.observer = rest.observer;
    this.isCut = false;
    this.running = new Map();
    this.waiters = new Set();
  }

  /** Begins an incarnation, which knows nothing of an earlier one. */
  async open() {
    this.state = 'ready';
    this.heartbeatAddress = undefined;
    this.sequence = 0;
    this.born = Date.now();
    this.clockOrigin = performance.now() - 100_000;
    this.token = 0;
    this.leaseUntil = 0;
    this.leaseTimer = undefined;
    this.nextEnd = 1;
    this.ends = [];
    this.over = new Map();
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.listen(this.port, this.ip);
    await once(this.server, 'listening');
    this.isUp = true;
  }

  /** Ends at once, with everything that runs. */
  close() {
    this.isUp = false;
    clearTimeout(this.leaseTimer);
    for (const {timer} of this.running.values()) clearTimeout(timer);
    this.running.clear();
    this.waiters.clear();
    this.server.closeAllConnections();
    this.server.close();
  }

  get clockMs() {
    return Math.floor(performance.now() - this.clockOrigin);
  }

  /** What the worker reports about itself. */
  report() {
    const {service, ip, port, zone, slots, state, labels, clockMs, born} = this;
    return {
      service,
      address: `${ip}:${port}`,
      zone,
      version: 'v1',
      slots,
      state,
      coldRemainingMs: 0,
      capacity: {cpu: 1_000 * slots, memoryRequestMb: 65_536, gpu: 0},
      labels,
      clockMs,
      sequence: ++this.sequence,
      born,
      ...(state === 'draining' && {
        remainingMs: Math.max(0, Math.round(this.leavesAt - performance.now())),
      }),
    };
  }

  /** Reports from now on that it leaves after a time in ms. */
  drain(forMs) {
    this.state = 'draining';
    this.leavesAt = performance.now() + forMs;
  }

  /** Cut off: nothing arrives or leaves, what runs runs on. */
  cutOff() {
    this.isCut = true;
  }

  /** Ends the cut; callers find the connections of before it broken. */
  reconnect() {
    this.isCut = false;
    this.server.closeAllConnections();
  }

  async serve(req, res) {
    if (this.isCut) return;
    let answer;
    try {
      answer = await this.answer(req);
    } catch {
      // The connection broke before the order was complete.
      return res.destroy();
    }
    if (this.isCut) return;
    const [status, body] = answer;
    const text = JSON.stringify({clockMs: this.clockMs, ...body});
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  async answer(req) {
    const body = await readJson(req);
    const expected = req.headers['mustardferry-expected-instance'];
    if (expected !== undefined && expected !== this.id) return [421, {}];
    const token = body.fencingToken ?? 0;
    if (token < this.token) return [409, {reason: 'fence'}];
    this.token = token;
    if (req.url === '/v1/run-start') return this.start(body);
    if (req.url === '/v1/run-stop') return this.stop(body);
    if (req.url === '/v1/hold') return this.hold(body);
    return [400, {}];
  }

  start({task, runNumber, specification, expiresAtMs}) {
    const current = this.running.get(task);
    if (current?.run === runNumber) return [200, {}];
    if (expiresAtMs <= this.clockMs) return [409, {reason: 'late'}];
    this.extend(expiresAtMs);
    if (current || runNumber <= (this.over.get(task) ?? 0)) {
      return [409, {reason: 'old'}];
    }
    if (this.running.size >= this.slots) return [409, {reason: 'room'}];
    const {runMs, how} = this.behave(task, specification);
    const timer = setTimeout(() => this.end(task, how), runMs);
    const began = this.clockMs;
    this.running.set(task, {run: runNumber, timer, began, runMs});
    this.observer.began(this, task, runNumber, specification);
    return [200, {}];
  }

  stop({task, runNumber}) {
    this.over.set(task, Math.max(runNumber, this.over.get(task) ?? 0));
    const current = this.running.get(task);
    if (current && current.run <= runNumber) {
      clearTimeout(current.timer);
      current.timer = setTimeout(() => this.end(task, 'stopped'), this.stopMs);
    }
    return [200, {}];
  }

  async hold({ackCursor = 0, expiresAtMs, waitMs = 0}) {
    for (const end of this.ends) {
      if (end.row[0] <= ackCursor) this.observer.noted(this, end);
    }
    this.ends = this.ends.filter(({row}) => row[0] > ackCursor);
    if (expiresAtMs !== undefined) this.extend(expiresAtMs);
    if (this.ends.length === 0 && waitMs > 0) await this.nextChange(waitMs);
    const {clockMs, born} = this;
    const running = [...this.running].map(([task, {run, began, runMs}]) => [
      task,
      run,
      '',
      Math.min(99, Math.floor((100 * (clockMs - began)) / runMs)),
      0,
    ]);
    const finished = this.ends.slice(0, MAX_LISTED_ENDS).map(({row}) => row);
    return [200, {clockMs, born, running, finished}];
  }

  /** The lease holds for everything that runs; it never becomes shorter. */
  extend(until) {
    const most = this.clockMs + this.maxHoldMs;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, most));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => this.lapse(),
      Math.max(0, this.leaseUntil - this.clockMs) + 1,
    );
  }

  lapse() {
    for (const end of this.ends) end.lapsedBeforeNote = true;
    for (const task of [...this.running.keys()]) this.end(task, 'lapsed');
  }

  end(task, how) {
    const {run, timer} = this.running.get(task);
    clearTimeout(timer);
    this.running.delete(task);
    this.over.set(task, Math.max(run, this.over.get(task) ?? 0));
    const end = {row: [this.nextEnd++, task, run, how, '']};
    this.ends.push(end);
    this.observer.ended(this, end);
    for (const waiter of [...this.waiters]) waiter();
  }

  nextChange(ms) {
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
}
