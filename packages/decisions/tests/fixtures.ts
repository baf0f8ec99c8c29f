/** Values shared by the tests of this package. */
import type {KindPolicy, Policy, Resources} from '@mustardferry/model';

import type {CandidateUpstream} from '../src/routing/candidate_index.js';
import type {RoutableTask} from '../src/routing/routing_policy.js';
import type {QueuedTask} from '../src/sharing/sharing_policy.js';

export function createResources(
  slots: number,
  part: Partial<Resources> = {},
): Resources {
  return {slots, processors: slots, memoryMb: slots, accelerators: 0, ...part};
}

export const UNLIMITED = createResources(1e6, {accelerators: 1e6});

export function createQueuedTask(
  part: Partial<QueuedTask> & {taskId: string},
): QueuedTask {
  return {
    jobId: part.taskId,
    team: 'a',
    kind: 'k',
    urgency: 'normal',
    resources: createResources(1),
    expectedRunMs: 100,
    targetAtMs: 1_000,
    enqueuedAtMs: 0,
    ...part,
  };
}

export function createKindPolicy(part: Partial<KindPolicy> = {}): KindPolicy {
  return {
    kind: 'k',
    urgency: 'normal',
    repeatable: true,
    targetMs: 1_000,
    expectedRunMs: 100,
    resources: createResources(1),
    queueLimit: 10,
    ...part,
  };
}

export function createPolicy(
  teams: Readonly<
    Record<string, {share: number; quota?: Resources; retries?: number}>
  >,
): Policy {
  return {
    revision: 1,
    teams: Object.entries(teams).map(([team, {share, quota, retries}]) => ({
      team,
      sharePercent: share,
      quota: quota ?? UNLIMITED,
      wastedMessageCostMs: 50,
      retryBudgetPercent: retries ?? 10,
      kinds: [],
    })),
  };
}

export function createUpstream(
  key: string,
  part: Partial<CandidateUpstream> = {},
): CandidateUpstream {
  return {
    key,
    worker: key,
    rack: 'r',
    kinds: ['k'],
    capacity: createResources(8),
    ...part,
  };
}

export function createRoutableTask(
  part: Partial<RoutableTask> = {},
): RoutableTask {
  return {
    taskId: 't',
    team: 'a',
    kind: 'k',
    urgency: 'urgent',
    resources: createResources(1),
    expectedRunMs: 100,
    ...part,
  };
}
