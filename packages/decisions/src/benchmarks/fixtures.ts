/** Policies, upstreams and tasks of the benchmarks. */
import type {Policy, Resources, Urgency} from '@mustardferry/model';

import type {CandidateUpstream} from '../routing/candidate_index.js';
import type {QueuedTask} from '../sharing/sharing_policy.js';

/** Capacity of a worker, as the design assumes for one user. */
export const WORKER_CAPACITY: Resources = {
  slots: 8,
  processors: 16,
  memoryMb: 65_536,
  accelerators: 0,
};

/** Resources of a task, which takes one slot of a worker. */
export const TASK_RESOURCES: Resources = {
  slots: 1,
  processors: 1,
  memoryMb: 1_024,
  accelerators: 0,
};

const UNLIMITED_QUOTA: Resources = {
  slots: 1e9,
  processors: 1e9,
  memoryMb: 1e12,
  accelerators: 1e9,
};

const URGENCIES: readonly Urgency[] = ['urgent', 'normal', 'background'];

/** Names of the kinds, one for each urgency. */
export const KINDS = URGENCIES.map(urgency => `kind-${urgency}`);

/** Creates a policy with the given shares in percent. */
export function createPolicy(shares: readonly number[]): Policy {
  return {
    revision: 1,
    teams: shares.map((sharePercent, index) => ({
      team: `team-${index}`,
      sharePercent,
      quota: UNLIMITED_QUOTA,
      wastedMessageCostMs: 50,
      retryBudgetPercent: 5,
      kinds: [],
    })),
  };
}

/** Creates upstreams, in racks of eight, that all offer the given kinds. */
export function upstreams(
  count: number,
  kinds: readonly string[] = KINDS,
): readonly CandidateUpstream[] {
  return Array.from({length: count}, (_, index) => ({
    key: `upstream-${index}`,
    worker: `worker-${index}`,
    rack: `rack-${Math.floor(index / 8)}`,
    kinds,
    capacity: WORKER_CAPACITY,
  }));
}

/** Creates a task of a team; `order` gives a unique id and selects the kind. */
export function createTask(
  team: number,
  order: number,
  now: number,
  expectedRunMs: number,
): QueuedTask {
  const urgency = URGENCIES[order % URGENCIES.length] ?? 'normal';
  return {
    taskId: `job-${order}/0`,
    jobId: `job-${order}`,
    team: `team-${team}`,
    kind: `kind-${urgency}`,
    urgency,
    resources: TASK_RESOURCES,
    expectedRunMs,
    targetAtMs: now + 1_000,
    enqueuedAtMs: now,
  };
}
