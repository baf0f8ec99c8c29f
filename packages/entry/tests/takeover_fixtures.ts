/** Settings, jobs and fakes for the tests of takeovers and readiness. */
import {type RecordsCommand, RecordsState} from '@mustardferry/coordination';
import type {
  InstanceSettings,
  KindPolicy,
  TeamPolicy,
} from '@mustardferry/model';
import {must} from '@mustardferry/model';
import {createLogger} from '@mustardferry/runtime';

import {RunningJob} from '../src/jobs/running_job.js';

export const LOGGER = createLogger('silent');
export const JOB_ID = `dc1.0.${'a'.repeat(22)}`;
export const UPSTREAM = {address: '127.0.0.1:9', incarnation: 1};

const ONE_SLOT = {slots: 1, processors: 0, memoryMb: 0, accelerators: 0};

export function kindOf(repeatable: boolean): KindPolicy {
  return {
    kind: 'posting',
    urgency: 'urgent',
    repeatable,
    targetMs: 1_000,
    expectedRunMs: 100,
    resources: ONE_SLOT,
    queueLimit: 1_000,
  };
}

export function teamWith(kind: KindPolicy): TeamPolicy {
  return {
    team: 'coop',
    sharePercent: 100,
    quota: {slots: 8, processors: 8, memoryMb: 8, accelerators: 8},
    wastedMessageCostMs: 1,
    retryBudgetPercent: 10,
    kinds: [kind],
  };
}

function admit(repeatable: boolean): RecordsCommand {
  return {
    type: 'admit',
    jobId: JOB_ID,
    team: 'coop',
    kind: 'posting',
    idempotencyKey: 'k1',
    digest: 'd1',
    repeatable,
    tasks: [{id: 't0', payload: 0}],
    atMs: 0,
    keepUntilMs: 60_000,
  };
}

/** Records of one job whose only task was started, if `started` is set. */
export function recordsOf(repeatable: boolean, started = true): RecordsState {
  const state = new RecordsState();
  state.apply(admit(repeatable));
  const start = {
    jobId: JOB_ID,
    taskIndex: 0,
    attempt: 1,
    upstream: UPSTREAM,
    atMs: 0,
  };
  if (started) state.apply({type: 'start', starts: [start]});
  return state;
}

export function jobOf(repeatable: boolean, started = true): RunningJob {
  const kind = kindOf(repeatable);
  const record = must(recordsOf(repeatable, started).get(JOB_ID), 'no record');
  return new RunningJob({record, team: teamWith(kind), kind, takenOver: false});
}

export function settings(
  change: Partial<InstanceSettings> = {},
): InstanceSettings {
  const dataCentre = 'dc1';
  return {
    name: 'e1',
    dataCentre,
    listen: '127.0.0.1:0',
    dataFolder: '',
    instances: [
      {name: 'e1', dataCentre, address: '127.0.0.1:1', disk: true},
      {name: 'e2', dataCentre, address: '127.0.0.1:2', disk: false},
      {name: 'e3', dataCentre, address: '127.0.0.1:3', disk: false},
    ],
    controlVoters: ['e1', 'e2', 'e3'],
    recordGroups: 1,
    recordRetentionMs: 60_000,
    heartbeatMs: 100,
    electionTimeoutMs: 400,
    taskLeaseMs: 3_000,
    upstreamRenewalMs: 1_000,
    upstreamExpiryMs: 3_000,
    drainTimeoutMs: 1_000,
    logLevel: 'silent',
    statsd: '',
    tokens: {clients: [], operators: [], upstreams: [], instances: []},
    limits: {
      maxBodyBytes: 1_048_576,
      maxHeaderBytes: 16_384,
      maxTasksPerJob: 330,
      maxQueuedTasks: 1_000,
      maxConnections: 100,
      maxWaitMs: 30_000,
      unknownUpstreamWaitMs: 1_000,
    },
    policies: {
      routing: 'expected-end',
      sharing: 'weighted-fair',
      hedging: 'off',
    },
    ...change,
  };
}
