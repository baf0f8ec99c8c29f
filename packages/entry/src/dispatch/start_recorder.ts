/** Batches the start records of tasks that must not be repeated. */
import type {StartItem, StartResult} from '@mustardferry/coordination';

import type {JobOwnership} from '../jobs/task_scheduler.js';

interface PendingStart {
  readonly item: StartItem;
  readonly resolve: (result: StartResult | undefined) => void;
}

/**
 * Combines the starts of one event loop turn into one proposal per owner, so
 * that the tasks of a job share one disk sync.
 */
export class StartRecorder {
  private readonly pending = new Map<JobOwnership, PendingStart[]>();

  /**
   * Records a start. Resolves with `undefined` when it is unknown whether the
   * start was recorded; the task must not be sent then.
   */
  record(
    owner: JobOwnership,
    item: StartItem,
  ): Promise<StartResult | undefined> {
    return new Promise(resolve => {
      const waiting = this.pending.get(owner);
      if (waiting !== undefined) {
        waiting.push({item, resolve});
        return;
      }
      this.pending.set(owner, [{item, resolve}]);
      setImmediate(() => void this.flushStarts(owner));
    });
  }

  private async flushStarts(owner: JobOwnership): Promise<void> {
    const batch = this.pending.get(owner) ?? [];
    this.pending.delete(owner);
    let results: readonly (StartResult | undefined)[] = [];
    try {
      results = await owner.recordStarts(batch.map(({item}) => item));
    } catch {
      // The owner lost its term. The next owner resolves what was recorded.
    }
    batch.forEach(({resolve}, position) => resolve(results[position]));
  }
}
