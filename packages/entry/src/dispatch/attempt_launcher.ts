/** Runs attempts on upstreams and renews their leases meanwhile. */
import type {
  OwnerEpoch,
  StartTaskRequest,
  UpstreamId,
} from '@mustardferry/model';
import {must} from '@mustardferry/model';
import type {Metrics} from '@mustardferry/runtime';

import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {LeaseRenewer} from './lease_renewer.js';
import {TaskAttempt} from './task_attempt.js';
import type {RunningAttempt, TaskEntry} from './task_entry.js';

/** Options of {@link AttemptLauncher}. */
export interface AttemptLauncherOptions {
  readonly instance: string;
  readonly leaseMs: number;
  readonly pool: UpstreamPool;
  readonly renewer: LeaseRenewer;
  readonly metrics: Metrics;
}

/** A repeatable task is soon retried elsewhere when its upstream is unreachable. */
const REPEATABLE_RESOLVE_TIMEOUT_MS = 1_000;
/** Other tasks must not run again, so their upstream gets time to recover. */
const UNREPEATABLE_RESOLVE_TIMEOUT_MS = 20_000;

/** Creates the {@link TaskAttempt} of each attempt and runs it over its link. */
export class AttemptLauncher {
  constructor(private readonly options: AttemptLauncherOptions) {}

  /** Starts an attempt on the upstream that it was routed to. */
  launchAttempt(
    entry: TaskEntry,
    attempt: RunningAttempt,
  ): Promise<AttemptOutcome> {
    const {pool, metrics} = this.options;
    const announcement = must(
      pool.announcement(attempt.upstream),
      'routed to an upstream that is not in the pool',
    );
    metrics.increment('tasks.started', 1, {team: entry.queued.team});
    return this.runWithLease(entry, attempt, announcement, run => run.run());
  }

  /** Determines the outcome of an attempt that an earlier owner recorded. */
  resumeAttempt(
    entry: TaskEntry,
    attempt: RunningAttempt,
    upstream: UpstreamId,
  ): Promise<AttemptOutcome> {
    return this.runWithLease(entry, attempt, upstream, run => {
      // The lease may be about to expire: the earlier owner's last renewal can be
      // almost a lease duration old.
      this.options.renewer.renewAttempt(entry.queued.taskId, attempt.attempt);
      return run.resumeAttempt();
    });
  }

  private async runWithLease(
    entry: TaskEntry,
    attempt: RunningAttempt,
    upstream: UpstreamId,
    begin: (run: TaskAttempt) => Promise<AttemptOutcome>,
  ): Promise<AttemptOutcome> {
    const {pool, renewer, leaseMs, metrics} = this.options;
    const link = pool.getLink(upstream);
    const req = this.buildRequest(entry, attempt.attempt, upstream, leaseMs);
    const run = new TaskAttempt({
      link,
      req,
      resolveTimeoutMs: entry.task.job.kind.repeatable
        ? REPEATABLE_RESOLVE_TIMEOUT_MS
        : UNREPEATABLE_RESOLVE_TIMEOUT_MS,
      onProbe: needed => this.countProbe(needed),
      onSilentConnection: () => {
        metrics.increment('upstreams.silent_connections');
        link.replaceStartConnections();
        renewer.renewLeasesOnLink(link);
      },
    });
    attempt.run = run;
    const {taskId} = req;
    // The start time may come from an earlier owner whose clock is ahead.
    const startedAtMs = Math.min(attempt.startedAtMs, Date.now());
    const leased = {taskId, attempt: attempt.attempt, startedAtMs, link, run};
    attempt.stopLeaseRenewal = () => renewer.remove(leased);
    renewer.add(leased);
    try {
      return await begin(run);
    } finally {
      renewer.remove(leased);
    }
  }

  private buildRequest(
    entry: TaskEntry,
    attempt: number,
    upstream: UpstreamId,
    leaseMs: number,
  ): StartTaskRequest {
    const {job, owner, index} = entry.task;
    const spec = must(job.record.tasks[index], 'task index out of range');
    const epoch: OwnerEpoch = owner.epoch;
    return {
      taskId: entry.queued.taskId,
      attempt,
      incarnation: upstream.incarnation,
      owner: epoch,
      instance: this.options.instance,
      team: entry.queued.team,
      kind: entry.queued.kind,
      resources: entry.queued.resources,
      leaseMs,
      payload: spec.payload,
    };
  }

  private countProbe(needed: boolean): void {
    const cause = needed ? 'probe' : 'unneeded-probe';
    this.options.metrics.increment('messages.wasted', needed ? 0 : 1, {cause});
  }
}
