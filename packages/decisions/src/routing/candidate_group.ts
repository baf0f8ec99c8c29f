/** Upstreams that offer the same kinds, ordered by speed and by load. */
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
export function speedBucket(factor: number): number {
  const bucket = Math.round(Math.log2(factor) * BUCKETS_PER_DOUBLING);
  const middle = (SPEED_BUCKETS - 1) / 2;
  return Math.max(0, Math.min(SPEED_BUCKETS - 1, bucket + middle));
}

function capacityId(capacity: Resources): string {
  return RESOURCE_NAMES.map(name => capacity[name]).join('/');
}

/** Time factor in the middle of a bucket. */
export function bucketFactor(bucket: number): number {
  return 2 ** ((bucket - (SPEED_BUCKETS - 1) / 2) / BUCKETS_PER_DOUBLING);
}

/** Index over one group. */
export class CandidateGroup {
  /** With a free credit, by speed. */
  readonly bySpeed = new BucketSet<Candidate>(SPEED_BUCKETS);
  /** With a free credit, by running tasks. */
  readonly byLoad = new BucketSet<Candidate>(LOAD_BUCKETS);
  /** With a free credit, in one bucket. */
  readonly free = new BucketSet<Candidate>(1);
  /** With a free credit and a speed that is not known yet. */
  readonly fresh = new BucketSet<Candidate>(1);
  /** Running tasks on upstreams without a free credit, by speed. */
  private readonly full = new Array<number>(SPEED_BUCKETS).fill(0);

  private readonly capacities = new Map<
    string,
    {readonly capacity: Resources; upstreams: number}
  >();

  distinctCapacities(): readonly Resources[] {
    return [...this.capacities.values()].map(({capacity}) => capacity);
  }

  add(candidate: Candidate): void {
    const {capacity} = candidate.upstream;
    const id = capacityId(capacity);
    const entry = this.capacities.get(id) ?? {capacity, upstreams: 0};
    entry.upstreams++;
    this.capacities.set(id, entry);
    this.place(candidate);
  }

  /** Puts a candidate where its state says. */
  place(candidate: Candidate): void {
    if (candidate.freeCredits > 0) this.placeFree(candidate);
    else this.removeFree(candidate);
    this.uncount(candidate);
    const usable = candidate.available && candidate.held > 0;
    if (!usable || candidate.freeCredits > 0) return;
    candidate.fullBucket = speedBucket(candidate.speedFactor);
    candidate.fullCount = candidate.running;
    this.addFull(candidate.fullBucket, candidate.fullCount);
  }

  remove(candidate: Candidate): void {
    const id = capacityId(candidate.upstream.capacity);
    const entry = this.capacities.get(id);
    if (entry && --entry.upstreams === 0) this.capacities.delete(id);
    this.removeFree(candidate);
    this.uncount(candidate);
  }

  /** Running tasks on full upstreams of a speed. */
  fullRunning(bucket: number): number {
    return this.full[bucket] ?? 0;
  }

  private uncount(candidate: Candidate): void {
    this.addFull(candidate.fullBucket, -candidate.fullCount);
    candidate.fullCount = 0;
  }

  private addFull(bucket: number, count: number): void {
    this.full[bucket] = (this.full[bucket] ?? 0) + count;
  }

  private placeFree(candidate: Candidate): void {
    this.bySpeed.put(candidate, speedBucket(candidate.speedFactor));
    this.byLoad.put(candidate, candidate.running);
    this.free.put(candidate, 0);
    if (candidate.samples < EXPLORATION_SAMPLES) this.fresh.put(candidate, 0);
    else this.fresh.remove(candidate);
  }

  private removeFree(candidate: Candidate): void {
    this.bySpeed.remove(candidate);
    this.byLoad.remove(candidate);
    this.free.remove(candidate);
    this.fresh.remove(candidate);
  }
}
