/**
 * Tasks of one life of a stand-in worker: slots, resources, leases, attempts,
 * owner epochs and speeds, as section 4.3 of docs/design.md requires.
 */
import {
  addResources,
  fitsInto,
  NO_RESOURCES,
  type OwnerEpoch,
  type Resources,
  type StartRefusal,
  type StartTaskRequest,
  subtractResources,
  type TaskReply,
  type TaskState,
} from '@mustardferry/model';

import type {StartEvent, TaskEnd, WorkerRecord} from './worker_record.js';

/** What a task table needs to know about its worker. */
export interface TaskTableOptions {
  readonly worker: string;
  readonly incarnation: number;
  readonly capacity: Resources;
  readonly kinds: readonly string[];
  /** Speed 1 runs a payload's `runMs` in exactly that time. */
  readonly speed: number;
  /** Whether an earlier life may have run tasks that this one can't know. */
  readonly restarted: boolean;
}

/** Payload that stand-in workers understand. */
export interface StandInPayload {
  /** Run time in milliseconds on a worker of speed 1. */
  readonly runMs: number;
  readonly value: string;
}

/** A failing worker ends each task this soon. */
const FAIL_AFTER_MS = 2;

interface RunningTask {
  readonly req: StartTaskRequest;
  readonly event: StartEvent;
  readonly finish: (state: TaskState) => void;
  remainingMs: number;
  throttle: number;
  resumedAt: number;
  endTimer: NodeJS.Timeout | undefined;
  leaseTimer: NodeJS.Timeout | undefined;
}

function attemptKey(taskId: string, attempt: number): string {
  return `${taskId}@${attempt}`;
}

function isOlder(epoch: OwnerEpoch, seen: OwnerEpoch): boolean {
  if (epoch.generation !== seen.generation) {
    return epoch.generation < seen.generation;
  }
  return epoch.term < seen.term;
}

function payloadOf(req: StartTaskRequest): StandInPayload {
  const payload = (req.payload ?? {}) as Partial<StandInPayload>;
  return {runMs: payload.runMs ?? 0, value: payload.value ?? ''};
}

/** Runs tasks by timers and remembers every attempt that it saw. */
export class TaskTable {
  private readonly running = new Map<string, RunningTask>();
  private readonly ended = new Map<string, TaskState>();
  private readonly epochs = new Map<string, OwnerEpoch>();
  private used: Resources = NO_RESOURCES;
  private speed: number;
  private failing = false;
  leaving = false;

  constructor(
    private readonly options: TaskTableOptions,
    private readonly record: WorkerRecord,
  ) {
    this.speed = options.speed;
  }

  get usage(): {readonly used: Resources; readonly runningTasks: number} {
    return {used: this.used, runningTasks: this.running.size};
  }

  /** Starts a task; resolves when it ends, at once when it is refused. */
  async start(req: StartTaskRequest): Promise<TaskReply> {
    const refusal = this.refusalOf(req);
    const {taskId, attempt} = req;
    const {value} = payloadOf(req);
    const {worker, incarnation} = this.options;
    if (refusal !== undefined) {
      const atMs = Date.now();
      this.record.refusals.push({
        worker,
        taskId,
        attempt,
        refusal,
        value,
        atMs,
      });
      return {taskId, attempt, incarnation, state: 'refused', refusal};
    }
    this.epochs.set(req.owner.group, req.owner);
    const state = await this.run(req);
    return this.reply(taskId, attempt, state);
  }

  /** Renews leases; returns the ids that no longer run. */
  renew(
    leaseMs: number,
    tasks: readonly {readonly taskId: string; readonly attempt: number}[],
  ): string[] {
    const notRunning: string[] = [];
    for (const {taskId, attempt} of tasks) {
      const task = this.running.get(attemptKey(taskId, attempt));
      if (task === undefined) notRunning.push(taskId);
      else this.setLease(task, leaseMs);
    }
    return notRunning;
  }

  /** State of an attempt; an attempt never seen is sealed by the question. */
  query(taskId: string, attempt: number): TaskReply {
    const key = attemptKey(taskId, attempt);
    this.record.queries += 1;
    if (this.running.has(key)) {
      this.record.queriesWhileRunning += 1;
      return this.reply(taskId, attempt, {state: 'running'});
    }
    return this.reply(taskId, attempt, this.endedOrSealed(key));
  }

  /** Stops a running attempt, or seals one that was never seen. */
  stop(taskId: string, attempt: number): TaskReply {
    const key = attemptKey(taskId, attempt);
    this.record.stops += 1;
    const task = this.running.get(key);
    if (task !== undefined) this.end(task, 'stopped', {state: 'stopped'});
    return this.reply(taskId, attempt, this.endedOrSealed(key));
  }

  /** Sets the part of its normal speed that a task runs at. */
  throttle(taskId: string, attempt: number, speed: number): boolean {
    const task = this.running.get(attemptKey(taskId, attempt));
    if (task === undefined) return false;
    this.settleProgress(task);
    task.throttle = speed;
    this.schedule(task);
    return true;
  }

