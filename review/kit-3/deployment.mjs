/** A small deployment on loopback, with stand-ins for workers and operator. */
import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

import {closeConnections, send} from './http.mjs';
import {PORTS, Program} from './programs.mjs';
import {Worker} from './worker.mjs';

/** Bounds of the small sites on the page of the system. */
export const BOUNDS = {
  touchMs: 3_000,
  ackTimeoutMs: 4_000,
  catchUpS: 4,
  drainTimeoutMs: 2_000,
  gracePeriodS: 6,
  configurationApplyMs: 2_000,
  recoveryS: 12,
  maxHoldMs: 1_000,
  stopTimeoutMs: 50,
  cancel_ms: 3_000,
  visible_ms: 3_000,
  finish_s: 14,
  status_s: 120,
  remoteFactor: 3,
};

export const SERVICE = 'service-a';
export const HOST = 'jobs.example';
const ZONES = ['a', 'b', 'c'];
const HEARTBEAT_MS = 1_500;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const RESTART_MS = 700;

/** First three bytes of addresses that nothing else uses. */
async function findSubnet() {
  for (let n = 0; n < 50; n++) {
    const random = () => 1 + Math.floor(Math.random() * 250);
    const subnet = `127.${random()}.${random()}`;
    const probe = createServer();
    const error = once(probe, 'error').then(() => false);
    probe.listen(PORTS.peers, `${subnet}.1`);
    const isFree = await Promise.race([
      once(probe, 'listening').then(() => true),
      error,
    ]);
    error.catch(() => undefined);
    probe.close();
    if (isFree) return subnet;
  }
  throw new Error('no free loopback addresses');
}

export class Deployment {
  constructor({record, observer, behave, size = {}, bounds = {}, labelsOf}) {
    Object.assign(this, {record, observer, behave});
    this.labelsOf = labelsOf ?? (n => [n % 3 === 0 ? 'b' : 'a', `r${n % 3}-1`]);
    this.size = {members: 3, gateways: 3, workers: 6, slots: 8, ...size};
    this.bounds = {...BOUNDS, ...bounds};
    this.members = [];
    this.gateways = [];
    this.workers = [];
    this.timers = [];
    this.version = 0;
    /** Member that the newest heartbeat named as the one to call. */
    this.leaderIp = null;
    this.closed = false;
  }

  async open(routes) {
    this.folder = await mkdtemp(join(tmpdir(), 'review-3-'));
    this.subnet = await findSubnet();
    const {members, gateways, workers} = this.size;
    const seeds = [1, 2, 3].map(n => `${this.subnet}.${n}`);
    const create = (role, n, base) =>
      new Program({
        name: `${role}-${n}`,
        role,
        ip: `${this.subnet}.${base + n}`,
        zone: ZONES[n % 3],
        seeds,
        folder: this.folder,
        bounds: this.bounds,
      });
    for (let n = 1; n <= members; n++) {
      this.members.push(create('member', n, 0));
    }
    for (let n = 1; n <= gateways; n++) {
      this.gateways.push(create('gateway', n, 100));
    }
    for (const each of [...this.members, ...this.gateways]) await each.start();
    for (let n = 1; n <= workers; n++) await this.addWorker(n);
    await this.configure(routes);
    for (const worker of this.workers) this.beginHeartbeats(worker);
    await this.untilReady();
  }

  async addWorker(n, fields = {}) {
    const worker = new Worker({
      id: `i-${n}`,
      ip: `${this.subnet}.${200 + n}`,
      zone: ZONES[n % 3],
      service: SERVICE,
      labels: this.labelsOf(n),
      slots: this.size.slots,
      behave: this.behave,
      observer: this.observer,
      ...fields,
    });
    await worker.open();
    this.workers.push(worker);
    return worker;
  }

  /** A worker sends one report at a time. */
  beginHeartbeats(worker) {
    let isReporting = false;
    const report = async () => {
      if (isReporting) return;
      isReporting = true;
      await this.heartbeat(worker);
      isReporting = false;
    };
    void report();
    this.timers.push(setInterval(() => void report(), HEARTBEAT_MS));
  }

