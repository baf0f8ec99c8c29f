/** Measures the cost of a full decision: dequeue, route, charge, release. */
import {performance} from 'node:perf_hooks';

import {type RandomGenerator, xoroshiro128plus} from 'pure-rand';

import {randomFraction, randomIndex} from '../common/random.js';
import {CandidateIndex} from '../routing/candidate_index.js';
import {ExpectedEndRouting} from '../routing/expected_end_routing.js';
import {RunTimeEstimator} from '../routing/run_time_estimator.js';
import type {QueuedTask} from '../sharing/sharing_policy.js';
import {WeightedFairSharing} from '../sharing/weighted_fair_sharing.js';
import {
  createPolicy,
  createTask,
  KINDS,
  upstreams,
  WORKER_CAPACITY,
} from './fixtures.js';

/** Result for one number of upstreams and teams. */
export interface DecisionCost {
  readonly upstreams: number;
  readonly teams: number;
  readonly microseconds: number;
  /** Fractions of the decisions that started a task and that waited. */
  readonly started: number;
  readonly waited: number;
}

const DECISIONS = 60_000;
const WARM_UP = 20_000;
const QUEUED_PER_TEAM = 12;
/** Fraction of the slots in use. */
const LOAD = 0.8;
const SEED = 17;

interface RunningTask {
  readonly task: QueuedTask;
  readonly upstream: string;
}

class DecisionBenchmark {
  readonly sharing = new WeightedFairSharing();
  readonly estimator = new RunTimeEstimator();
  readonly routing = new ExpectedEndRouting(this.estimator);
  readonly candidates = new CandidateIndex();
  readonly rng: RandomGenerator = xoroshiro128plus(SEED);
  readonly running: RunningTask[] = [];
  readonly maxRunning: number;
  now = 0;
  order = 0;
  started = 0;
  waited = 0;
  private oldest = 0;

  constructor(
    readonly upstreamCount: number,
    readonly teamCount: number,
  ) {
    const slots = upstreamCount * WORKER_CAPACITY.slots;
    this.maxRunning = Math.floor(LOAD * slots);
    this.sharing.setPolicy(
      createPolicy(Array<number>(teamCount).fill(100 / teamCount)),
    );
    this.sharing.setCapacity({
      slots,
      processors: upstreamCount * WORKER_CAPACITY.processors,
      memoryMb: upstreamCount * WORKER_CAPACITY.memoryMb,
      accelerators: 0,
    });
    for (const upstream of upstreams(upstreamCount)) {
      this.candidates.add(upstream);
      this.candidates.setCredits(upstream.key, WORKER_CAPACITY.slots);
    }
    for (let team = 0; team < teamCount; team++) {
      for (let each = 0; each < QUEUED_PER_TEAM; each++) this.enqueue(team);
    }
  }

  enqueue(team: number): void {
    const task = createTask(team, this.order++, this.now, 100);
    this.sharing.enqueue(task, this.now);
  }

  /** Makes one decision; ends the oldest task first if the load is reached. */
  decide(): void {
    this.now += 1;
    if (this.running.length - this.oldest >= this.maxRunning) this.endOldest();
    const chosen: {upstream?: string} = {};
    const next = this.sharing.next(this.now, task => {
      const decision = this.routing.chooseUpstream(
        task,
        this.candidates,
        this.now,
      );
      if (decision.type === 'wait') this.waited++;
      if (decision.type === 'start') chosen.upstream = decision.upstream;
      return decision.type === 'start';
    });
    if (!next || chosen.upstream === undefined) return;
    const {task} = next;
    const {upstream} = chosen;
    this.candidates.started(upstream, task.taskId, task.resources);
    this.sharing.charge(task, this.now);
    this.running.push({task, upstream});
    this.started++;
    this.enqueue(Number(task.team.slice('team-'.length)));
  }

  private endOldest(): void {
    const ended = this.running[this.oldest];
    this.oldest++;
    if (!ended) return;
    const {task, upstream} = ended;
    this.candidates.ended(upstream, task.taskId);
    this.sharing.release(task.taskId, this.now);
    const speed = 0.5 + (Number(upstream.slice('upstream-'.length)) % 7) / 4;
    const runMs = 100 * speed * (0.8 + 0.4 * randomFraction(this.rng));
    const {team, kind} = task;
    const endedAtMs = this.now;
    this.estimator.observe({team, kind, upstream, runMs, endedAtMs}, this.now);
    this.candidates.setSpeed(
      upstream,
      this.estimator.speedFactor(upstream),
      this.estimator.getUpstreamSamples(upstream),
    );
  }
}

/** Trains the estimator, so that all speeds are known when measuring. */
function trainEstimator(benchmark: DecisionBenchmark): void {
  for (let step = 0; step < benchmark.upstreamCount * 4; step++) {
    const index = step % benchmark.upstreamCount;
    const upstream = `upstream-${index}`;
    const kind = KINDS[randomIndex(benchmark.rng, KINDS.length)] ?? '';
    const runMs = 100 * (0.5 + (index % 7) / 4);
    const run = {team: 'team-0', kind, upstream, runMs, endedAtMs: 0};
    benchmark.estimator.observe(run, 0);
    benchmark.candidates.setSpeed(
      upstream,
      benchmark.estimator.speedFactor(upstream),
      benchmark.estimator.getUpstreamSamples(upstream),
    );
  }
}

/** Measures decisions with the given numbers of upstreams and teams. */
export function measureDecisionCost(
  upstreamCount: number,
  teams: number,
): DecisionCost {
  const benchmark = new DecisionBenchmark(upstreamCount, teams);
  trainEstimator(benchmark);
  const warmUp = Math.max(WARM_UP, 2 * benchmark.maxRunning);
  for (let step = 0; step < warmUp; step++) benchmark.decide();
  benchmark.started = 0;
  benchmark.waited = 0;
  const start = performance.now();
  for (let step = 0; step < DECISIONS; step++) benchmark.decide();
  const elapsedMs = performance.now() - start;
  return {
    upstreams: upstreamCount,
    teams,
    microseconds: (elapsedMs * 1_000) / DECISIONS,
    started: benchmark.started / DECISIONS,
    waited: benchmark.waited / DECISIONS,
  };
}
