/** Tasks that fail wherever they run, as opposed to upstreams that fail. */
import {LruMap} from '../common/lru_map.js';
import {FAULTY_TASK_UPSTREAMS} from '../retries/decide_retry.js';

/** Tasks remembered with failures. */
const MAX_TASKS = 10_000;

/** A failure that was counted against an upstream. */
export interface CountedFailure {
  readonly upstream: string;
  readonly weight: number;
}

/** Remembers on which upstreams each task failed. */
export class FaultyTasks {
  private readonly failures = new LruMap<Map<string, number>>(MAX_TASKS);

  /**
   * Notes a failure of the given weight. Returns the failures to take back when
   * the task just became faulty, `'faulty'` when it already was, otherwise
   * undefined.
   */
  failed(
    taskId: string,
    upstream: string,
    weight: number,
  ): readonly CountedFailure[] | 'faulty' | undefined {
    const counted = this.failures.ensure(taskId, () => new Map());
    if (counted.size >= FAULTY_TASK_UPSTREAMS) return 'faulty';
    const before = counted.get(upstream) ?? 0;
    counted.set(upstream, before + weight);
    if (counted.size < FAULTY_TASK_UPSTREAMS) return undefined;
    // The failure that shows the task to be faulty is not counted at all.
    return [...counted]
      .filter(([key]) => key !== upstream)
      .map(([key, sum]) => ({upstream: key, weight: sum}));
  }

  isFaulty(taskId: string): boolean {
    return (this.failures.get(taskId)?.size ?? 0) >= FAULTY_TASK_UPSTREAMS;
  }

  forget(taskId: string): void {
    this.failures.delete(taskId);
  }
}
