/** Decides whether a job may enter the queues. */
import type {SharingPolicy} from '@mustardferry/decisions';
import {
  fitsInto,
  type Problem,
  RESOURCE_NAMES,
  type Resources,
} from '@mustardferry/model';

import {problem} from '../http/problems.js';
import type {AdmissionRequest} from '../jobs/task_scheduler.js';
import type {UpstreamPool} from '../upstreams/upstream_pool.js';

/** Options of admission. */
export interface AdmissionOptions {
  readonly sharing: SharingPolicy;
  readonly pool: UpstreamPool;
  readonly maxQueuedTasks: number;
}

/** Checks queue bounds, quotas and whether any upstream fits. */
export class Admission {
  constructor(private readonly options: AdmissionOptions) {}

  /** A problem with outcome `not-run`, or undefined when the job may enter. */
  decide(req: AdmissionRequest, now: number): Problem | undefined {
    return this.neverRunnable(req) ?? this.queueFull(req, now);
  }

  private neverRunnable(req: AdmissionRequest): Problem | undefined {
    const {team, kind} = req.job;
    const {jobId} = req;
    for (const task of req.tasks) {
      const need = task.resources ?? kind.resources;
      if (!fitsInto(need, team.quota)) {
        return problem(
          'quota-zero',
          `Task ${task.id} needs more than the quota of ${team.team}.`,
          {jobId},
        );
      }
      if (!this.someFits(kind.kind, need)) {
        return problem(
          'no-upstream-large-enough',
          `No upstream for ${kind.kind} offers ${describe(need)}.`,
          {jobId, retryAfterSeconds: 1},
        );
      }
    }
    return undefined;
  }

  private someFits(kind: string, need: Resources): boolean {
    for (const upstream of this.options.pool.all()) {
      if (!upstream.kinds.includes(kind)) continue;
      if (fitsInto(need, upstream.capacity)) return true;
    }
    return false;
  }

  private queueFull(req: AdmissionRequest, _now: number): Problem | undefined {
    const {sharing, maxQueuedTasks} = this.options;
    const {team, kind} = req.job;
    const {tasks} = sharing.backlogOf(team.team, kind.kind);
    const full =
      tasks + req.tasks.length > kind.queueLimit ||
      sharing.queuedTasks + req.tasks.length > maxQueuedTasks;
    if (!full) return undefined;
    return problem('queue-full', `${tasks} tasks of ${kind.kind} wait.`, {
      jobId: req.jobId,
      retryAfterSeconds: 1,
    });
  }
}

function describe(need: Resources): string {
  return RESOURCE_NAMES.map(name => `${need[name]} ${name}`).join(', ');
}
