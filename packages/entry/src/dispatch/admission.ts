/** Decides whether a new job is admitted to the queues. */
import {
  checkRunnability,
  decideAdmission,
  type ReasonCode,
  type Runnability,
  type SharingPolicy,
} from '@mustardferry/decisions';
import type {TaskSpec} from '@mustardferry/model';

import {problem, type ProblemCode} from '../http/problems.js';
import type {
  AdmissionRequest,
  AdmissionVerdict,
} from '../jobs/task_scheduler.js';
import type {UpstreamPool} from '../upstreams/upstream_pool.js';

/** Options of {@link Admission}. */
export interface AdmissionOptions {
  readonly sharing: SharingPolicy;
  readonly pool: UpstreamPool;
  readonly maxQueuedTasks: number;
  /** Grace period for an upstream that has not announced itself yet. */
  readonly unknownUpstreamWaitMs: number;
  /** Called with the team of each refused job. */
  readonly onRefused: (team: string) => void;
}

const RECHECK_PERIOD_MS = 50;

/** Error codes of reasons why a task can't run. */
const REFUSAL_CODES: Partial<Record<ReasonCode, ProblemCode>> = {
  'kind-not-offered': 'no-upstream-for-kind',
  'quota-zero': 'quota-zero',
  'data-centre-evacuated': 'data-centre-evacuated',
};

/** Codes without `Retry-After`, since only an operator ends their cause. */
const UNTIMED_CODES: ReadonlySet<ProblemCode> = new Set([
  'quota-zero',
  'data-centre-evacuated',
]);

/** Checks quota, upstream capacity, queue limits and the expected wait. */
export class Admission {
  constructor(private readonly options: AdmissionOptions) {}

  /**
   * Admits or refuses a job. Waits only while a suitable upstream may still
   * announce itself.
   */
  async decideAdmission(req: AdmissionRequest): Promise<AdmissionVerdict> {
    const verdict = await this.decideWhenKnown(req);
    if (verdict.problem) this.options.onRefused(req.job.team.team);
    return verdict;
  }

  private async decideWhenKnown(
    req: AdmissionRequest,
  ): Promise<AdmissionVerdict> {
    for (;;) {
      const runnable = this.findWorstRunnability(req, Date.now());
      if (runnable.type === 'runnable') return this.limits(req, Date.now());
      if (runnable.type === 'never') return this.buildRefusal(req, runnable);
      await new Promise(resolve => setTimeout(resolve, RECHECK_PERIOD_MS));
    }
  }

  /**
   * The worst result over all tasks. Tasks that share a resources object are
   * checked once.
   */
  private findWorstRunnability(
    req: AdmissionRequest,
    now: number,
  ): Runnability {
    let worst: Runnability = {type: 'runnable', reason: 'capacity-available'};
    const seen = new Set<TaskSpec['resources']>();
    for (const {resources} of req.tasks) {
      if (seen.has(resources)) continue;
      seen.add(resources);
      const verdict = this.checkRunnability(req, resources, now);
      if (verdict.type === 'never') return verdict;
      if (verdict.type === 'wait') worst = verdict;
    }
    return worst;
  }

  private checkRunnability(
    req: AdmissionRequest,
    resources: TaskSpec['resources'],
    now: number,
  ): Runnability {
    const {pool, unknownUpstreamWaitMs} = this.options;
    const {team, kind} = req.job;
    const needed = resources ?? kind.resources;
    return checkRunnability(
      {
        team: team.team,
        kind: kind.kind,
        resources: needed,
        quota: team.quota,
        capacities: pool.getCapacities(kind.kind),
        evacuatedDataCentre: pool.findEvacuated(kind.kind, needed),
        sinceMs: pool.lastRemovalAtMs,
        unknownUpstreamWaitMs,
      },
      now,
    );
  }

  private buildRefusal(
    req: AdmissionRequest,
    never: Extract<Runnability, {type: 'never'}>,
  ): AdmissionVerdict {
    const {reason, detail, answer} = never;
    const code = REFUSAL_CODES[reason] ?? 'no-upstream-large-enough';
    const {jobId} = req;
    const retry = UNTIMED_CODES.has(code) ? {} : {retryAfterSeconds: 1};
    return {
      problem: problem(code, `${detail}.`, {jobId, ...retry}),
      reason,
      ...(answer === undefined ? {} : {answer}),
    };
  }

  private limits(req: AdmissionRequest, now: number): AdmissionVerdict {
    const {sharing, maxQueuedTasks} = this.options;
    const {team, kind} = req.job;
    const decision = decideAdmission({
      team: team.team,
      kind,
      tasks: req.tasks.length,
      queuedOfKind: sharing.getBacklog(team.team, kind.kind).tasks,
      queuedTasks: sharing.queuedTasks,
      maxQueuedTasks,
      expectedWaitMs: sharing.estimateWaitMs(team.team, kind.urgency, now),
    });
    if (decision.admitted) return {reason: decision.reason};
    const {reason, retryAfterSeconds, answer} = decision;
    const code: ProblemCode =
      reason === 'queue-full' ? 'queue-full' : 'target-not-reachable';
    const detail = `${kind.kind} of ${team.team}: ${reason}.`;
    return {
      problem: problem(code, detail, {jobId: req.jobId, retryAfterSeconds}),
      reason,
      ...(answer === undefined ? {} : {answer}),
    };
  }
}
