/** Tasks that fail wherever they run, as opposed to upstreams that fail. */
import {LruMap} from '../common/lru_map.js';
import {FAULTY_TASK_UPSTREAMS} from '../retries/decide_retry.js';

/** Tasks remembered with failures. */
const MAX_TASKS = 10_000;

/** Remembers on which upstreams each task failed. */
export class FaultyTasks {
  private readonly failures = new LruMap<Set<string>>(MAX_TASKS);

  /**
   * Notes a failure. Returns the upstreams to clear of blame when the task
   * just became faulty, `'faulty'` when it already was, otherwise undefined.
   */
  failed(
    taskId: string,
    upstream: string,
  ): readonly string[] | 'faulty' | undefined {
    const upstreams = this.failures.ensure(taskId, () => new Set());
    if (upstreams.size >= FAULTY_TASK_UPSTREAMS) return 'faulty';
    upstreams.add(upstream);
    return upstreams.size === FAULTY_TASK_UPSTREAMS
      ? [...upstreams].filter(key => key !== upstream)
      : undefined;
  }

  isFaulty(taskId: string): boolean {
    return (this.failures.get(taskId)?.size ?? 0) >= FAULTY_TASK_UPSTREAMS;
  }

  forget(taskId: string): void {
    this.failures.delete(taskId);
  }
}