  /** Whether an attempt runs and could be checkpointed. */
  checkpoint(taskId: string, attempt: number): boolean {
    return this.running.has(attemptKey(taskId, attempt));
  }

  /** Divides the normal speed by `factor`, running tasks included. */
  straggle(factor: number): void {
    for (const task of this.running.values()) this.settleProgress(task);
    this.speed = this.options.speed / factor;
    for (const task of this.running.values()) this.schedule(task);
  }

  /** Makes every task that starts from now on fail soon after its start. */
  setFailing(failing: boolean): void {
    this.failing = failing;
  }

  /** Ends everything without replies, as the death of a process does. */
  vanish(): void {
    for (const task of [...this.running.values()]) {
      this.end(task, 'vanished', {state: 'unknown'});
    }
  }

  private refusalOf(req: StartTaskRequest): StartRefusal | undefined {
    const key = attemptKey(req.taskId, req.attempt);
    const seen = this.epochs.get(req.owner.group);
    if (req.incarnation !== this.options.incarnation) {
      return 'wrong-incarnation';
    }
    if (seen !== undefined && isOlder(req.owner, seen)) return 'old-epoch';
    const before = this.ended.get(key);
    if (before?.state === 'never-started' || before?.state === 'unknown') {
      return 'sealed';
    }
    if (before !== undefined || this.running.has(key)) return 'duplicate';
    if (this.leaving) return 'leaving';
    if (!this.options.kinds.includes(req.kind)) return 'unknown-kind';
    if (!fitsInto(req.resources, this.options.capacity)) return 'too-large';
    const free = subtractResources(this.options.capacity, this.used);
    return fitsInto(req.resources, free) ? undefined : 'no-slot';
  }

  private run(req: StartTaskRequest): Promise<TaskState> {
    const {runMs, value} = payloadOf(req);
    const event: StartEvent = {
      worker: this.options.worker,
      incarnation: this.options.incarnation,
      taskId: req.taskId,
      attempt: req.attempt,
      owner: req.owner,
      instance: req.instance,
      kind: req.kind,
      value,
      startMs: Date.now(),
    };
    this.record.starts.push(event);
    this.used = addResources(this.used, req.resources);
    return new Promise(finish => {
      const task: RunningTask = {
        req,
        event,
        finish,
        remainingMs: runMs,
        throttle: 1,
        resumedAt: performance.now(),
        endTimer: undefined,
        leaseTimer: undefined,
      };
      this.running.set(attemptKey(req.taskId, req.attempt), task);
      this.setLease(task, req.leaseMs);
      this.schedule(task);
    });
  }

  private schedule(task: RunningTask): void {
    clearTimeout(task.endTimer);
    task.resumedAt = performance.now();
    const leftMs = task.remainingMs / (this.speed * task.throttle);
    task.endTimer = this.failing
      ? setTimeout(() => this.fail(task), FAIL_AFTER_MS)
      : setTimeout(() => this.complete(task), leftMs);
  }

  private settleProgress(task: RunningTask): void {
    const elapsedMs = performance.now() - task.resumedAt;
    const doneMs = elapsedMs * this.speed * task.throttle;
    task.remainingMs = Math.max(0, task.remainingMs - doneMs);
  }

  private complete(task: RunningTask): void {
    const {value} = payloadOf(task.req);
    const runMs = Date.now() - task.event.startMs;
    this.end(task, 'done', {
      state: 'done',
      value: {value, worker: this.options.worker},
      runMs,
    });
  }

  private fail(task: RunningTask): void {
    this.end(task, 'error', {state: 'error', message: 'stand-in fails'});
  }

  private setLease(task: RunningTask, leaseMs: number): void {
    clearTimeout(task.leaseTimer);
    task.leaseTimer = setTimeout(
      () => this.end(task, 'lapsed', {state: 'stopped'}),
      leaseMs,
    );
  }

  private end(task: RunningTask, end: TaskEnd, state: TaskState): void {
    const key = attemptKey(task.req.taskId, task.req.attempt);
    clearTimeout(task.endTimer);
    clearTimeout(task.leaseTimer);
    this.running.delete(key);
    this.ended.set(key, state);
    this.used = subtractResources(this.used, task.req.resources);
    task.event.end = end;
    task.event.endMs = Date.now();
    task.finish(state);
  }

  private endedOrSealed(key: string): TaskState {
    const known = this.ended.get(key);
    if (known !== undefined) return known;
    const state: TaskState = {
      state: this.options.restarted ? 'unknown' : 'never-started',
    };
    this.ended.set(key, state);
    return state;
  }

  private reply(taskId: string, attempt: number, state: TaskState): TaskReply {
    return {taskId, attempt, incarnation: this.options.incarnation, ...state};
  }
}
