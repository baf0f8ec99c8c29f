/** Starts tasks on upstreams and follows their runs. */
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
import type {BoardJob, BoardTask, Run} from './board_types.js';
import {PlacementPolicy} from './placement.js';
import type {OfferResult} from './ready_queue.js';
import type {TaskBoard} from './task_board.js';
import type {
  Contact,
  SessionEvents,
  UpstreamSession,
} from './upstream_session.js';
import {UpstreamSpeed} from './upstream_speed.js';

/** Proposes a command to the group's log. */
export type Propose = (command: Command) => Promise<CommandResult>;

/** Options of the dispatcher. */
export interface DispatcherOptions {
  readonly board: TaskBoard;
  readonly state: DispatchState;
  readonly propose: Propose;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Time factor of tasks whose data is in another rack. */
  readonly remoteFactor: number;
  readonly mayOrder: () => boolean;
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

/** Pause in ms before an upstream that refused for room is offered more. */
const FULL_PAUSE_MS = 30;

/** Upstreams that a task remembers to avoid. */
const MAX_AVOIDED = 4;

/** Step of the run number after a refusal as too old. */
const RUN_NUMBER_STEP = 16;

/** Consecutive failures that eject: a job fails after few attempts. */
const EJECT_AFTER_FAILURES = 2;

/** First probe of an ejected upstream in ms; troubles last seconds. */
const FIRST_PROBE_MS = 1_000;

/** Owns the sessions' events and the choice of what starts where. */
export class Dispatcher implements SessionEvents {
  readonly speed = new UpstreamSpeed();
  readonly health = new OutlierEjection({
    consecutiveFailures: EJECT_AFTER_FAILURES,
    firstProbeMs: FIRST_PROBE_MS,
    maxEjectedFraction: 0.4,
  });
  /** Jobs of which ends were seen before the job was known. */
  readonly earlyEndJobs = new Set<string>();
  /** Runs found whose job isn't known, by task. */
  readonly orphans = new Map<
    string,
    {readonly session: UpstreamSession; readonly active: ActiveRun}
  >();
  /** Told of the end of a job that isn't replicated. */
  onTransientEnd: (job: string, state: 'completed' | 'failed') => void = () =>
    undefined;
  private readonly pools = new Map<string, UpstreamSession[]>();
  private readonly placement = new PlacementPolicy(this.speed, this.health);
  private scheduled = false;
  private enabled = false;

  constructor(private readonly options: DispatcherOptions) {}

  /** Ends all sessions without orders; their runs are the next owner's. */
  close(): void {
    this.enabled = false;
    for (const session of [...this.pools.values()].flat()) session.close();
    this.pools.clear();
  }

  /** Allows starts, once nothing of an earlier owner can be running unseen. */
  enable(): void {
    this.enabled = true;
    this.schedule();
  }

  get isEnabled(): boolean {
    return this.enabled;
  }

  addSession(session: UpstreamSession): void {
    const {pool} = session.record;
    this.pools.set(pool, [...(this.pools.get(pool) ?? []), session]);
    this.health.add(session.key);
  }

  /** Removes a session; `gone` tells that nothing runs there any more. */
  removeSession(session: UpstreamSession, cause: string): void {
    const {pool} = session.record;
    const others = (this.pools.get(pool) ?? []).filter(s => s !== session);
    this.pools.set(pool, others);
    this.health.remove(session.key);
    this.speed.forget(session.key);
    for (const run of [...session.runs.values()]) this.runLost(run, cause);
    session.close();
  }

  /** Starts what fits, after the current turn. */
  schedule(): void {
    if (this.scheduled || !this.enabled) return;
    this.scheduled = true;
    queueMicrotask(() => {
      this.scheduled = false;
      if (this.enabled && this.options.mayOrder()) this.startReady();
    });
  }

  /** Orders the end of runs whose job is closed. */
  stopRuns(runs: readonly Run[]): void {
    for (const run of runs) void run.session.stop(run);
  }

  fenced(session: UpstreamSession): void {
    this.options.onFenced(session);
  }

  contactChanged(session: UpstreamSession, from: Contact, cause: string): void {
    const {contact, record, runs} = session;
    const fields = {
      upstream: record.id,
      from,
      to: contact,
      cause,
      runs: runs.size,
    };
    if (contact === 'live')
      this.options.logger.info('upstream-contact', fields);
    else this.options.logger.warn('upstream-contact', fields);
    this.options.metrics.increment('upstream.contact_changes', 1, {
      to: contact,
    });
    if (contact === 'live') this.schedule();
  }

  async ended(
    session: UpstreamSession,
    ends: readonly RunEnd[],
  ): Promise<boolean> {
    const counted: CountedEnd[] = [];
    for (const end of ends) {
      const {task, run, outcome} = end;
      this.orphans.delete(taskKey(task));
      const transient = this.isTransient(task.job);
      if (!transient && (outcome === 'done' || outcome === 'failed')) {
        counted.push({task, run, outcome});
      }
      this.endedOne(session, end);
    }
    this.schedule();
    if (counted.length === 0) return true;
    const upTo = Math.max(...ends.map(end => end.sequence));
    const {id, startedAt} = session.record;
    const life = {id, startedAt};
    const at = Date.now();
    const {propose} = this.options;
    try {
      await propose({type: 'ends', at, life, upTo, ends: counted});
    } catch {
      // Logged by the proposer; the ends stay listed for the next owner.
      return false;
    }
    this.closeEnded(counted);
    return true;
  }

