/** Upstreams that offer the same kinds, indexed by speed and by load. */
import {RESOURCE_NAMES, type Resources} from '@mustardferry/model';

import {BucketSet} from '../common/bucket_set.js';
import type {Candidate} from './candidate_index.js';

/** Buckets for each doubling of the time factor. */
const BUCKETS_PER_DOUBLING = 3;
/** Covers time factors from 1/16 to 16. */
export const SPEED_BUCKETS = 8 * BUCKETS_PER_DOUBLING + 1;
const LOAD_BUCKETS = 64;

/** Runs measured on an upstream before its speed counts as known. */
export const EXPLORATION_SAMPLES = 3;

/** Bucket of a time factor; lower is faster. */
export function toSpeedBucket(factor: number): number {
  const bucket = Math.round(Math.log2(factor) * BUCKETS_PER_DOUBLING);
  const middle = (SPEED_BUCKETS - 1) / 2;
  return Math.max(0, Math.min(SPEED_BUCKETS - 1, bucket + middle));
}

function formatCapacity(capacity: Resources): string {
  return RESOURCE_NAMES.map(name => capacity[name]).join('/');
}

/** Time factor in the middle of a bucket. */
export function toTimeFactor(bucket: number): number {
  return 2 ** ((bucket - (SPEED_BUCKETS - 1) / 2) / BUCKETS_PER_DOUBLING);
}

/** Index of the upstreams of one group. */
export class CandidateGroup {
  /** Candidates with a free credit, by speed. */
  readonly freeBySpeed = new BucketSet<Candidate>(SPEED_BUCKETS);
  /** Candidates with a free credit, by number of running tasks. */
  readonly freeByLoad = new BucketSet<Candidate>(LOAD_BUCKETS);
  /** Candidates with a free credit, in one bucket. */
  readonly allFree = new BucketSet<Candidate>(1);
  /** Candidates with a free credit whose speed is not known yet. */
  readonly unexplored = new BucketSet<Candidate>(1);
  /** Number of running tasks on upstreams without a free credit, by speed. */
  private readonly full = new Array<number>(SPEED_BUCKETS).fill(0);

  private readonly capacities = new Map<
    string,
    {readonly capacity: Resources; upstreams: number}
  >();

  listCapacities(): readonly Resources[] {
    return [...this.capacities.values()].map(({capacity}) => capacity);
  }

  add(candidate: Candidate): void {
    const {capacity} = candidate.upstream;
    const id = formatCapacity(capacity);
    const entry = this.capacities.get(id) ?? {capacity, upstreams: 0};
    entry.upstreams++;
    this.capacities.set(id, entry);
    this.reindex(candidate);
  }

  /** Updates the index after the state of a candidate changed. */
  reindex(candidate: Candidate): void {
    if (candidate.freeCredits > 0) this.indexFree(candidate);
    else this.unindexFree(candidate);
    this.removeFull(candidate);
    const usable = candidate.available && candidate.held > 0;
    if (!usable || candidate.freeCredits > 0) return;
    candidate.fullBucket = toSpeedBucket(candidate.speedFactor);
    candidate.fullRunningTasks = candidate.running;
    this.addFull(candidate.fullBucket, candidate.fullRunningTasks);
  }

  remove(candidate: Candidate): void {
    const id = formatCapacity(candidate.upstream.capacity);
    const entry = this.capacities.get(id);
    if (entry && --entry.upstreams === 0) this.capacities.delete(id);
    this.unindexFree(candidate);
    this.removeFull(candidate);
  }

  /** Number of running tasks on full upstreams of a speed bucket. */
  countFullRunning(bucket: number): number {
    return this.full[bucket] ?? 0;
  }

  private removeFull(candidate: Candidate): void {
    this.addFull(candidate.fullBucket, -candidate.fullRunningTasks);
    candidate.fullRunningTasks = 0;
  }

  private addFull(bucket: number, count: number): void {
    this.full[bucket] = (this.full[bucket] ?? 0) + count;
  }

  private indexFree(candidate: Candidate): void {
    this.freeBySpeed.put(candidate, toSpeedBucket(candidate.speedFactor));
    this.freeByLoad.put(candidate, candidate.running);
    this.allFree.put(candidate, 0);
    if (candidate.speedSamples < EXPLORATION_SAMPLES)
      this.unexplored.put(candidate, 0);
    else this.unexplored.remove(candidate);
  }

  private unindexFree(candidate: Candidate): void {
    this.freeBySpeed.remove(candidate);
    this.freeByLoad.remove(candidate);
    this.allFree.remove(candidate);
    this.unexplored.remove(candidate);
  }
}
