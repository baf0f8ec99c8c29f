/** One pass over the upstreams of a pool, in which tasks are placed. */
import type {Step} from '../jobs/job_types.js';
import type {BoardTask} from './board_types.js';
import type {UpstreamSession} from './upstream_session.js';

/** What a pass is made of. */
export interface PoolPassInput {
  /** Sessions that accept runs. */
  readonly sessions: readonly UpstreamSession[];
  readonly now: number;
  /** Time factor of tasks whose data is in another rack. */
  readonly remoteFactor: number;
  /** Time factor of the fastest upstream, busy or not. */
  readonly fastestFactor: number;
}

/**
 * Remembers what found no room: during a pass upstreams only fill up, so that
 * no larger task can find any, either.
 */
export class PoolPass {
  readonly sessions: readonly UpstreamSession[];
  readonly now: number;
  readonly remoteFactor: number;
  readonly fastestFactor: number;
  private readonly cpuMillis: number;
  private usedCpuMillis = 0;
  private fullFor: Step | null = null;

  constructor(input: PoolPassInput) {
    this.sessions = input.sessions;
    this.now = input.now;
    this.remoteFactor = input.remoteFactor;
    this.fastestFactor = input.fastestFactor;
    let total = 0;
    for (const {runs, record} of this.sessions) {
      this.usedCpuMillis += runs.use.usedCpuMillis;
      total += record.cpuMillis;
    }
    this.cpuMillis = total;
  }

  /** Share of the processors of the upstreams that runs take. */
  get usedShare(): number {
    return this.cpuMillis === 0 ? 0 : this.usedCpuMillis / this.cpuMillis;
  }

  /** Whether an earlier task of this pass shows that there is no room. */
  isFullFor({step}: BoardTask): boolean {
    const {fullFor} = this;
    return (
      fullFor !== null &&
      step.cpuMillis >= fullFor.cpuMillis &&
      step.memoryMb >= fullFor.memoryMb &&
      step.accelerators >= fullFor.accelerators
    );
  }

  /** Notes that no upstream was found for a task. */
  noteFull({step, avoid}: BoardTask): void {
    const isBound =
      step.label !== '' || step.maxPerUpstream > 0 || avoid.length > 0;
    if (!isBound) this.fullFor = step;
  }

  noteStart({step}: BoardTask): void {
    this.usedCpuMillis += step.cpuMillis;
  }
}
