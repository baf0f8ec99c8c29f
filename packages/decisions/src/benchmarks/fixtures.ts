/** Teams, workers and tasks of the benchmarks. */
import type {Policy, Resources, Urgency} from '@mustardferry/model';

import type {CandidateUpstream} from '../routing/candidate_index.js';
import type {QueuedTask} from '../sharing/sharing_policy.js';

/** A worker of the size that the design page gives for one user. */
export const WORKER_CAPACITY: Resources = {
  slots: 8,
  processors: 16,
  memoryMb: 65_536,
  accelerators: 0,
};

/** One slot of that worker. */
export const TASK_RESOURCES: Resources = {
  slots: 1,
  processors: 1,
  memoryMb: 1_024,
  accelerators: 0,
};

const UNLIMITED: Resources = {
  slots: 1e9,
  processors: 1e9,
  memoryMb: 1e12,
  accelerators: 1e9,
};

const URGENCIES: readonly Urgency[] = ['urgent', 'normal', 'background'];

/** Names of the kinds, one for each urgency. */
export const KINDS = URGENCIES.map(urgency => `kind-${urgency}`);

/** A policy with the given shares in percent. */
export function policyOf(shares: readonly number[]): Policy {
  return {
    revision: 1,
    teams: shares.map((sharePercent, index) => ({
      team: `team-${index}`,
      sharePercent,
      quota: UNLIMITED,
      wastedMessageCostMs: 50,
      retryBudgetPercent: 5,
      kinds: [],
    })),
  };
}

/** Upstreams in racks of eight that all offer the given kinds. */
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

/** A task of a team; `order` makes its id unique and picks its kind. */
export function taskOf(
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
