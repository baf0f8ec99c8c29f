/**
 * Upstreams that this instance may use, indexed so that a routing decision
 * looks at a bounded number of them.
 */
import {
  addResources,
  type Resources,
  subtractResources,
} from '@mustardferry/model';

import {CandidateGroup} from './candidate_group.js';

/** Description of an upstream, from its announcement. */
export interface CandidateUpstream {
  /** `upstreamKey` of the announcement. */
  readonly key: string;
  readonly worker: string;
  readonly rack: string;
  readonly kinds: readonly string[];
  readonly capacity: Resources;
}

/** An upstream with its state on this instance. */
export class Candidate {
  held = 0;
  limit = Infinity;
  available = true;
  speedFactor = 1;
  samples = 0;
  /** Resources not taken by the tasks of this instance. */
  free: Resources;
  /** Its part in the count of running tasks on full upstreams. */
  fullBucket = 0;
  fullCount = 0;
  /** Resources of the running tasks by id. */
  readonly tasks = new Map<string, Resources>();

  constructor(
    readonly upstream: CandidateUpstream,
    readonly group: CandidateGroup,
  ) {
    this.free = upstream.capacity;
  }

  get running(): number {
    return this.tasks.size;
  }

  /** Slot credits that a new task could use now. */
  get freeCredits(): number {
    if (!this.available) return 0;
    return Math.max(0, Math.min(this.held, this.limit) - this.running);
  }
}

/** All candidates; an upstream is in the group of those with equal kinds. */
export class CandidateIndex {
  private readonly candidates = new Map<string, Candidate>();
  private readonly groups = new Map<string, CandidateGroup>();
  private readonly byKind = new Map<string, CandidateGroup[]>();
  private credits = 0;

  get size(): number {
    return this.candidates.size;
  }

  /** Free slot credits over all upstreams. */
  get freeCredits(): number {
    return this.credits;
  }

  get(key: string): Candidate | undefined {
    return this.candidates.get(key);
  }

  all(): Iterable<Candidate> {
    return this.candidates.values();
  }

  groupsOf(kind: string): readonly CandidateGroup[] {
    return this.byKind.get(kind) ?? [];
  }

  /** Running tasks on upstreams of the kind that are full, by speed. */
  fullRunning(kind: string, bucket: number): number {
    let running = 0;
    for (const group of this.groupsOf(kind))
      running += group.fullRunning(bucket);
    return running;
  }

  /** Whether some upstream with a free credit offers the kind. */
  hasFreeCredit(kind: string): boolean {
    return this.groupsOf(kind).some(group => group.free.size > 0);
  }

  /** Distinct capacities of the upstreams that offer a kind. */
  capacitiesOf(kind: string): readonly Resources[] {
    return this.groupsOf(kind).flatMap(group => group.distinctCapacities());
  }

  /** Adds an upstream without credits; a known key is left as it is. */
  add(upstream: CandidateUpstream): void {
    if (this.candidates.has(upstream.key)) return;
    const group = this.groupFor(upstream.kinds);
    const candidate = new Candidate(upstream, group);
    this.candidates.set(upstream.key, candidate);
    group.add(candidate);
  }

  remove(key: string): void {
    const candidate = this.candidates.get(key);
    if (!candidate) return;
    this.credits -= candidate.freeCredits;
    candidate.group.remove(candidate);
    this.candidates.delete(key);
  }

  /** Sets the slot credits held for an upstream. */
  setCredits(key: string, held: number): void {
    this.change(key, candidate => (candidate.held = held));
  }

  /** Sets the limit of adaptive concurrency. */
  setLimit(key: string, limit: number): void {
    this.change(key, candidate => (candidate.limit = limit));
  }

  /** Takes an upstream out of use, for example while it is ejected. */
  setAvailable(key: string, available: boolean): void {
    this.change(key, candidate => (candidate.available = available));
  }

  /** Sets the learned time factor and the number of runs behind it. */
  setSpeed(key: string, factor: number, samples: number): void {
    this.change(key, candidate => {
      candidate.speedFactor = factor;
      candidate.samples = samples;
    });
  }

  /** Records that a task was sent to an upstream. */
  started(key: string, taskId: string, resources: Resources): void {
    this.change(key, candidate => {
      if (candidate.tasks.has(taskId)) return;
      candidate.tasks.set(taskId, resources);
      candidate.free = subtractResources(candidate.free, resources);
    });
  }

  /** Records that a task no longer runs on an upstream. */
  ended(key: string, taskId: string): void {
    this.change(key, candidate => {
      const resources = candidate.tasks.get(taskId);
      if (!resources) return;
      candidate.tasks.delete(taskId);
      candidate.free =
        candidate.tasks.size === 0
          ? candidate.upstream.capacity
          : addResources(candidate.free, resources);
    });
  }

  private change(key: string, apply: (candidate: Candidate) => void): void {
    const candidate = this.candidates.get(key);
    if (!candidate) return;
    const before = candidate.freeCredits;
    apply(candidate);
    this.credits += candidate.freeCredits - before;
    candidate.group.place(candidate);
  }

  private groupFor(kinds: readonly string[]): CandidateGroup {
    const id = JSON.stringify(kinds.length > 1 ? [...kinds].sort() : kinds);
    let group = this.groups.get(id);
    if (!group) {
      group = new CandidateGroup();
      this.groups.set(id, group);
      for (const kind of new Set(kinds)) {
        const list = this.byKind.get(kind);
        if (list) list.push(group);
        else this.byKind.set(kind, [group]);
      }
    }
    return group;
  }
}
