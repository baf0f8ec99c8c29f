/** Handles the events of all upstream sessions of an owner. */
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {JobRecord} from '../jobs/commands.js';
import type {QueueConfig} from '../jobs/configuration.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import type {AdmittedJob, JobRequest} from '../jobs/job_types.js';
import type {
  ActiveRun,
  RunEnd,
  StartRefusal,
} from '../upstreams/upstream_port.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import {DiscardedRuns} from './discarded_runs.js';
import {EvacuationEffects} from './evacuation_effects.js';
import {JobAdmission} from './job_admission.js';
import type {JobTable} from './job_table.js';
import type {Arrival, Run} from './job_table_types.js';
import {LostRuns} from './lost_runs.js';
import {OrphanedRuns} from './orphaned_runs.js';
import type {OwnerActivity} from './owner_activity.js';
import {PlacementPolicy} from './placement.js';
import type {Propose} from './proposer.js';
import {ReturnForecast} from './return_forecast.js';
import {RunEnds} from './run_ends.js';
import {type NewJob, RunStarter} from './run_starter.js';
import type {Contact, SessionEvents} from './session_types.js';
import {Stragglers} from './stragglers.js';
import {TaskOutcomes} from './task_outcomes.js';
import {createUpstreamEjection} from './upstream_ejection.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

export interface DispatcherOptions {
  readonly jobTable: JobTable;
  readonly activity: OwnerActivity;
  readonly speed: UpstreamSpeed;
  readonly state: DispatchState;
  readonly propose: Propose;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Factor by which a run takes longer when its data is in another rack. */
  readonly remoteFactor: number;
  readonly maySendOrders: () => boolean;
  /** Called when an upstream reports a newer owner by its fencing token. */
  readonly onSuperseded: () => void;
  /** Called when another incarnation answers at an address. */
  readonly onOtherIncarnation: (
    session: UpstreamSession,
    startedAt: number | undefined,
  ) => void;
  /** Called on the first answer under this owner's fencing token. */
  readonly onFenced: (session: UpstreamSession) => void;
}

/** Passes the events of sessions to the classes that handle them. */
export class Dispatcher implements SessionEvents {
  readonly returnForecast: ReturnForecast;
  /** Called when a job that isn't replicated has ended. */
  onTransientJobEnd: (job: string, state: 'completed' | 'failed') => void =
    () => undefined;
  /** Called when the result of a job would come too late to be useful. */
  onUselessJob: (job: string) => void = () => undefined;
  /** Called for a job whose caller waits and that fits nowhere else. */
  onEvacuatedJob: (job: string) => void = () => undefined;
  readonly evacuations: EvacuationEffects;
  private readonly health = createUpstreamEjection();
  private readonly discardedRuns = new DiscardedRuns();
  private readonly orphanedRuns: OrphanedRuns;
  private readonly admission: JobAdmission;
  private readonly starter: RunStarter;
  private readonly outcomes: TaskOutcomes;
  private readonly stragglers: Stragglers;
  private readonly lost: LostRuns;
  private readonly runEnds: RunEnds;

  constructor(private readonly options: DispatcherOptions) {
    const {health, discardedRuns} = this;
    const isRecoveryComplete = () => this.isRecoveryComplete;
    const recovery = {...options, discardedRuns, isRecoveryComplete};
    const orphanedRuns = new OrphanedRuns(recovery);
    this.orphanedRuns = orphanedRuns;
    this.admission = new JobAdmission({...recovery, orphanedRuns});
    const placement = new PlacementPolicy(health, options.remoteFactor);
    const shared = {...options, placement, health, discardedRuns};
    this.starter = new RunStarter({
      ...shared,
      onUselessJob: job => this.onUselessJob(job),
    });
    const {starter} = this;
    this.returnForecast = new ReturnForecast({...options, starter});
    this.evacuations = new EvacuationEffects({
      ...shared,
      starter,
      onEvacuatedJob: job => this.onEvacuatedJob(job),
    });
    this.outcomes = new TaskOutcomes({
      ...shared,
      onTransientJobEnd: (job, state) => this.onTransientJobEnd(job, state),
    });
    const {outcomes} = this;
    this.lost = new LostRuns({
      ...options,
      outcomes,
      schedule: () => this.schedule(),
    });
    this.runEnds = new RunEnds({...shared, outcomes, orphanedRuns});
    this.stragglers = new Stragglers({
      ...shared,
      pool: name => this.starter.pool(name),
      avoidUpstream: (task, session) => outcomes.avoidUpstream(task, session),
    });
  }

  /** Ids of unknown jobs of which upstreams have listed ends. */
  get earlyEndJobs(): Set<string> {
    return this.runEnds.earlyEndJobs;
  }

  /** Closes all sessions; the next owner adopts their runs. */
  close(): void {
    this.starter.close();
    this.evacuations.close();
    for (const session of this.starter.sessions) session.close();
  }

  /** Allows all starts: no run of earlier owners can go undetected now. */
  completeRecovery(): void {
    this.starter.completeRecovery();
    this.evacuations.reviewAllJobs();
  }

