/** What an evacuation of a data centre and its end change for an owner. */
import type {OutlierEjection} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {DispatchState} from '../jobs/dispatch_state.js';
import type {EvacuationRecord} from '../jobs/evacuations.js';
import type {Step} from '../jobs/job_types.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import {fitsOnlyEvacuated} from './evacuation_fit.js';
import type {JobTable} from './job_table.js';
import type {OpenJob, OpenTask} from './job_table_types.js';
import type {RunStarter} from './run_starter.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

export interface EvacuationEffectsOptions {
  readonly state: DispatchState;
  readonly jobTable: JobTable;
  readonly speed: UpstreamSpeed;
  readonly health: OutlierEjection;
  readonly starter: RunStarter;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called for a job whose caller waits and that fits nowhere else. */
  readonly onEvacuatedJob: (job: string) => void;
}

/**
 * Time in ms after a readmission during which upstreams that this owner adds
 * return gradually: an owner that is elected just then has not seen the
 * readmission, and restarted upstreams announce themselves within seconds.
 * Includes 10 s by which the times of day of the two leaders may differ.
 */
const RETURN_WINDOW_MS = 15_000;

/** Maximum number of upstreams known to have left evacuated data centres. */
const MAX_DEPARTED = 4_096;

/**
 * Stops unconfirmed starts in evacuated data centres, refuses the jobs that fit
 * only there, and limits the load of readmitted ones. The filter that keeps
 * starts away is `UpstreamSession.isEvacuated`.
 */
export class EvacuationEffects {
  /**
   * Upstreams that left an evacuated data centre, by id: they are expected
   * back, so a job that needs one is refused because of the evacuation.
   */
  private readonly departed = new Map<string, UpstreamRecord>();
  /** Jobs to review: ids, or all. */
  private pendingReview: Set<string> | 'all' = new Set();
  private reviewScheduled = false;
  private closed = false;

  constructor(private readonly options: EvacuationEffectsOptions) {
    options.state.onEvacuation = record => this.handleChange(record);
  }

  /** Ends the effects; the gauges would otherwise keep their last values. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.options.state.onEvacuation = () => undefined;
    for (const {dataCentre} of this.options.state.evacuations.records) {
      this.setGauges(dataCentre, 0, 0, 0);
    }
  }

  /** Whether a step fits on upstreams of evacuated data centres only. */
  fitsOnlyEvacuated(steps: readonly Step[], pool: string): boolean {
    if (!this.isActive) return false;
    const {sessions} = this.options.starter.pool(pool);
    const departed = [...this.departed.values()].filter(
      record => record.pool === pool,
    );
    return steps.some(step => fitsOnlyEvacuated(step, sessions, departed));
  }

  /** Applies the gradual return to an upstream that is added during it. */
  sessionAdded({key, record}: UpstreamSession): void {
    const {state, speed, health} = this.options;
    this.departed.delete(record.id);
    const {evacuated, revision, changedAt} = state.evacuations.get(
      record.dataCentre,
    );
    if (evacuated || revision === 0) return;
    if (Math.abs(Date.now() - changedAt) > RETURN_WINDOW_MS) return;
    speed.discard([key]);
    health.returnGradually(key, performance.now());
  }

  /** @param isReplaced Whether a newer incarnation has a session. */
  sessionRemoved(session: UpstreamSession, isReplaced: boolean): void {
    const {isEvacuated, record} = session;
    const isKept = isEvacuated && this.departed.size < MAX_DEPARTED;
    if (isKept && !isReplaced) this.departed.set(record.id, record);
    this.reviewAllJobs();
  }

  /** Reviews a job of which a task may have to start again. */
  reviewJob(id: string): void {
    if (!this.isActive) return;
    if (this.pendingReview !== 'all') this.pendingReview.add(id);
    this.scheduleReview();
  }

  /** Reviews all jobs, as upstreams may have been lost. */
  reviewAllJobs(): void {
    if (!this.isActive) return;
    this.pendingReview = 'all';
    this.scheduleReview();
  }

