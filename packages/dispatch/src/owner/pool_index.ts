/** Upstreams of one pool, indexed for the placement of tasks. */
import type {OwnerActivity} from './owner_activity.js';
import {type Rated, RoomTree} from './room_tree.js';
import type {UpstreamSession} from './upstream_session.js';
import type {UpstreamSpeed} from './upstream_speed.js';

/**
 * Time in ms after which speeds and states of upstreams are read again. Free
 * capacity is always current.
 */
export const REFRESH_MS = 25;

/** Key of the tree of all upstreams. */
const ANY_LABEL = '';

/** An upstream with its time factor. */
export interface RatedSession extends Rated {
  readonly session: UpstreamSession;
}

interface Place {
  readonly tree: RoomTree<RatedSession>;
  readonly position: number;
}

interface Entry {
  readonly places: Place[];
  readonly cpuMillis: number;
  usedCpuMillis: number;
}

/**
 * Keeps sums and search trees up to date with each start and end, so that the
 * cost of a start doesn't grow with the number of upstreams.
 */
export class PoolIndex {
  private readonly members = new Set<UpstreamSession>();
  private readonly entries = new Map<UpstreamSession, Entry>();
  private trees = new Map<string, RoomTree<RatedSession>>();
  private cpuMillis = 0;
  private usedCpuMillis = 0;
  private fastest = 1;
  private rate = 0;
  private expectedCpuMillis = 0;
  private refreshedAt = Number.NEGATIVE_INFINITY;
  private hidden = 0;

  constructor(
    private readonly speed: UpstreamSpeed,
    private readonly activity: OwnerActivity,
  ) {}

  get sessions(): Iterable<UpstreamSession> {
    return this.members;
  }

  /** Upstreams that take new runs. */
  get size(): number {
    return this.entries.size;
  }

  /** Whether upstreams are left out that may take runs again soon. */
  get isPartial(): boolean {
    return this.hidden > 0 || this.entries.size < this.members.size;
  }

  /** Share of the processors that runs take. */
  get usedShare(): number {
    return this.cpuMillis === 0 ? 0 : this.usedCpuMillis / this.cpuMillis;
  }

  /** Time factor of the fastest upstream, busy or not; 1 without any. */
  get fastestFactor(): number {
    return this.fastest;
  }

  /**
   * Declared work that the pool does in a ms when all processors are used; work
   * is declared run time multiplied by thousandths of a processor. Upstreams
   * that don't answer for a moment count.
   */
  get declaredRate(): number {
    return this.rate;
  }

  /** Time factor of the pool as a whole; 1 without upstreams. */
  get meanFactor(): number {
    return this.rate === 0 ? 1 : this.expectedCpuMillis / this.rate;
  }

  add(session: UpstreamSession): void {
    this.members.add(session);
    session.runs.capacityUse.onChange = () => this.capacityChanged(session);
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

  /** Upstreams with a label, or all; undefined when there are none. */
  tree(label = ANY_LABEL): RoomTree<RatedSession> | undefined {
    return this.trees.get(label);
  }

  /** Keeps an upstream that takes no task now out of further searches. */
  hide(session: UpstreamSession): void {
    this.hidden++;
    for (const {tree, position} of this.entries.get(session)?.places ?? []) {
      tree.hide(position);
    }
  }

  noteExamined(): void {
    this.activity.count('examined');
  }

  /** Reads speeds and states again if they are old. */
  refresh(now: number): void {
    if (now - this.refreshedAt < REFRESH_MS) return;
    this.refreshedAt = now;
    this.hidden = 0;
    this.cpuMillis = 0;
    this.usedCpuMillis = 0;
    this.rate = 0;
    this.expectedCpuMillis = 0;
    this.entries.clear();
    const rated: RatedSession[] = [];
    for (const session of this.members) {
      this.activity.count('examined');
      if (!session.countsAsCapacity) continue;
      const factor = this.speed.factor(session.key, now);
      this.rate += session.record.cpuMillis / factor;
      this.expectedCpuMillis += session.record.cpuMillis;
      if (session.acceptsRuns) rated.push({session, factor});
    }
    rated.sort((a, b) => a.factor - b.factor);
    this.fastest = rated[0]?.factor ?? 1;
    for (const each of rated) this.enter(each);
    this.plant(rated);
  }

  private enter({session}: RatedSession): void {
    const {cpuMillis} = session.record;
    const {usedCpuMillis} = session.runs.capacityUse;
    this.entries.set(session, {places: [], cpuMillis, usedCpuMillis});
    this.cpuMillis += cpuMillis;
    this.usedCpuMillis += usedCpuMillis;
  }

  private plant(rated: readonly RatedSession[]): void {
    const byLabel = new Map([[ANY_LABEL, rated as RatedSession[]]]);
    for (const each of rated) {
      for (const label of new Set(each.session.record.labels)) {
        if (label === ANY_LABEL) continue;
        const list = byLabel.get(label);
        if (list) list.push(each);
        else byLabel.set(label, [each]);
      }
    }
    this.trees = new Map();
    for (const [label, list] of byLabel) {
      const tree = new RoomTree(
        list,
        ({session}) => session.runs.capacityUse.free,
      );
      this.trees.set(label, tree);
      list.forEach(({session}, position) =>
        this.entries.get(session)?.places.push({tree, position}),
      );
    }
  }

  private capacityChanged(session: UpstreamSession): void {
    const entry = this.entries.get(session);
    if (!entry) return;
    const {free, usedCpuMillis} = session.runs.capacityUse;
    this.usedCpuMillis += usedCpuMillis - entry.usedCpuMillis;
    entry.usedCpuMillis = usedCpuMillis;
    for (const {tree, position} of entry.places) tree.update(position, free);
  }
}
