/** Batches the start records of tasks that must not be repeated. */
import type {StartItem, StartResult} from '@mustardferry/coordination';

import type {JobOwnership} from '../jobs/task_scheduler.js';

interface PendingStart {
  readonly item: StartItem;
  readonly resolve: (result: StartResult | undefined) => void;
}

/**
 * Collects the starts of one turn of the event loop into one proposal for
 * each owner, so that a job's tasks share one sync.
 */
export class StartRecorder {
  private readonly pending = new Map<JobOwnership, PendingStart[]>();

  /**
   * Records a start. Undefined when it is not known whether it was recorded;
   * nothing may be sent then.
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
      // The owner lost its term; the next one resolves what was recorded.
    }
    batch.forEach(({resolve}, position) => resolve(results[position]));
  }
}
