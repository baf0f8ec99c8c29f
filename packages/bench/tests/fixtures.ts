/** Builders shared by the bench's tests. */
import type {StartTaskRequest} from '@mustardferry/model';
import {must} from '@mustardferry/model';

import {MIX_KINDS} from '../src/load/mixes.js';
import type {Exchange, JobOutcome} from '../src/load/outcomes.js';
import type {TraceJob} from '../src/load/trace.js';
import type {StartEvent, WorkerRecords} from '../src/workers/worker_record.js';

export function startRequest(
  overrides: Partial<StartTaskRequest> = {},
): StartTaskRequest {
  return {
    taskId: 'dc1.0.abc/0',
    attempt: 1,
    incarnation: 5,
    owner: {group: 'dc1.0', generation: 1, term: 2},
    instance: 'e1',
    team: 'payments',
    kind: 'payment-posting',
    resources: {slots: 1, processors: 1, memoryMb: 512, accelerators: 0},
    leaseMs: 3_000,
    payload: {runMs: 100, value: 'v'},
    ...overrides,
  };
}

export function traceJob(kind: string, values: readonly string[]): TraceJob {
  return {
    index: 0,
    atMs: 0,
    kind: must(
      MIX_KINDS.find(each => each.kind === kind),
      kind,
    ),
    key: 'k0',
    instance: 0,
    tasks: values.map((value, i) => ({
      id: `t${i}`,
      value,
      runMs: 100,
      expectedRunMs: 100,
    })),
    resubmissions: [],
  };
}

export function exchange(overrides: Partial<Exchange> = {}): Exchange {
  return {
    instance: 0,
    cause: 'first',
    sentMs: 100,
    doneMs: 200,
    status: 200,
    result: 'accepted',
    final: false,
    code: '',
    jobId: 'dc1.0.abc',
    ...overrides,
  };
}

export function outcomeOf(
  exchanges: readonly Exchange[],
  rest: Partial<JobOutcome> = {},
): JobOutcome {
  const last = exchanges.at(-1);
  return {
    index: 0,
    dueMs: 100,
    result: last?.result ?? 'unknown',
    code: last?.code ?? '',
    exchanges,
    ...rest,
  };
}

export function startEvent(overrides: Partial<StartEvent> = {}): StartEvent {
  return {
    worker: 'w1',
    incarnation: 5,
    taskId: 'dc1.0.abc/0',
    attempt: 1,
    owner: {group: 'dc1.0', generation: 1, term: 2},
    instance: 'e1',
    kind: 'payment-posting',
    value: 'v0',
    startMs: 150,
    endMs: 250,
    end: 'done',
    delivered: true,
    ...overrides,
  };
}

export function recordsOf(
  starts: readonly StartEvent[],
  rest: Partial<WorkerRecords> = {},
): WorkerRecords {
  return {
    starts,
    refusals: [],
    stops: 0,
    queries: 0,
    queriesWhileRunning: 0,
    peakConnections: 0,
    rejectedConnections: 0,
    ...rest,
  };
}
