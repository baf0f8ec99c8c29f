/** Baselines that use no run-time estimates. */
import type {RandomGenerator} from 'pure-rand';

import {randomIndex} from '../common/random.js';
import type {ReasonCode} from '../explain/reasons.js';
import type {Candidate, CandidateIndex} from './candidate_index.js';
import {
  isEligible,
  NO_UPSTREAM,
  type RoutableTask,
  type RoutingDecision,
  RoutingPolicy,
} from './routing_policy.js';

/** Random draws before the free upstreams are searched in order. */
const MAX_DRAWS = 8;

function start(
  task: RoutableTask,
  candidate: Candidate | undefined,
  reason: ReasonCode,
): RoutingDecision {
  if (!candidate) return NO_UPSTREAM;
  const {expectedRunMs} = task;
  const upstream = candidate.upstream.key;
  return {type: 'start', upstream, expectedRunMs, reason};
}

function drawOnce(
  kind: string,
  candidates: CandidateIndex,
  rng: RandomGenerator,
): Candidate | undefined {
  const groups = candidates.groupsOf(kind);
  const total = groups.reduce((sum, group) => sum + group.free.size, 0);
  if (total === 0) return undefined;
  let index = randomIndex(rng, total);
  for (const group of groups) {
    if (index < group.free.size) return group.free.bucket(0)[index];
    index -= group.free.size;
  }
  return undefined;
}

function draw(
  task: RoutableTask,
  candidates: CandidateIndex,
  rng: RandomGenerator,
): Candidate | undefined {
  for (let attempt = 0; attempt < MAX_DRAWS; attempt++) {
    const candidate = drawOnce(task.kind, candidates, rng);
    if (!candidate) return undefined;
    if (isEligible(task, candidate)) return candidate;
  }
  for (const group of candidates.groupsOf(task.kind)) {
    const found = group.free.bucket(0).find(each => isEligible(task, each));
    if (found) return found;
  }
  return undefined;
}

/** A random upstream with a free credit. */
export class RandomRouting extends RoutingPolicy {
  constructor(private readonly rng: RandomGenerator) {
    super();
  }

  override chooseUpstream(
    task: RoutableTask,
    candidates: CandidateIndex,
  ): RoutingDecision {
    return start(task, draw(task, candidates, this.rng), 'random-upstream');
  }
}

/** The less loaded of two random upstreams (Mitzenmacher, 2001). */
export class TwoChoicesRouting extends RoutingPolicy {
  constructor(private readonly rng: RandomGenerator) {
    super();
  }

  override chooseUpstream(
    task: RoutableTask,
    candidates: CandidateIndex,
  ): RoutingDecision {
    const first = draw(task, candidates, this.rng);
    const second = draw(task, candidates, this.rng);
    const better =
      first && second && second.running < first.running ? second : first;
    return start(task, better, 'two-choices');
  }
}

/** The upstream with the fewest running tasks of this instance. */
export class LeastOutstandingRouting extends RoutingPolicy {
  override chooseUpstream(
    task: RoutableTask,
    candidates: CandidateIndex,
  ): RoutingDecision {
    let best: Candidate | undefined;
    for (const {byLoad} of candidates.groupsOf(task.kind)) {
      for (let load = 0; load < byLoad.buckets; load++) {
        if (best && best.running <= load) break;
        const found = byLoad.bucket(load).find(each => isEligible(task, each));
        if (!found) continue;
        best = found;
        break;
      }
    }
    return start(task, best, 'least-outstanding');
  }
}