  get isRecoveryComplete(): boolean {
    return this.starter.isRecoveryComplete;
  }

  /** Starts ready tasks that fit, after this turn of the event loop. */
  schedule(): void {
    this.starter.schedule();
  }

  addSession(session: UpstreamSession): void {
    this.starter.add(session);
    this.health.add(session.key);
    this.evacuations.sessionAdded(session);
  }

  /** Applies a changed announcement, which may name another pool. */
  updateSession(session: UpstreamSession, record: UpstreamRecord): void {
    this.starter.remove(session);
    session.updateRecord(record);
    this.starter.add(session);
    this.schedule();
  }

  /**
   * Removes the session of an ended incarnation, and its runs. With a successor
   * the runs are verified there, as it may have received their start orders.
   */
  removeSession(
    session: UpstreamSession,
    cause: string,
    successor?: UpstreamSession,
  ): void {
    this.starter.remove(session);
    this.health.remove(session.key);
    this.options.speed.forget(session.key);
    session.close();
    this.orphanedRuns.removeSession(session);
    for (const run of session.runs.all) {
      session.runs.remove(run);
      if (successor) this.lost.verifyOnSuccessor(run, successor);
      else this.runLost(run, cause);
    }
    this.evacuations.sessionRemoved(session, successor !== undefined);
  }

  /**
   * Whether a new job would have to start tasks in evacuated data centres. If
   * it may already run there under an earlier owner, that is found out first.
   */
  fitsOnlyEvacuated(
    {id, steps}: JobRequest,
    pool: string,
    isNew: boolean,
  ): boolean {
    if (!this.evacuations.fitsOnlyEvacuated(steps, pool)) return false;
    const mayRun = !isNew && !this.isRecoveryComplete;
    return !mayRun && !this.orphanedRuns.hasRunsOf(id);
  }

  canServe(job: NewJob): boolean {
    return this.starter.canServe(job);
  }

  /** Adds a job and starts those of its tasks that fit. */
  addJob(job: AdmittedJob, queue: QueueConfig, arrival: Arrival): void {
    const created = this.admission.add(job, queue, arrival);
    this.evacuations.reviewJob(job.id);
    this.schedule();
    if (!job.durable) this.outcomes.endTransientJob(created);
  }

  /** Adds a job with run ends that were committed before its admission. */
  addRecordedJob(record: JobRecord, queue: QueueConfig, term: number): void {
    this.admission.addRecorded(record, queue, term);
    this.evacuations.reviewJob(record.job.id);
    this.schedule();
  }

  /** Removes a cancelled or abandoned job and stops its runs. */
  dropJob(job: string): void {
    this.outcomes.stopRuns(this.options.jobTable.closeJob(job));
    this.schedule();
  }

  /** Whether an upstream lists runs or ends of a job that is not open here. */
  isListed(job: string): boolean {
    return this.earlyEndJobs.has(job) || this.orphanedRuns.hasRunsOf(job);
  }

  /** Whether a run is in progress on an upstream, of this owner or another. */
  hasRuns(session: UpstreamSession): boolean {
    return session.runs.size > 0 || this.orphanedRuns.hasRunsOn(session);
  }

  /** Number of orphaned runs. */
  get orphanCount(): number {
    return this.orphanedRuns.orphanCount;
  }

  /** Stops the orphaned runs whose jobs were not submitted again. */
  stopOrphans(): void {
    this.orphanedRuns.stopOrphans();
  }

  fenced(session: UpstreamSession): void {
    this.options.onFenced(session);
  }

  contactChanged(session: UpstreamSession, from: Contact, cause: string): void {
    const {contactState: to, record, runs} = session;
    const {logger, metrics} = this.options;
    const fields = {upstream: record.id, runs: runs.size, from, to, cause};
    if (to === 'live') logger.info('upstream-reached', fields);
    else logger.warn('upstream-not-reached', fields);
    metrics.increment('upstream.contact_changes', 1, {to});
    if (to === 'lost') {
      this.orphanedRuns.removeSession(session);
      this.evacuations.reviewAllJobs();
    }
    if (to === 'live') this.starter.resumeStarts(session);
  }

  async ended(
    session: UpstreamSession,
    ends: readonly RunEnd[],
    earlier: Promise<boolean>,
  ): Promise<boolean> {
    const counted = this.runEnds.apply(session, ends);
    for (const {task, outcome} of ends) {
      if (outcome !== 'done') this.evacuations.reviewJob(task.job);
    }
    this.schedule();
    if (!(await earlier)) return false;
    return counted.length === 0 || this.runEnds.commit(session, ends, counted);
  }

  runLost(run: Run, cause: string): void {
    this.lost.lost(run, cause);
    this.evacuations.reviewJob(run.task.id.job);
  }

  startRefused(run: Run, reason: StartRefusal | 'not-sent'): void {
    this.lost.refused(run, reason);
    this.evacuations.reviewJob(run.task.id.job);
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
}
