/** All stand-in workers of a run, in one process. */
import {must} from '@mustardferry/model';

import {
  StandInWorker,
  type StandInWorkerOptions,
  type WorkerFault,
} from './stand_in_worker.js';
import {WorkerRecord, type WorkerRecords} from './worker_record.js';

/** Workers by name with their common record. */
export class Fleet {
  private readonly workers = new Map<string, StandInWorker>();
  private readonly record = new WorkerRecord();

  /** Starts workers; returns their addresses by name. */
  async start(
    options: readonly StandInWorkerOptions[],
  ): Promise<Record<string, string>> {
    const addresses: Record<string, string> = {};
    for (const each of options) {
      const worker = new StandInWorker(each, this.record);
      this.workers.set(each.worker, worker);
      await worker.start();
      addresses[each.worker] = worker.address;
    }
    return addresses;
  }

  /** Makes one worker show a fault. */
  async inject(name: string, fault: WorkerFault): Promise<void> {
    await must(this.workers.get(name), `no worker ${name}`).inject(fault);
  }

  /** Number of workers whose announcement an instance accepted. */
  announced(): number {
    return [...this.workers.values()].filter(w => w.acceptedRenewals > 0)
      .length;
  }

  records(): WorkerRecords {
    return this.record.snapshot();
  }

  async close(): Promise<void> {
    await Promise.all([...this.workers.values()].map(w => w.close()));
  }
}
