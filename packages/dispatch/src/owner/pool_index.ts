/** Upstreams of one pool, indexed for the placement of tasks. */
import {CapacityTree, type Ranked} from './capacity_tree.js';
import type {OwnerActivity} from './owner_activity.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

/**
 * Interval in ms at which time factors and states of upstreams are read again.
 * Free capacity is always current.
 */
export const REFRESH_INTERVAL_MS = 25;

/** Key of the tree of all upstreams. */
const ANY_LABEL = '';

/** An upstream with its time factor. */
export interface RankedSession extends Ranked {
  readonly session: UpstreamSession;
}

interface TreePosition {
  readonly tree: CapacityTree<RankedSession>;
  readonly position: number;
}

interface IndexEntry {
  readonly positions: TreePosition[];
  readonly cpuMillis: number;
  usedCpuMillis: number;
}

/**
 * Updates sums and search trees with each start and end, so that the cost of a
 * start doesn't grow with the number of upstreams.
 */
export class PoolIndex {
  private readonly members = new Set<UpstreamSession>();
  private readonly entries = new Map<UpstreamSession, IndexEntry>();
  private trees = new Map<string, CapacityTree<RankedSession>>();
  private cpuMillis = 0;
  private usedCpuMillis = 0;
  private lowestTimeFactor = 1;
  private maxWorkPerMs = 0;
  private expectedCpuMillis = 0;
  private refreshedAt = Number.NEGATIVE_INFINITY;
  private excludedCount = 0;
  private evacuatedCount = 0;

  constructor(
    private readonly speed: UpstreamSpeed,
    private readonly activity: OwnerActivity,
  ) {}

  get sessions(): Iterable<UpstreamSession> {
    return this.members;
  }

  /** Number of upstreams that accept new runs. */
  get availableCount(): number {
    return this.entries.size;
  }

  /**
   * Whether upstreams are excluded that may accept runs again soon. Evacuated
   * ones may not: a readmission makes the next pass read all states.
   */
  get hasExcluded(): boolean {
    const usableCount = this.members.size - this.evacuatedCount;
    return this.excludedCount > 0 || this.entries.size < usableCount;
  }

  /** Fraction of the CPU capacity that runs use. */
  get cpuUtilization(): number {
    return this.cpuMillis === 0 ? 0 : this.usedCpuMillis / this.cpuMillis;
  }

  /** Time factor of the fastest upstream, busy or not; 1 without any. */
  get fastestTimeFactor(): number {
    return this.lowestTimeFactor;
  }

  /**
   * Declared work that the pool does per ms at full utilization; work is
   * declared run time in ms multiplied by milli-CPUs. Includes upstreams that
   * are unreachable for a moment.
   */
  get workPerMs(): number {
    return this.maxWorkPerMs;
  }

  /** Time factor of the pool as a whole; 1 without upstreams. */
  get meanTimeFactor(): number {
    return this.maxWorkPerMs === 0
      ? 1
      : this.expectedCpuMillis / this.maxWorkPerMs;
  }

  add(session: UpstreamSession): void {
    this.members.add(session);
    session.runs.capacityUse.onChange = () => this.updateCapacity(session);
    this.invalidate();
  }

  remove(session: UpstreamSession): void {
    this.members.delete(session);
    session.runs.capacityUse.onChange = () => undefined;
    this.invalidate();
  }

  /** Makes the next pass read the states of all upstreams. */
  invalidate(): void {
    this.refreshedAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * Returns the tree of the upstreams with a label, or of all; undefined if
   * there are none.
   */
  getTree(label = ANY_LABEL): CapacityTree<RankedSession> | undefined {
    return this.trees.get(label);
  }

  /**
   * Excludes an upstream that accepts no task from searches until the next
   * refresh.
   */
  exclude(session: UpstreamSession): void {
    this.excludedCount++;
    for (const {tree, position} of this.entries.get(session)?.positions ?? []) {
      tree.exclude(position);
    }
  }

  countExamined(): void {
    this.activity.count('examined');
  }

  /**
   * Reads time factors and states again if they are older than the interval.
   */
  refresh(now: number): void {
    if (now - this.refreshedAt < REFRESH_INTERVAL_MS) return;
    this.refreshedAt = now;
    this.excludedCount = 0;
    this.evacuatedCount = 0;
    this.cpuMillis = 0;
    this.usedCpuMillis = 0;
    this.maxWorkPerMs = 0;
    this.expectedCpuMillis = 0;
    this.entries.clear();
    const ranked: RankedSession[] = [];
    for (const session of this.members) {
      this.activity.count('examined');
      if (session.isEvacuated) this.evacuatedCount++;
      if (!session.countsAsCapacity) continue;
      const timeFactor = this.speed.getTimeFactor(session.key, now);
      this.maxWorkPerMs += session.record.cpuMillis / timeFactor;
      this.expectedCpuMillis += session.record.cpuMillis;
      if (session.acceptsRuns) ranked.push({session, timeFactor});
    }
    ranked.sort((a, b) => a.timeFactor - b.timeFactor);
    this.lowestTimeFactor = ranked[0]?.timeFactor ?? 1;
    for (const each of ranked) this.addEntry(each);
    this.buildTrees(ranked);
  }

  private addEntry({session}: RankedSession): void {
    const {cpuMillis} = session.record;
    const {usedCpuMillis} = session.runs.capacityUse;
    this.entries.set(session, {positions: [], cpuMillis, usedCpuMillis});
    this.cpuMillis += cpuMillis;
    this.usedCpuMillis += usedCpuMillis;
  }

  private buildTrees(ranked: readonly RankedSession[]): void {
    const byLabel = new Map([[ANY_LABEL, ranked as RankedSession[]]]);
    for (const each of ranked) {
      for (const label of new Set(each.session.record.labels)) {
        if (label === ANY_LABEL) continue;
        const list = byLabel.get(label);
        if (list) list.push(each);
        else byLabel.set(label, [each]);
      }
    }
    this.trees = new Map();
    for (const [label, list] of byLabel) {
      const tree = new CapacityTree(
        list,
        ({session}) => session.runs.capacityUse.free,
      );
      this.trees.set(label, tree);
      list.forEach(({session}, position) =>
        this.entries.get(session)?.positions.push({tree, position}),
      );
    }
  }

  private updateCapacity(session: UpstreamSession): void {
    const entry = this.entries.get(session);
    if (!entry) return;
    const {free, usedCpuMillis} = session.runs.capacityUse;
    this.usedCpuMillis += usedCpuMillis - entry.usedCpuMillis;
    entry.usedCpuMillis = usedCpuMillis;
    for (const {tree, position} of entry.positions) tree.update(position, free);
  }
}