  /**
   * Sets the gauges, and reviews the jobs, as upstreams may have left. To be
   * called about once a second.
   */
  report(): void {
    this.reviewAllJobs();
    for (const record of this.options.state.evacuations.records) {
      const {dataCentre, evacuated} = record;
      const sessions = evacuated ? this.findSessions(dataCentre) : [];
      const runCount = countRuns(sessions);
      this.setGauges(dataCentre, Number(evacuated), sessions.length, runCount);
    }
  }

  private get isActive(): boolean {
    const {records} = this.options.state.evacuations;
    return records.some(({evacuated}) => evacuated);
  }

  private handleChange({dataCentre, evacuated}: EvacuationRecord): void {
    const sessions = this.findSessions(dataCentre);
    if (evacuated) this.evacuate(dataCentre, sessions);
    else this.readmit(dataCentre, sessions);
    this.options.starter.invalidate();
    this.report();
  }

  private evacuate(
    dataCentre: string,
    sessions: readonly UpstreamSession[],
  ): void {
    let stopped = 0;
    for (const session of sessions) {
      for (const run of session.runs.all) {
        if (run.phase !== 'starting' && run.phase !== 'uncertain') continue;
        stopped++;
        void session.stop(run);
      }
    }
    this.options.logger.info('evacuation-started', {
      dataCentre,
      upstreams: sessions.length,
      runs: countRuns(sessions),
      stopped,
    });
  }

  private readmit(
    dataCentre: string,
    sessions: readonly UpstreamSession[],
  ): void {
    const {logger, speed, health} = this.options;
    const now = performance.now();
    for (const record of this.departed.values()) {
      if (record.dataCentre === dataCentre) this.departed.delete(record.id);
    }
    speed.discard(sessions.map(({key}) => key));
    for (const {key} of sessions) health.returnGradually(key, now);
    logger.info('evacuation-ended', {
      dataCentre,
      upstreams: sessions.length,
      runs: countRuns(sessions),
    });
  }

  /** Jobs are closed in a later turn, not while their tasks are handled. */
  private scheduleReview(): void {
    if (this.reviewScheduled) return;
    this.reviewScheduled = true;
    setImmediate(() => {
      this.reviewScheduled = false;
      if (!this.closed) this.review();
    });
  }

  private review(): void {
    const {jobTable, onEvacuatedJob} = this.options;
    const pending = this.pendingReview;
    this.pendingReview = new Set();
    const jobs =
      pending === 'all'
        ? jobTable.openJobs
        : [...pending].flatMap(id => jobTable.job(id) ?? []);
    for (const job of jobs) {
      if (this.isUnservable(job)) onEvacuatedJob(job.admitted.id);
    }
  }

  private isUnservable(job: OpenJob): boolean {
    const {admitted, isNew, tasks} = job;
    if (admitted.durable) return false;
    // Its runs may go on: they are known once the recovery is complete.
    if (!isNew && !this.options.starter.isRecoveryComplete) return false;
    const unstarted = admitted.steps.filter((_, n) => tasks[n]?.some(needsRun));
    return this.fitsOnlyEvacuated(unstarted, admitted.pool);
  }

  private findSessions(dataCentre: string): readonly UpstreamSession[] {
    return this.options.starter.sessions.filter(
      ({record}) => record.dataCentre === dataCentre,
    );
  }

  private setGauges(
    dataCentre: string,
    active: number,
    upstreams: number,
    runs: number,
  ): void {
    const {metrics} = this.options;
    metrics.gauge('evacuations.active', active, {dataCentre});
    metrics.gauge('evacuations.upstreams', upstreams, {dataCentre});
    metrics.gauge('evacuations.runs', runs, {dataCentre});
  }
}

function needsRun({phase}: OpenTask): boolean {
  return phase !== 'active' && phase !== 'ended';
}

function countRuns(sessions: readonly UpstreamSession[]): number {
  return sessions.reduce((sum, {runs}) => sum + runs.size, 0);
}
