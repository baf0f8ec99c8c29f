/** Simulated entry instance with its queue, credits and running tasks. */
import {InvariantError, type Policy, type Resources} from '@mustardferry/model';
import {type RandomGenerator} from 'pure-rand';

import {IndexedHeap} from '../common/heap.js';
import {randomFraction} from '../common/random.js';
import {
  CandidateIndex,
  type CandidateUpstream,
} from '../routing/candidate_index.js';
import {ExpectedEndRouting} from '../routing/expected_end_routing.js';
import type {
  RoutingDecision,
  RoutingPolicy,
} from '../routing/routing_policy.js';
import {RunTimeEstimator} from '../routing/run_time_estimator.js';
import type {QueuedTask, SharingPolicy} from '../sharing/sharing_policy.js';
import {CreditLedger, type ReturnedCredits} from '../slots/credit_ledger.js';
import type {InstanceAllocation, InstanceDemand} from '../slots/slot_types.js';

/** A simulated run of a task. */
export interface SimulatedRun {
  readonly task: QueuedTask;
  readonly upstream: string;
  readonly startedAtMs: number;
  readonly endAtMs: number;
  heapIndex: number;
}

/** True run time of a task on an upstream, in milliseconds. */
export type GetRunMs = (task: QueuedTask, upstream: string) => number;

/** One simulated instance. */
export class SimulatedInstance {
  readonly ledger = new CreditLedger();
  private readonly estimator = new RunTimeEstimator();
  private readonly routing: RoutingPolicy;
  private readonly candidates = new CandidateIndex();
  private readonly runs = new IndexedHeap<SimulatedRun>(
    (a, b) => a.endAtMs < b.endAtMs,
  );
  /** Latest expected end of the started tasks, by job. */
  private readonly expectedJobEnds = new Map<string, number>();
  private readonly upstreamKeys: readonly string[];

  constructor(
    readonly name: string,
    readonly sharing: SharingPolicy,
    policy: Policy,
    workers: readonly CandidateUpstream[],
    private readonly getRunMs: GetRunMs,
    createRouting: (estimator: RunTimeEstimator) => RoutingPolicy = estimator =>
      new ExpectedEndRouting(estimator),
  ) {
    this.routing = createRouting(this.estimator);
    sharing.setPolicy(policy);
    this.upstreamKeys = workers.map(({key}) => key);
    for (const worker of workers) this.candidates.add(worker);
  }

  /** Ends and starts tasks; gives back freed credits and ended runs. */
  advanceTo(now: number): {
    readonly returned: readonly ReturnedCredits[];
    readonly ended: readonly SimulatedRun[];
  } {
    const returned: ReturnedCredits[] = [];
    const ended: SimulatedRun[] = [];
    for (let run = this.runs.peek(); run; run = this.runs.peek()) {
      if (run.endAtMs > now) break;
      this.runs.pop();
      ended.push(run);
      const credit = this.end(run, now);
      if (credit) returned.push(credit);
    }
    this.start(now);
    return {returned, ended};
  }

  applyAllocation(allocation: InstanceAllocation): readonly ReturnedCredits[] {
    const keep = allocation.keep ?? Infinity;
    const returned = this.ledger.applyLimit(keep, this.upstreamKeys);
    for (const {worker} of returned) this.syncCredits(worker);
    this.sharing.setEntitlements(allocation.entitlements);
    return returned;
  }

  granted(worker: string, credits: number): void {
    this.ledger.granted(worker, credits);
    this.syncCredits(worker);
  }

  setCapacity(perSlot: Resources): void {
    const {held} = this.ledger.totals;
    this.sharing.setCapacity({
      slots: held,
      processors: perSlot.processors * held,
      memoryMb: perSlot.memoryMb * held,
      accelerators: perSlot.accelerators * held,
    });
  }

  demand(): InstanceDemand {
    const teams = this.sharing.usage().map(({team, queued, running}) => ({
      team,
      demand: {
        slots: queued.slots + running.slots,
        processors: queued.processors + running.processors,
        memoryMb: queued.memoryMb + running.memoryMb,
        accelerators: queued.accelerators + running.accelerators,
      },
    }));
    return {instance: this.name, weight: 1, teams};
  }

  private end(run: SimulatedRun, now: number): ReturnedCredits | undefined {
    const {task, upstream} = run;
    this.candidates.ended(upstream, task.taskId);
    this.sharing.release(task.taskId, now);
    const runMs = run.endAtMs - run.startedAtMs;
    const {team, kind} = task;
    const endedAtMs = run.endAtMs;
    this.estimator.observe({team, kind, upstream, runMs, endedAtMs}, now);
    const factor = this.estimator.speedFactor(upstream);
    const samples = this.estimator.getUpstreamSamples(upstream);
    this.candidates.setSpeed(upstream, factor, samples);
    const returned = this.ledger.free(upstream);
    this.syncCredits(upstream);
    return returned;
  }

  private syncCredits(worker: string): void {
    this.candidates.setCredits(worker, this.ledger.getCredits(worker).held);
  }

  private start(now: number): void {
    while (this.candidates.freeCredits > 0) {
      const chosen: {start?: RoutedStart} = {};
      const next = this.sharing.next(now, task => {
        const routed = this.routeTask(task, now);
        if (routed.type === 'start') chosen.start = routed;
        return routed.type === 'start';
      });
      if (!next || !chosen.start) return;
      this.beginRun(next.task, chosen.start, now);
    }
  }

  private routeTask(task: QueuedTask, now: number): RoutingDecision {
    const jobEndsAtMs = this.expectedJobEnds.get(task.jobId) ?? 0;
    const waitingTasks = this.sharing.queuedTasks;
    return this.routing.chooseUpstream(
      {...task, jobEndsAtMs, waitingTasks},
      this.candidates,
      now,
    );
  }

  private beginRun(task: QueuedTask, start: RoutedStart, now: number): void {
    const {upstream, expectedRunMs} = start;
    if (!this.ledger.use(upstream)) {
      throw new InvariantError(`no free credit of ${upstream}`);
    }
    const expectedEndMs = now + expectedRunMs;
    const jobEndsAtMs = this.expectedJobEnds.get(task.jobId) ?? 0;
    this.candidates.started(upstream, task.taskId, task.resources);
    this.sharing.charge({...task, expectedRunMs}, now);
    this.expectedJobEnds.set(task.jobId, Math.max(jobEndsAtMs, expectedEndMs));
    const endAtMs = now + this.getRunMs(task, upstream);
    this.runs.push({task, upstream, startedAtMs: now, endAtMs, heapIndex: -1});
  }
}

type RoutedStart = Extract<RoutingDecision, {type: 'start'}>;

/** Draws a log-normal factor with median 1 (Box and Muller, 1958). */
export function drawLogNormal(rng: RandomGenerator, sigma: number): number {
  const u = 1 - randomFraction(rng);
  const v = randomFraction(rng);
  const z = Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
  return Math.exp(sigma * z);
}
