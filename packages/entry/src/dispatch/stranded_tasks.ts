/** Finds queued tasks that only upstreams of evacuated data centres can run. */
import type {UpstreamPool} from '../upstreams/upstream_pool.js';
import type {TaskEntry} from './task_entry.js';

/**
 * Checks queued tasks once after they were queued and after each change of the
 * evacuations. A job whose submitter waits is refused; others stay queued until
 * the data centre is readmitted.
 */
export class StrandedTasks {
  private readonly unchecked = new Set<TaskEntry>();

  constructor(private readonly pool: UpstreamPool) {}

  /** Adds a task to the next check. */
  add(entry: TaskEntry): void {
    if (this.pool.hasEvacuations) this.unchecked.add(entry);
  }

  /**
   * Checks the tasks added since the last check. Runs after the turn in which
   * they were queued, because a submitter starts to wait at the end of it.
   */
  check(now: number): void {
    const entries = [...this.unchecked];
    this.unchecked.clear();
    for (const entry of entries) this.checkEntry(entry, now);
  }

  private checkEntry(entry: TaskEntry, now: number): void {
    const {task, queued, phase} = entry;
    const {job, owner} = task;
    if (phase !== 'queued' || job.settled || !owner.active) return;
    const {taskId, kind, resources} = queued;
    const dataCentre = this.pool.findEvacuated(kind, resources);
    if (dataCentre === undefined) return;
    const isRefused = job.isAwaitedBySubmitter(now);
    const detail = `data centre ${dataCentre} is evacuated`;
    const reason = 'data-centre-evacuated';
    const step = isRefused ? 'refused' : 'waited';
    job.explain({atMs: now, taskId, step, reason, detail});
    if (isRefused) owner.failJob(job, {code: reason, detail: `${detail}.`});
  }
}
