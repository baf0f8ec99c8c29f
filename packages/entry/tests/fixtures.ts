/** Settings, policies, jobs and fakes that the tests of this package share. */
import {
  type RecordsCommand,
  RecordsState,
  type StartItem,
  type StartResult,
} from '@mustardferry/coordination';
import type {SubmitToOwner} from '@mustardferry/links';
import type {
  InstanceSettings,
  KindPolicy,
  Policy,
  TeamPolicy,
  UpstreamAnnouncement,
} from '@mustardferry/model';
import {createLogger} from '@mustardferry/runtime';

import {type JobFailure, RunningJob} from '../src/jobs/running_job.js';
import {
  type AdmissionVerdict,
  JobOwnership,
  type ScheduledTask,
  TaskScheduler,
} from '../src/jobs/task_scheduler.js';

export const LOGGER = createLogger('silent');
export const JOB_ID = `dc1.0.${'a'.repeat(22)}`;
export const OTHER_JOB_ID = `dc1.0.${'b'.repeat(22)}`;

const ONE_SLOT = {slots: 1, processors: 0, memoryMb: 0, accelerators: 0};

export const ONCE: KindPolicy = {
  kind: 'posting',
  urgency: 'urgent',
  repeatable: false,
  targetMs: 1_000,
  expectedRunMs: 100,
  resources: ONE_SLOT,
  queueLimit: 1_000,
};
export const REPEATABLE: KindPolicy = {
  ...ONCE,
  kind: 'statement',
  repeatable: true,
};
export const TEAM: TeamPolicy = {
  team: 'coop',
  sharePercent: 50,
  quota: {slots: 100, processors: 100, memoryMb: 100, accelerators: 100},
  wastedMessageCostMs: 1,
  retryBudgetPercent: 10,
  kinds: [ONCE, REPEATABLE],
};
export const POLICY: Policy = {revision: 1, teams: [TEAM]};

export function upstream(
  change: Partial<UpstreamAnnouncement> = {},
): UpstreamAnnouncement {
  return {
    worker: 'w1',
    address: '127.0.0.1:1',
    incarnation: 1,
    dataCentre: 'dc1',
    rack: 'r1',
    capacity: {slots: 4, processors: 4, memoryMb: 4, accelerators: 0},
    maxConnections: 60,
    kinds: ['posting', 'statement'],
    ...change,
  };
}

export function settings(
  change: Partial<InstanceSettings> = {},
): InstanceSettings {
  return {
    name: 'e1',
    dataCentre: 'dc1',
    listen: '127.0.0.1:0',
    dataFolder: '',
    instances: [
      {name: 'e1', dataCentre: 'dc1', address: '127.0.0.1:1', disk: true},
      {name: 'e2', dataCentre: 'dc1', address: '127.0.0.1:2', disk: false},
      {name: 'e3', dataCentre: 'dc1', address: '127.0.0.1:3', disk: false},
      {name: 'f1', dataCentre: 'dc2', address: '127.0.0.1:4', disk: true},
    ],
    controlVoters: ['e1'],
    recordGroups: 2,
    recordRetentionMs: 60_000,
    heartbeatMs: 100,
    electionTimeoutMs: 500,
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

/** A submission of two tasks as its owner receives it. */
export function submitReq(
  kind: KindPolicy = ONCE,
  change: Partial<SubmitToOwner> = {},
  deadlineMs?: number,
): SubmitToOwner {
  return {
    jobId: JOB_ID,
    requestId: 'r1',
    submission: {
      team: TEAM.team,
      kind: kind.kind,
      idempotencyKey: 'k1',
      tasks: [
        {id: 't0', payload: 0},
        {id: 't1', payload: 1},
      ],
      ...(deadlineMs === undefined ? {} : {deadlineMs}),
    },
    digest: 'd1',
    waitMs: 1_000,
    ...change,
  };
}

export function admitCommand(
  kind: KindPolicy = ONCE,
  jobId = JOB_ID,
  tasks = 2,
  deadlineMs?: number,
): RecordsCommand {
  return {
    type: 'admit',
    jobId,
    team: TEAM.team,
    kind: kind.kind,
    idempotencyKey: 'k1',
    digest: 'd1',
    repeatable: kind.repeatable,
    tasks: Array.from({length: tasks}, (_, i) => ({id: `t${i}`, payload: i})),
    ...(deadlineMs === undefined ? {} : {deadlineMs}),
    atMs: 0,
    keepUntilMs: 60_000,
  };
}

export function startItem(change: Partial<StartItem> = {}): StartItem {
  const at = {address: '127.0.0.1:1', incarnation: 1};
  return {
    jobId: JOB_ID,
    taskIndex: 0,
    attempt: 1,
    upstream: at,
    atMs: 0,
    ...change,
  };
}

export interface JobShape {
  readonly kind?: KindPolicy;
  readonly jobId?: string;
  readonly tasks?: number;
  readonly takenOver?: boolean;
  readonly starts?: readonly StartItem[];
  readonly deadlineMs?: number;
}

/** A running job over a record of its own. */
export function runningJob(shape: JobShape = {}): RunningJob {
  const {kind = ONCE, jobId = JOB_ID, tasks = 2, takenOver = false} = shape;
  const state = new RecordsState();
  state.apply(admitCommand(kind, jobId, tasks, shape.deadlineMs));
  state.apply({type: 'start', starts: shape.starts ?? []});
  const record = state.get(jobId);
  if (record === undefined) throw new Error('not admitted');
  return new RunningJob({record, team: TEAM, kind, takenOver});
}

/** Scheduler that only notes what it was given. */
export class FakeScheduler extends TaskScheduler {
  verdict: AdmissionVerdict = {reason: 'capacity-available'};
  admissions = 0;
  readonly scheduled: ScheduledTask[] = [];
  readonly resumed: ScheduledTask[] = [];
  readonly cancelled: string[] = [];
  readonly released: string[] = [];

  override async admit(): Promise<AdmissionVerdict> {
    this.admissions++;
    return this.verdict;
  }

  override scheduleTask(task: ScheduledTask): void {
    this.scheduled.push(task);
  }

  override resumeTask(task: ScheduledTask): void {
    this.resumed.push(task);
  }

  override releaseJob(job: RunningJob): void {
    this.released.push(job.jobId);
  }

  override cancel(job: RunningJob): void {
    this.cancelled.push(job.jobId);
  }
}

/** Ownership whose records are answered by the test. */
export class FakeOwnership extends JobOwnership {
  readonly epoch = {group: 'dc1.0', generation: 1, term: 1};
  active = true;
  readonly batches: (readonly StartItem[])[] = [];
  readonly sealed: number[] = [];
  readonly completed: {readonly index: number; readonly value: unknown}[] = [];
  readonly failures: JobFailure[] = [];
  answerStarts: (
    starts: readonly StartItem[],
  ) => Promise<readonly StartResult[]> = async starts =>
    starts.map(() => ({outcome: 'started'}));

  override recordStarts(
    starts: readonly StartItem[],
  ): Promise<readonly StartResult[]> {
    this.batches.push(starts);
    return this.answerStarts(starts);
  }

  override async recordSeal(
    _jobId: string,
    _index: number,
    attempt: number,
  ): Promise<void> {
    this.sealed.push(attempt);
  }

  override completeTask(job: RunningJob, index: number, value: unknown): void {
    job.complete(index, value);
    this.completed.push({index, value});
  }

  override failJob(job: RunningJob, failure: JobFailure): void {
    job.fail(failure);
    this.failures.push(failure);
  }
}
