/** Clients as the users' protocol describes them. */
import {setTimeout as sleep} from 'node:timers/promises';

import {call} from './http.mjs';

export const HOST = 'shop.example';
export const PREFIX = '/work/';
const DEADLINE_MS = 1_500;
const REPEAT_MS = 300;
const MAX_ATTEMPTS = 20;

let nextId = 0;

/** Sends requests to the gateways in turn. */
export class Clients {
  /** Ids of the jobs that were accepted. */
  accepted = [];

  constructor(deployment, record) {
    this.deployment = deployment;
    this.record = record;
    this.turn = 0;
  }

  /**
   * Submits a stored job until a clear answer comes; returns its id.
   */
  async submit(specification, steps) {
    const id = (++nextId).toString(16).padStart(16, '0');
    const body = {specification, steps};
    for (let n = 0; n < MAX_ATTEMPTS; n++) {
      const answer = await this.send('POST', id, body);
      const status = answer?.status ?? 'none';
      this.record.add('submitted', {job: id, status, specification});
      if (status === 200) this.accepted.push(id);
      if (![502, 504, 'none'].includes(status)) return id;
      await sleep(REPEAT_MS);
    }
    return id;
  }

  /** State of a job; null without a clear answer. */
  async state(id) {
    const answer = await this.send('GET', id);
    const status = answer?.status ?? 'none';
    const state = answer?.body.state ?? null;
    this.record.add('state', {job: id, status, state});
    return status === 200 ? state : null;
  }

  /** The queue's accepted jobs of which no task has started, or null. */
  async pending() {
    const answer = await this.send('GET', '');
    const status = answer?.status ?? 'none';
    const pending = answer?.body.pending ?? null;
    this.record.add('pending', {status, pending});
    return status === 200 ? pending : null;
  }

  send(method, id, body) {
    const {callers} = this.deployment;
    const address = callers[this.turn++ % callers.length];
    return call(address, method, `${PREFIX}${id}`, {
      body,
      headers: {
        host: HOST,
        'mustardferry-deadline-ms': String(DEADLINE_MS),
      },
      timeoutMs: 2 * DEADLINE_MS,
    });
  }
}

/** A configuration with one queue on one service. */
export function configuration(version, service) {
  return {
    version,
    routes: [
      {
        name: 'r-work',
        host: HOST,
        pathPrefix: PREFIX,
        kind: 'non_idempotent',
        timeoutMs: 1_500,
        targetLatencyMs: 60,
        priority: 0,
        service,
        maxAttempts: 2,
        stretch: 1.6,
      },
    ],
    services: [
      {
        name: service,
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
}
