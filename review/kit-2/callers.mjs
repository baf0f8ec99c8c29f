/** Callers that submit jobs, and repeat what had no clear answer. */
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

export const HOST = 'jobs.example';
export const PREFIX = '/queue/';

/** How long a caller waits for an answer, in ms. */
const DEADLINE_MS = 1_500;

/** Pause in ms before a submission that must be stored is repeated. */
const REPEAT_MS = 500;

/** `retransmitMs`: the same for a job that is not stored. */
const RETRANSMIT_MS = 1_300;

const MAX_ATTEMPTS = 10;

/** Configuration of one queue. */
export function configuration(version, {rejectsOverload = true} = {}) {
  return {
    version,
    routes: [
      {
        name: 'r-1',
        host: HOST,
        pathPrefix: PREFIX,
        kind: 'non_idempotent',
        timeoutMs: DEADLINE_MS,
        targetLatencyMs: 60,
        priority: 0,
        service: 'pool',
        maxAttempts: 2,
        stretch: 1.6,
      },
    ],
    services: [
      {
        name: 'pool',
        healthCheckPath: '/health',
        maxConnections: 64,
        protocol: 'h1',
        tls: false,
        rejectsOverload,
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
}

/** Submits jobs through any gateway. */
export class Callers {
  open = new Set();
  stopped = false;

  /**
   * @param options `deployment`, `ledger`, and `isReachable`, which tells
   *     whether the platform would choose a gateway.
   */
  constructor({deployment, ledger, isReachable = () => true}) {
    Object.assign(this, {deployment, ledger, isReachable});
    this.agent = new http.Agent({keepAlive: true, maxSockets: 64});
  }

  pick() {
    const {gateways} = this.deployment;
    const reachable = gateways.filter(each => this.isReachable(each));
    const list = reachable.length > 0 ? reachable : gateways;
    return list[Math.floor(Math.random() * list.length)];
  }

  /** One request; null without a complete answer. */
  call(gateway, method, path, body) {
    const [host, port] = this.deployment.callerAddress(gateway).split(':');
    return new Promise(resolve => {
      const headers = {
        host: HOST,
        'content-type': 'application/json',
        'mustardferry-deadline-ms': String(DEADLINE_MS),
      };
      const {agent} = this;
      const req = http.request(
        {host, port, method, path, agent, headers},
        res => {
          const chunks = [];
          res.on('data', chunk => chunks.push(chunk));
          res.on('error', () => resolve(null));
          res.on('close', () => {
            if (!res.complete) return resolve(null);
            const text = Buffer.concat(chunks).toString();
            let content = {};
            try {
              content = JSON.parse(text || '{}');
            } catch {
              // The answer has no JSON body.
            }
            resolve({status: res.statusCode, ...content});
          });
        },
      );
      const timer = setTimeout(() => req.destroy(), DEADLINE_MS);
      req.on('close', () => clearTimeout(timer));
      req.on('error', () => resolve(null));
      req.end(body);
    });
  }

  /** Submits a job until its answer is clear; resolves with the job. */
  async submit(job) {
    const {ledger} = this;
    job.id ??= randomBytes(8).toString('hex');
    job.durable = !job.bestEffort;
    job.outcome = 'open';
    ledger.jobs.set(job.id, job);
    this.open.add(job);
    const body = JSON.stringify({
      specification: JSON.stringify({ms: job.ms}),
      steps: job.steps,
      ...(job.bestEffort ? {bestEffort: true} : {}),
    });
    for (let n = 0; n < MAX_ATTEMPTS && !this.stopped; n++) {
      const gateway = this.pick();
      ledger.note('job-sent', {job: job.id, gateway: gateway.name, attempt: n});
      const answer = await this.call(gateway, 'POST', PREFIX + job.id, body);
      const {status = 0, state} = answer ?? {};
      ledger.note('job-answered', {job: job.id, status, state});
      if (status === 200) {
        job.outcome = job.bestEffort ? state : 'accepted';
        break;
      }
      if (status === 429 || status === 503 || status === 404) {
        job.outcome = 'rejected';
        break;
      }
      job.repeated = true;
      await sleep(job.bestEffort ? RETRANSMIT_MS : REPEAT_MS);
    }
    this.open.delete(job);
    return job;
  }

  /** Submits groups of jobs at a rate until a condition ends it. */
  async run(groupsPerSecond, createJob, goesOn, groupSize = 1) {
    const periodMs = 1_000 / groupsPerSecond;
    let dueAt = performance.now();
    while (goesOn()) {
      for (let n = 0; n < groupSize; n++) void this.submit(createJob());
      dueAt += periodMs;
      const leftMs = dueAt - performance.now();
      if (leftMs > 0) await sleep(leftMs);
    }
  }

  /** Asks for the state of a job; null without an answer. */
  async state(job) {
    const answer = await this.call(this.pick(), 'GET', PREFIX + job.id);
    this.ledger.note('state', {job: job.id, ...answer});
    if (!answer) return null;
    return answer.status === 200 ? answer.state : answer.status;
  }

  close() {
    this.stopped = true;
    this.agent.destroy();
  }
}
