/** Indexes the tasks of the dispatcher by id and by job. */
import type {QueuedTask} from '@mustardferry/decisions';
import {must} from '@mustardferry/model';

import type {ScheduledTask} from '../jobs/task_scheduler.js';
import type {TaskEntry} from './task_entry.js';

function toQueuedTask({job, index}: ScheduledTask, now: number): QueuedTask {
  const {record, kind} = job;
  const spec = must(record.tasks[index], 'task index out of range');
  return {
    taskId: `${job.jobId}/${index}`,
    jobId: job.jobId,
    team: record.team,
    kind: record.kind,
    urgency: kind.urgency,
    resources: spec.resources ?? kind.resources,
    expectedRunMs: spec.expectedRunMs ?? kind.expectedRunMs,
    targetAtMs: record.admittedAtMs + kind.targetMs,
    enqueuedAtMs: now,
  };
}

/** Open tasks by id and by job. */
export class TaskTable {
  private readonly entries = new Map<string, TaskEntry>();
  private readonly byJob = new Map<string, Set<TaskEntry>>();

  get size(): number {
    return this.entries.size;
  }

  /** Number of tasks whose job was not released, cancelled or answered. */
  get activeCount(): number {
    let count = 0;
    for (const {phase} of this.entries.values()) {
      if (phase !== 'ended') count += 1;
    }
    return count;
  }

  getEntry(taskId: string): TaskEntry | undefined {
    return this.entries.get(taskId);
  }

  listEntries(): Iterable<TaskEntry> {
    return this.entries.values();
  }

  listJobEntries(jobId: string): readonly TaskEntry[] {
    return [...(this.byJob.get(jobId) ?? [])];
  }

  add(task: ScheduledTask, now: number): TaskEntry {
    const entry: TaskEntry = {
      task,
      queued: toQueuedTask(task, now),
      excludedUpstreams: new Set(),
      running: new Map(),
      nextAttempt: task.nextAttempt,
      sentCount: 0,
      failedOn: new Set(),
      phase: 'queued',
    };
    this.entries.set(entry.queued.taskId, entry);
    const siblings = this.byJob.get(entry.queued.jobId);
    if (siblings) siblings.add(entry);
    else this.byJob.set(entry.queued.jobId, new Set([entry]));
    return entry;
  }

  /** Removes a task. Returns true when it was the last one of its job. */
  remove(entry: TaskEntry): boolean {
    const {taskId, jobId} = entry.queued;
    // When a job returns to this instance, its task ids are in use again.
    if (this.entries.get(taskId) === entry) this.entries.delete(taskId);
    const siblings = this.byJob.get(jobId);
    if (!siblings?.delete(entry) || siblings.size > 0) return false;
    this.byJob.delete(jobId);
    return true;
  }
}
