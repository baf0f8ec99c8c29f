/** Follows the runs on all upstreams of an owner. */
import {OutlierEjection} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {Command, CommandResult, CountedRunEnd} from '../jobs/commands.js';
import type {QueueConfig} from '../jobs/configuration.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import {type AdmittedJob, getTaskKey} from '../jobs/job_types.js';
import type {
  ActiveRun,
  RunEnd,
  StartRefusal,
} from '../upstreams/upstream_port.js';
import {DiscardedRuns} from './discarded_runs.js';
import type {JobTable} from './job_table.js';
import type {Arrival, OpenTask, Run} from './job_table_types.js';
import {LostRuns} from './lost_runs.js';
import {OrphanedRuns} from './orphaned_runs.js';
import type {OwnerActivity} from './owner_activity.js';
import {PlacementPolicy} from './placement.js';
import {type NewJob, RunStarter} from './run_starter.js';
import type {Contact, SessionEvents} from './session_types.js';
import {Stragglers} from './stragglers.js';
import {TaskOutcomes} from './task_outcomes.js';
import type {UpstreamSession} from './upstream_session.js';
import {UpstreamSpeed} from './upstream_speed.js';

/** Proposes a command to the group's log. */
export type Propose = (command: Command) => Promise<CommandResult>;

export interface DispatcherOptions {
  readonly jobTable: JobTable;
  readonly activity: OwnerActivity;
  readonly state: DispatchState;
  readonly propose: Propose;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Time factor of tasks whose data is in another rack. */
  readonly remoteFactor: number;
  readonly maySendOrders: () => boolean;
  /** A higher token is in force somewhere: this owner's time is over. */
  readonly onSuperseded: () => void;
  /** A newer life answered for an upstream. */
  readonly onOtherIncarnation: (
    session: UpstreamSession,
    startedAt: number | undefined,
  ) => void;
  /** First answer of an upstream under this owner's token. */
  readonly onFenced: (session: UpstreamSession) => void;
}

/** Consecutive failures that eject: a job fails after few attempts. */
const EJECTION_FAILURE_COUNT = 2;

/** First probe of an ejected upstream in ms; troubles last seconds. */
const FIRST_PROBE_MS = 1_000;

/** Largest part of a pool that may be ejected at once. */
const MAX_EJECTED_FRACTION = 0.4;

/** Owns the sessions' events. */
export class Dispatcher implements SessionEvents {
  /** Jobs of which ends were seen before the job was known. */
  readonly earlyEndJobs = new Set<string>();
  /** Told of the end of a job that isn't replicated. */
  onTransientJobEnd: (job: string, state: 'completed' | 'failed') => void =
    () => undefined;
  /** Told of a job that is worth nothing any more. */
  onJobTooLate: (job: string) => void = () => undefined;
  private readonly speed = new UpstreamSpeed();
  private readonly health = new OutlierEjection({
    consecutiveFailures: EJECTION_FAILURE_COUNT,
    firstProbeMs: FIRST_PROBE_MS,
    maxEjectedFraction: MAX_EJECTED_FRACTION,
  });
  private readonly discardedRuns = new DiscardedRuns();
  private readonly orphanedRuns: OrphanedRuns;
  private readonly starter: RunStarter;
  private readonly outcomes: TaskOutcomes;
  private readonly stragglers: Stragglers;
  private readonly lost: LostRuns;

  constructor(private readonly options: DispatcherOptions) {
    const {speed, health, discardedRuns} = this;
    this.orphanedRuns = new OrphanedRuns({
      ...options,
      discardedRuns,
      isRecoveryComplete: () => this.isRecoveryComplete,
    });
    const placement = new PlacementPolicy(health, options.remoteFactor);
    const shared = {...options, placement, speed, health};
    this.starter = new RunStarter({
      ...shared,
      onJobTooLate: job => this.onJobTooLate(job),
    });
    this.outcomes = new TaskOutcomes({
      ...options,
      speed,
      health,
      discardedRuns,
      onTransientJobEnd: (job, state) => this.onTransientJobEnd(job, state),
    });
    this.lost = new LostRuns({
      ...options,
      outcomes: this.outcomes,
      schedule: () => this.schedule(),
    });
    this.stragglers = new Stragglers({
      ...shared,
      pool: name => this.starter.pool(name),
      avoidUpstream: (task, session) =>
        this.outcomes.avoidUpstream(task, session),
    });
  }

  /** Ends all sessions without orders; their runs are the next owner's. */
  close(): void {
    this.starter.close();
    for (const session of this.starter.sessions) session.close();
  }

  /** Allows all starts: nothing of an earlier owner can be running unseen. */
  completeRecovery(): void {
    this.starter.completeRecovery();
  }

  get isRecoveryComplete(): boolean {
    return this.starter.isRecoveryComplete;
  }

  /** Starts what fits, after the current turn. */
  schedule(): void {
    this.starter.schedule();
  }

  addSession(session: UpstreamSession): void {
    this.starter.add(session);
    this.health.add(session.key);
  }

