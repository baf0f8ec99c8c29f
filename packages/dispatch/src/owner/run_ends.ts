/** Applies and commits the run ends that upstreams list. */
import type {CountedRunEnd} from '../jobs/commands.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import {getTaskKey} from '../jobs/job_types.js';
import type {RunEnd} from '../upstreams/upstream_port.js';
import type {DiscardedRuns} from './discarded_runs.js';
import type {JobTable} from './job_table.js';
import type {OpenTask} from './job_table_types.js';
import type {OrphanedRuns} from './orphaned_runs.js';
import type {Propose} from './proposer.js';
import type {TaskOutcomes} from './task_outcomes.js';
import type {UpstreamSession} from './upstream_session.js';

export interface RunEndsOptions {
  readonly jobTable: JobTable;
  readonly state: DispatchState;
  readonly propose: Propose;
  readonly outcomes: TaskOutcomes;
  readonly orphanedRuns: OrphanedRuns;
  readonly discardedRuns: DiscardedRuns;
}

/** Routes each run end to the job table, and commits those of stored jobs. */
export class RunEnds {
  /** Ids of unknown jobs of which upstreams have listed ends. */
  readonly earlyEndJobs = new Set<string>();

  constructor(private readonly options: RunEndsOptions) {}

  /** Applies ends; returns those that have to be committed. */
  apply(
    session: UpstreamSession,
    ends: readonly RunEnd[],
  ): readonly CountedRunEnd[] {
    const {orphanedRuns, jobTable, discardedRuns} = this.options;
    const counted: CountedRunEnd[] = [];
    for (const end of ends) {
      const {task, run, outcome} = end;
      const key = getTaskKey(task);
      orphanedRuns.ended(session, end);
      const known = jobTable.task(key);
      const transient =
        known?.job.admitted.durable === false ||
        discardedRuns.find(key, session.key, run) !== undefined;
      if (!transient && (outcome === 'done' || outcome === 'failed')) {
        counted.push({task, run, outcome});
      }
      this.applyEnd(session, end, known);
    }
    return counted;
  }

  /** Commits ends; resolves with whether they were committed. */
  async commit(
    session: UpstreamSession,
    ends: readonly RunEnd[],
    counted: readonly CountedRunEnd[],
  ): Promise<boolean> {
    const {propose, outcomes} = this.options;
    const {id, startedAt} = session.record;
    try {
      await propose({
        type: 'ends',
        at: Date.now(),
        life: {id, startedAt},
        upTo: Math.max(...ends.map(end => end.sequence)),
        ends: counted,
      });
    } catch {
      // Logged by the proposer; the upstream lists the ends to the next owner.
      return false;
    }
    outcomes.closeEndedJobs(counted);
    return true;
  }

  private applyEnd(
    session: UpstreamSession,
    end: RunEnd,
    task: OpenTask | undefined,
  ): void {
    const {outcomes, discardedRuns, state} = this.options;
    if (task) {
      outcomes.applyEnd(session, end, task);
      return;
    }
    const {run, task: id} = end;
    const earlier = discardedRuns.find(getTaskKey(id), session.key, run);
    if (earlier) outcomes.releaseHeldTask(earlier);
    else if (!state.jobs.has(id.job)) this.earlyEndJobs.add(id.job);
  }
}
