/** Process that holds all stand-in workers of a run. */
import {serveParent} from '../cluster/role_process.js';
import {Fleet} from './fleet.js';
import type {StandInWorkerOptions, WorkerFault} from './stand_in_worker.js';

const fleet = new Fleet();

serveParent({
  start: (options: readonly StandInWorkerOptions[]) => fleet.start(options),
  inject: ({worker, fault}: {worker: string; fault: WorkerFault}) =>
    fleet.inject(worker, fault),
  announced: () => fleet.announced(),
  records: () => fleet.records(),
});