  runLost(run: Run, cause: string): void {
    const {task, session, number} = run;
    this.options.logger.warn('run-lost', {
      job: task.id.job,
      task: task.key,
      run: number,
      upstream: session.record.id,
      cause,
    });
    this.options.metrics.increment('runs.lost');
    if (task.run !== run) return;
    this.avoid(task, session);
    this.options.board.requeue(task);
    this.schedule();
  }

  startRefused(run: Run, reason: StartRefusal | 'not-sent'): void {
    const {task, session, number} = run;
    this.options.logger.info('start-refused', {
      job: task.id.job,
      task: task.key,
      run: number,
      upstream: session.record.id,
      reason,
    });
    this.options.metrics.increment('starts.refused', 1, {reason});
    if (reason === 'older-run') task.lastRun += RUN_NUMBER_STEP;
    if (reason === 'no-room')
      session.fullUntil = performance.now() + FULL_PAUSE_MS;
    if (reason === 'unhealthy' || reason === 'not-sent')
      this.avoid(task, session);
    if (task.run === run) this.options.board.requeue(task);
    setTimeout(() => this.schedule(), reason === 'no-room' ? FULL_PAUSE_MS : 1);
  }

  started(): void {
    // The job counts as started since the order was given.
  }

  foundRun(session: UpstreamSession, active: ActiveRun): void {
    const task = this.options.board.task(taskKey(active.task));
    if (task?.phase === 'unknown' || (task && this.isOwnOrphan(task))) {
      this.adopt(task, session, active);
      return;
    }
    const known = task || this.options.state.jobs.has(active.task.job);
    if (known || this.enabled) {
      this.options.logger.warn('stray-run-stopped', {
        job: active.task.job,
        run: active.run,
        upstream: session.record.id,
      });
      void session.forbid(active);
      return;
    }
    this.orphans.set(taskKey(active.task), {session, active});
  }

  progressed(): void {
    // The ends and runs of the answer were handled one by one.
  }

  otherLife(session: UpstreamSession, startedAt: number | undefined): void {
    this.options.onOtherLife(session, startedAt);
  }

  superseded(session: UpstreamSession): void {
    this.options.logger.warn('owner-superseded', {upstream: session.record.id});
    this.options.onSuperseded();
  }

  /** Adds a job and starts what it can. */
  place(job: AdmittedJob, queue: QueueConfig): void {
    const {board, state} = this.options;
    const created = board.admit(job, queue, performance.now());
    for (const {task, outcome} of state.endsBefore(job.id)) {
      const known = board.task(taskKey(task));
      if (known && outcome === 'done') board.taskDone(known);
    }
    for (const task of created.tasks.flat()) {
      const orphan = this.orphans.get(task.key);
      if (!orphan || task.phase !== 'ready') continue;
      this.orphans.delete(task.key);
      this.adopt(task, orphan.session, orphan.active);
    }
    this.schedule();
    if (!job.durable) this.endTransient(created);
  }

  /** Takes over a run that an earlier owner started. */
  adopt(task: BoardTask, session: UpstreamSession, active: ActiveRun): void {
    const now = performance.now();
    const run: Run = {
      task,
      number: active.run,
      session,
      startedAt: now,
      phase: 'running',
      confirmedAt: now,
      stopAckedAt: Infinity,
      percent: active.percent,
    };
    task.lastRun = Math.max(task.lastRun, active.run);
    task.run = run;
    task.phase = 'active';
    task.job.started = true;
    session.adopt(run);
    this.options.logger.info('run-adopted', {
      job: task.id.job,
      task: task.key,
      run: active.run,
      upstream: session.record.id,
    });
  }

  private isOwnOrphan(task: BoardTask): boolean {
    return this.orphans.has(task.key) && task.phase !== 'active';
  }

  private startReady(): void {
    const now = performance.now();
    for (const [pool, queue] of this.options.board.readyQueues) {
      if (queue.size === 0) continue;
      const sessions = (this.pools.get(pool) ?? []).filter(s => s.accepts);
      queue.offerAll(now, task => this.offer(task, sessions, now));
    }
  }