  /** Reports a worker; resolves with the member that acknowledged it. */
  async heartbeat(worker, body = worker.report()) {
    const first = worker.heartbeatAddress;
    const others = this.members.map(({ip}) => `${ip}:${PORTS.control}`);
    const offset = Math.floor(Math.random() * others.length);
    const turn = [...others.slice(offset), ...others.slice(0, offset)];
    if (!worker.isUp) return null;
    for (const address of first ? [first, ...turn] : turn) {
      if (worker.isCut) {
        await sleep(HEARTBEAT_TIMEOUT_MS);
        continue;
      }
      const answer = await send({
        address,
        method: 'PUT',
        path: `/v1/instances/${worker.id}`,
        body,
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
      });
      if (this.closed) return null;
      if (answer.status >= 200 && answer.status < 300) {
        worker.heartbeatAddress = answer.body.heartbeatAddress;
        this.leaderIp = worker.heartbeatAddress?.split(':')[0] ?? null;
        return address;
      }
      worker.heartbeatAddress = undefined;
    }
    return null;
  }

  /** Sends a new configuration until it is acknowledged. */
  async configure(routes) {
    const version = (this.version += 3);
    const body = {
      version,
      routes: routes.map(route => ({
        name: route.pathPrefix,
        host: HOST,
        kind: 'non_idempotent',
        timeoutMs: 1_500,
        targetLatencyMs: 60,
        priority: 0,
        service: SERVICE,
        maxAttempts: 2,
        stretch: 1.6,
        ...route,
      })),
      services: [
        {
          name: SERVICE,
          healthCheckPath: '/health',
          maxConnections: 64,
          protocol: 'h1',
          tls: false,
          rejectsOverload: true,
          standby: false,
        },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 262_144,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    };
    for (let turn = 0; turn < 200; turn++) {
      const {ip} = this.members[turn % this.members.length];
      const address = `${ip}:${PORTS.control}`;
      const path = '/v1/configuration';
      const order = {address, method: 'PUT', path, body, timeoutMs: 1_000};
      const {status} = await send(order);
      if (status === 200) {
        this.record.add(`configuration ${version} acknowledged by ${ip}`);
        return version;
      }
      await sleep(100);
    }
    throw new Error('the configuration was not acknowledged');
  }

  /** Resolves once the gateways are ready and the workers are known. */
  async untilReady() {
    for (let n = 0; n < 200; n++) {
      const answers = await Promise.all(
        this.gateways.map(({ip}) =>
          send({
            address: `${ip}:${PORTS.readiness}`,
            method: 'GET',
            path: '/v1/readiness',
            timeoutMs: 500,
          }),
        ),
      );
      const isReady = answers.every(({status}) => status === 200);
      if (isReady && this.leaderIp) return sleep(1_500);
      await sleep(100);
    }
    throw new Error('the deployment is not ready');
  }

  jobsAddress(gateway) {
    return `${gateway.ip}:${PORTS.jobs}`;
  }

  /** The member that leads, as heartbeats are told. */
  get leader() {
    return this.members.find(({ip}) => ip === this.leaderIp);
  }

  /** Waits for a heartbeat that names a leader which runs. */
  async untilLeader() {
    for (let n = 0; n < 100; n++) {
      await this.heartbeat(this.workers[n % this.workers.length]);
      if (this.leader?.isUp) return this.leader;
      await sleep(100);
    }
    throw new Error('no leader was named');
  }

  /** Kills processes at the same moment; the platform starts them again. */
  async killAll(programs, restartMs = RESTART_MS) {
    this.record.add(`SIGKILL to ${programs.map(({name}) => name).join(', ')}`);
    await Promise.all(programs.map(each => each.kill()));
    const timer = setTimeout(() => {
      if (this.closed) return;
      for (const each of programs) void each.start();
    }, restartMs);
    this.timers.push(timer);
  }

  async close({keepLogs = false} = {}) {
    this.closed = true;
    for (const timer of this.timers) clearInterval(timer);
    for (const each of [...this.members, ...this.gateways]) await each.kill();
    for (const worker of this.workers) worker.close();
    closeConnections();
    if (!keepLogs) await rm(this.folder, {recursive: true, force: true});
  }
}
