/** Follows the runs on all upstreams of an owner. */
import {OutlierEjection} from '@mustardferry/decisions';
import type {Logger, Metrics} from '@mustardferry/runtime';

import type {Command, CommandResult, CountedEnd} from '../jobs/commands.js';
import type {QueueConfig} from '../jobs/configuration.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import {type AdmittedJob, taskKey} from '../jobs/job_types.js';
import type {
  ActiveRun,
  RunEnd,
  StartRefusal,
} from '../upstreams/upstream_port.js';
import type {Arrival, BoardTask, Run} from './board_types.js';
import {FoundRuns} from './found_runs.js';
import {LingeringRuns} from './lingering_runs.js';
import {LostRuns} from './lost_runs.js';
import type {OwnerActivity} from './owner_activity.js';
import {PlacementPolicy} from './placement.js';
import {type NewJob, RunStarter} from './run_starter.js';
import type {Contact, SessionEvents} from './session_types.js';
import {Stragglers} from './stragglers.js';
import type {TaskBoard} from './task_board.js';
import {TaskOutcomes} from './task_outcomes.js';
import type {UpstreamSession} from './upstream_session.js';
import {UpstreamSpeed} from './upstream_speed.js';

/** Proposes a command to the group's log. */
export type Propose = (command: Command) => Promise<CommandResult>;

/** Options of the dispatcher. */
export interface DispatcherOptions {
  readonly board: TaskBoard;
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
  readonly onOtherLife: (
    session: UpstreamSession,
    startedAt: number | undefined,
  ) => void;
  /** First answer of an upstream under this owner's token. */
  readonly onFenced: (session: UpstreamSession) => void;
}

/** Consecutive failures that eject: a job fails after few attempts. */
const EJECT_AFTER_FAILURES = 2;

/** First probe of an ejected upstream in ms; troubles last seconds. */
const FIRST_PROBE_MS = 1_000;

/** Largest part of a pool that may be ejected at once. */
const MAX_EJECTED_FRACTION = 0.4;

/** Owns the sessions' events. */
export class Dispatcher implements SessionEvents {
  /** Jobs of which ends were seen before the job was known. */
  readonly earlyEndJobs = new Set<string>();
  /** Told of the end of a job that isn't replicated. */
  onTransientEnd: (job: string, state: 'completed' | 'failed') => void = () =>
    undefined;
  /** Told of a job that is worth nothing any more. */
  onHopeless: (job: string) => void = () => undefined;
  private readonly speed = new UpstreamSpeed();
  private readonly health = new OutlierEjection({
    consecutiveFailures: EJECT_AFTER_FAILURES,
    firstProbeMs: FIRST_PROBE_MS,
    maxEjectedFraction: MAX_EJECTED_FRACTION,
  });
  private readonly lingering = new LingeringRuns();
  private readonly found: FoundRuns;
  private readonly starter: RunStarter;
  private readonly outcomes: TaskOutcomes;
  private readonly stragglers: Stragglers;
  private readonly lost: LostRuns;

  constructor(private readonly options: DispatcherOptions) {
    const {speed, health, lingering} = this;
    this.found = new FoundRuns({
      ...options,
      lingering,
      isSettled: () => this.isSettled,
    });
    const placement = new PlacementPolicy(health, options.remoteFactor);
    const shared = {...options, placement, speed, health};
    this.starter = new RunStarter({
      ...shared,
      onHopeless: job => this.onHopeless(job),
    });
    this.outcomes = new TaskOutcomes({
      ...options,
      speed,
      health,
      lingering,
      onTransientEnd: (job, state) => this.onTransientEnd(job, state),
    });
    this.lost = new LostRuns({
      ...options,
      outcomes: this.outcomes,
      schedule: () => this.schedule(),
    });
    this.stragglers = new Stragglers({
      ...shared,
      pool: name => this.starter.pool(name),
      avoid: (task, session) => this.outcomes.avoid(task, session),
    });
  }

  /** Ends all sessions without orders; their runs are the next owner's. */
  close(): void {
    this.starter.close();
    for (const session of this.starter.sessions) session.close();
  }

  /** Allows all starts: nothing of an earlier owner can be running unseen. */
  settle(): void {
    this.starter.settle();
  }

  get isSettled(): boolean {
    return this.starter.isSettled;
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
    this.found.endedAll(session);
    for (const run of session.runs.all) {
      session.runs.remove(run);
      if (successor) this.lost.follow(run, successor);
      else this.runLost(run, cause);
    }
  }

  canServe(job: NewJob): boolean {
    return this.starter.canServe(job);
  }

  /** Adds a job and starts what it can. */
  place(job: AdmittedJob, queue: QueueConfig, arrival: Arrival): void {
    const {board, state} = this.options;
    const created = board.admit(job, queue, arrival, task =>
      this.lingering.get(task),
    );
    for (const {task, outcome} of state.endsBefore(job.id)) {
      const known = board.task(taskKey(task));
      if (known && outcome === 'done') board.taskDone(known);
    }
    this.found.adoptFor(created);
    this.schedule();
    if (!job.durable) this.outcomes.endTransient(created);
  }

  /** Removes a job that is not to go on, and stops its runs. */
  drop(job: string): void {
    this.outcomes.stopRuns(this.options.board.close(job));
    this.schedule();
  }

  /** Runs found whose jobs are not known. */
  get orphanCount(): number {
    return this.found.orphanCount;
  }

  /** Stops the runs whose jobs were not submitted again. */
  dropOrphans(): void {
    this.found.dropOrphans();
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
    if (contact === 'lost') this.found.endedAll(session);
    if (contact === 'live') this.starter.reached(session);
  }

  async ended(
    session: UpstreamSession,
    ends: readonly RunEnd[],
    earlier: Promise<boolean>,
  ): Promise<boolean> {
    const counted: CountedEnd[] = [];
    for (const end of ends) {
      const {task, run, outcome} = end;
      const key = taskKey(task);
      this.found.ended(key);
      const known = this.options.board.task(key);
      const transient =
        known?.job.admitted.durable === false ||
        this.lingering.find(key, session.key, run) !== undefined;
      if (!transient && (outcome === 'done' || outcome === 'failed')) {
        counted.push({task, run, outcome});
      }
      this.endedOne(session, end, known);
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
    this.stragglers.review(session, performance.now());
  }

  runFound(session: UpstreamSession, active: ActiveRun): void {
    this.found.found(session, active);
  }

  otherProcess(session: UpstreamSession, startedAt: number | undefined): void {
    this.options.onOtherLife(session, startedAt);
  }

  superseded(session: UpstreamSession): void {
    this.options.logger.warn('owner-superseded', {upstream: session.record.id});
    this.options.onSuperseded();
  }

  private endedOne(
    session: UpstreamSession,
    end: RunEnd,
    task: BoardTask | undefined,
  ): void {
    if (task) {
      this.outcomes.apply(session, end, task);
      return;
    }
    const {run, task: id} = end;
    const earlier = this.lingering.find(taskKey(id), session.key, run);
    if (earlier) this.outcomes.release(earlier);
    else if (!this.options.state.jobs.has(id.job))
      this.earlyEndJobs.add(id.job);
  }

  private async commitEnds(
    session: UpstreamSession,
    ends: readonly RunEnd[],
    counted: readonly CountedEnd[],
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
    this.outcomes.closeEnded(counted);
    return true;
  }
}