  private offer(
    task: BoardTask,
    sessions: readonly UpstreamSession[],
    now: number,
  ): OfferResult {
    const {remoteFactor} = this.options;
    const input = {sessions, now, remoteFactor};
    const found = this.placement.choose(task, input);
    if (!found) {
      if (task.avoid.length > 0 && sessions.length <= MAX_AVOIDED)
        task.avoid = [];
      return sessions.length === 0 ? 'full' : 'passed-over';
    }
    const {session, expectedMs, marginMs} = found;
    const run: Run = {
      task,
      number: task.lastRun + 1,
      session,
      startedAt: now,
      phase: 'starting',
      confirmedAt: Infinity,
      stopAckedAt: Infinity,
      percent: 0,
    };
    task.lastRun = run.number;
    task.run = run;
    task.phase = 'active';
    task.job.started = true;
    this.options.logger.info('task-start', {
      job: task.id.job,
      task: task.key,
      run: run.number,
      upstream: session.record.id,
      waitedMs: Math.round(now - task.job.since),
      expectedMs: Math.round(expectedMs),
      marginMs: Math.round(marginMs),
    });
    this.options.metrics.increment('starts');
    this.health.probeStarted(session.key);
    void session.start(run);
    return 'placed';
  }

  private endedOne(session: UpstreamSession, end: RunEnd): void {
    const key = taskKey(end.task);
    const task = this.options.board.task(key);
    if (!task) {
      const isKnown = this.options.state.jobs.has(end.task.job);
      if (!isKnown) this.earlyEndJobs.add(end.task.job);
      return;
    }
    const run =
      task.run?.session === session && task.run.number === end.run
        ? task.run
        : null;
    const runMs = run ? performance.now() - run.startedAt : 0;
    if (end.outcome !== 'done') {
      this.options.logger.info('run-ended', {
        job: end.task.job,
        task: key,
        run: end.run,
        upstream: session.record.id,
        outcome: end.outcome,
        runMs: Math.round(runMs),
      });
    }
    this.options.metrics.increment('runs.ended', 1, {outcome: end.outcome});
    this.learn(session, end, task, runMs);
    if (end.outcome === 'done') this.done(task, run);
    else if (end.outcome === 'failed') this.failed(task, run, session);
    else if (run) this.options.board.requeue(task);
    if (!task.job.admitted.durable) this.endTransient(task.job);
  }

  /** Closes a job that isn't replicated once no task is left to run. */
  private endTransient(job: BoardJob): void {
    if (job.closed) return;
    const {maxAttempts} = job.admitted;
    const tasks = job.tasks.flat();
    const failed = tasks.some(({failures}) => failures >= maxAttempts);
    if (!failed && job.remaining.some(count => count > 0)) return;
    const state = failed ? 'failed' : 'completed';
    this.reportEnd(job, state);
    this.stopRuns(this.options.board.close(job.admitted.id));
    this.onTransientEnd(job.admitted.id, state);
  }

  private isTransient(job: string): boolean {
    return this.options.board.job(job)?.admitted.durable === false;
  }

  private reportEnd(job: BoardJob, outcome: string): void {
    const tookMs = performance.now() - job.since;
    this.options.logger.info('job-ended', {
      job: job.admitted.id,
      queue: job.queue.name,
      outcome,
      tookMs: Math.round(tookMs),
      objectiveMs: Math.round(job.objectiveMs),
    });
    this.options.metrics.timing('jobs.took', tookMs, {outcome});
  }

  private learn(
    session: UpstreamSession,
    {outcome}: RunEnd,
    task: BoardTask,
    runMs: number,
  ): void {
    if (runMs <= 0 || (outcome !== 'done' && outcome !== 'failed')) return;
    const expectedMs = task.step.declaredMs * this.speed.factor(session.key);
    const ok = outcome === 'done';
    const {step} = task;
    const near =
      step.dataRack === '' || session.record.labels.includes(step.dataRack);
    const declaredMs = step.declaredMs * (near ? 1 : this.options.remoteFactor);
    if (ok) this.speed.observe(session.key, runMs, declaredMs);
    const result = {
      upstream: session.key,
      taskId: task.key,
      ok,
      runMs,
      expectedMs,
    };
    for (const change of this.health.record(result, performance.now())) {
      this.options.logger.warn('upstream-health', {
        upstream: session.record.id,
        state: change.state,
        reason: change.reason,
      });
    }
  }

  private done(task: BoardTask, run: Run | null): void {
    const other = task.run;
    if (other && other !== run) void other.session.stop(other);
    this.options.board.taskDone(task);
  }

  private failed(
    task: BoardTask,
    run: Run | null,
    session: UpstreamSession,
  ): void {
    task.failures++;
    this.avoid(task, session);
    if (!run) return;
    if (task.failures < task.job.admitted.maxAttempts) {
      this.options.board.requeue(task);
    } else {
      task.run = null;
      task.phase = 'ended';
    }
  }

  /** Closes the jobs that the committed ends have completed or failed. */
  private closeEnded(counted: readonly CountedEnd[]): void {
    for (const job of new Set(counted.map(end => end.task.job))) {
      const record = this.options.state.jobs.get(job);
      if (!record || record.outcome === 'open') continue;
      const open = this.options.board.job(job);
      if (!open) continue;
      this.reportEnd(open, record.outcome);
      this.stopRuns(this.options.board.close(job));
    }
  }

  private avoid(task: BoardTask, session: UpstreamSession): void {
    if (task.avoid.includes(session.key)) return;
    task.avoid = [...task.avoid, session.key].slice(-MAX_AVOIDED);
  }
}
