/** Detects tasks that fail on any upstream, for which none is ejected. */
import {LruMap} from '../common/lru_map.js';
import {FAULTY_TASK_UPSTREAMS} from '../retries/decide_retry.js';

/** Most tasks whose failures are remembered. */
const MAX_TASKS = 10_000;

/** Weight of a task's failures that were counted against an upstream. */
export interface CountedFailure {
  readonly upstream: string;
  readonly weight: number;
}

/** Remembers on which upstreams each task failed. */
export class FaultyTaskDetector {
  private readonly failures = new LruMap<Map<string, number>>(MAX_TASKS);

  /**
   * Records a failure of the given weight. Returns the counted failures to
   * revert when the task just became faulty, `'faulty'` when it already was,
   * and otherwise undefined.
   */
  failed(
    taskId: string,
    upstream: string,
    weight: number,
  ): readonly CountedFailure[] | 'faulty' | undefined {
    const weightByUpstream = this.failures.getOrCreate(taskId, () => new Map());
    if (weightByUpstream.size >= FAULTY_TASK_UPSTREAMS) return 'faulty';
    const before = weightByUpstream.get(upstream) ?? 0;
    weightByUpstream.set(upstream, before + weight);
    if (weightByUpstream.size < FAULTY_TASK_UPSTREAMS) return undefined;
    // The failure that reveals the faulty task is itself not counted.
    return [...weightByUpstream]
      .filter(([key]) => key !== upstream)
      .map(([key, sum]) => ({upstream: key, weight: sum}));
  }

  isFaulty(taskId: string): boolean {
    return (this.failures.get(taskId)?.size ?? 0) >= FAULTY_TASK_UPSTREAMS;
  }

  forgetTask(taskId: string): void {
    this.failures.delete(taskId);
  }
}