  /**
   * Removes the session of a life that has ended, and with it its runs. Starts
   * that were on their way may reach the next life under the same id.
   */
  removeSession(
    session: UpstreamSession,
    cause: string,
    successor?: UpstreamSession,
  ): void {
    this.starter.remove(session);
    this.health.remove(session.key);
    this.speed.forget(session.key);
    session.close();
    this.orphanedRuns.removeSession(session);
    for (const run of session.runs.all) {
      session.runs.remove(run);
      if (successor) this.lost.verifyOnSuccessor(run, successor);
      else this.runLost(run, cause);
    }
  }

  canServe(job: NewJob): boolean {
    return this.starter.canServe(job);
  }

  /** Adds a job and starts what it can. */
  addJob(job: AdmittedJob, queue: QueueConfig, arrival: Arrival): void {
    const {jobTable, state} = this.options;
    const created = jobTable.admit(job, queue, arrival, task =>
      this.discardedRuns.get(task),
    );
    for (const {task, outcome} of state.getEarlyEnds(job.id)) {
      const known = jobTable.task(getTaskKey(task));
      if (known && outcome === 'done') jobTable.completeTask(known);
    }
    this.orphanedRuns.adoptOrphansOf(created);
    this.schedule();
    if (!job.durable) this.outcomes.endTransientJob(created);
  }

  /** Removes a job that is not to go on, and stops its runs. */
  dropJob(job: string): void {
    this.outcomes.stopRuns(this.options.jobTable.closeJob(job));
    this.schedule();
  }

  /** Runs found whose jobs are not known. */
  get orphanCount(): number {
    return this.orphanedRuns.orphanCount;
  }

  /** Stops the runs whose jobs were not submitted again. */
  stopOrphans(): void {
    this.orphanedRuns.stopOrphans();
  }

  fenced(session: UpstreamSession): void {
    this.options.onFenced(session);
  }

  contactChanged(session: UpstreamSession, from: Contact, cause: string): void {
    const {contactState: contact, record, runs} = session;
    const {logger, metrics} = this.options;
    const to = contact;
    const fields = {upstream: record.id, runs: runs.size, from, to, cause};
    if (contact === 'live') logger.info('upstream-reached', fields);
    else logger.warn('upstream-not-reached', fields);
    metrics.increment('upstream.contact_changes', 1, {to: contact});
    if (contact === 'lost') this.orphanedRuns.removeSession(session);
    if (contact === 'live') this.starter.resumeStarts(session);
  }

  async ended(
    session: UpstreamSession,
    ends: readonly RunEnd[],
    earlier: Promise<boolean>,
  ): Promise<boolean> {
    const counted: CountedRunEnd[] = [];
    for (const end of ends) {
      const {task, run, outcome} = end;
      const key = getTaskKey(task);
      this.orphanedRuns.ended(key);
      const known = this.options.jobTable.task(key);
      const transient =
        known?.job.admitted.durable === false ||
        this.discardedRuns.find(key, session.key, run) !== undefined;
      if (!transient && (outcome === 'done' || outcome === 'failed')) {
        counted.push({task, run, outcome});
      }
      this.applyEnd(session, end, known);
    }
    this.schedule();
    if (!(await earlier)) return false;
    return counted.length === 0 || this.commitEnds(session, ends, counted);
  }

  runLost(run: Run, cause: string): void {
    this.lost.lost(run, cause);
  }

  startRefused(run: Run, reason: StartRefusal | 'not-sent'): void {
    this.lost.refused(run, reason);
  }

  holdAnswered(session: UpstreamSession): void {
    this.stragglers.reviewRuns(session, performance.now());
  }

  runFound(session: UpstreamSession, active: ActiveRun): void {
    this.orphanedRuns.handleListedRun(session, active);
  }

  otherProcess(session: UpstreamSession, startedAt: number | undefined): void {
    this.options.onOtherIncarnation(session, startedAt);
  }

  superseded(session: UpstreamSession): void {
    this.options.logger.warn('owner-superseded', {upstream: session.record.id});
    this.options.onSuperseded();
  }

  private applyEnd(
    session: UpstreamSession,
    end: RunEnd,
    task: OpenTask | undefined,
  ): void {
    if (task) {
      this.outcomes.applyEnd(session, end, task);
      return;
    }
    const {run, task: id} = end;
    const earlier = this.discardedRuns.find(getTaskKey(id), session.key, run);
    if (earlier) this.outcomes.releaseHeldTask(earlier);
    else if (!this.options.state.jobs.has(id.job))
      this.earlyEndJobs.add(id.job);
  }

  private async commitEnds(
    session: UpstreamSession,
    ends: readonly RunEnd[],
    counted: readonly CountedRunEnd[],
  ): Promise<boolean> {
    const {id, startedAt} = session.record;
    const upTo = Math.max(...ends.map(end => end.sequence));
    try {
      await this.options.propose({
        type: 'ends',
        at: Date.now(),
        life: {id, startedAt},
        upTo,
        ends: counted,
      });
    } catch {
      // Logged by the proposer; the ends stay listed for the next owner.
      return false;
    }
    this.outcomes.closeEndedJobs(counted);
    return true;
  }
}
