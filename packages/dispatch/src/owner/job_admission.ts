/** Adds admitted jobs to the job table, with the runs that they already have. */
import type {JobRecord} from '../jobs/commands.js';
import type {QueueConfig} from '../jobs/configuration.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import {type AdmittedJob, getTaskKey} from '../jobs/job_types.js';
import type {DiscardedRuns} from './discarded_runs.js';
import type {JobTable} from './job_table.js';
import type {Arrival, OpenJob} from './job_table_types.js';
import type {OrphanedRuns} from './orphaned_runs.js';

export interface JobAdmissionOptions {
  readonly jobTable: JobTable;
  readonly state: DispatchState;
  readonly discardedRuns: DiscardedRuns;
  readonly orphanedRuns: OrphanedRuns;
  readonly isRecoveryComplete: () => boolean;
}

/**
 * Upstreams may list runs and ends of a job before this owner admits it: they
 * belong to an earlier submission or an earlier owner. They are matched with
 * the tasks before any of these becomes ready.
 */
export class JobAdmission {
  constructor(private readonly options: JobAdmissionOptions) {}

  /** Adds a job whose admission may not be committed yet. */
  add(job: AdmittedJob, queue: QueueConfig, arrival: Arrival): OpenJob {
    const {jobTable, state, discardedRuns, orphanedRuns} = this.options;
    const created = jobTable.admit(job, queue, arrival, task =>
      discardedRuns.get(task),
    );
    for (const {task, outcome} of state.getEarlyEnds(job.id)) {
      const known = jobTable.task(getTaskKey(task));
      if (known && outcome === 'done') jobTable.completeTask(known);
    }
    orphanedRuns.adoptOrphansOf(created);
    return created;
  }

  /** Adds a job with run ends that were committed before its admission. */
  addRecorded(record: JobRecord, queue: QueueConfig, term: number): void {
    const {jobTable, orphanedRuns, isRecoveryComplete} = this.options;
    const job = jobTable.recover(record, queue, performance.now(), term);
    orphanedRuns.adoptOrphansOf(job);
    if (isRecoveryComplete()) jobTable.completeRecovery([job]);
  }
}
