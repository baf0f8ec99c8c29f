/** Records by job id, indexed by expiry. */
import {must} from '@mustardferry/model';

import {approximateBytes} from './approximate_size.js';
import type {SubmissionRecord, TaskStart} from './record_messages.js';

/** Width of an expiry bucket; expiry reads buckets instead of all records. */
const BUCKET_MS = 1_000;

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

/** Record as the store changes it; readers see `SubmissionRecord`. */
export type StoredRecord = Mutable<Omit<SubmissionRecord, 'starts'>> & {
  starts: TaskStart[];
};

/** Holds records in order of admission. */
export class RecordStore {
  private readonly records = new Map<string, StoredRecord>();
  private readonly open = new Set<string>();
  private readonly buckets = new Map<number, Set<string>>();
  private readonly sizes = new Map<string, number>();
  private totalBytes = 0;

  get size(): number {
    return this.records.size;
  }

  get unfinishedCount(): number {
    return this.open.size;
  }

  /** Estimate; the indexes are not included. */
  get bytes(): number {
    return this.totalBytes;
  }

  get(jobId: string): StoredRecord | undefined {
    return this.records.get(jobId);
  }

  values(): SubmissionRecord[] {
    return [...this.records.values()];
  }

  unfinished(): SubmissionRecord[] {
    return [...this.open].map(jobId =>
      must(this.records.get(jobId), 'unfinished record is stored'),
    );
  }

  add(record: StoredRecord): void {
    this.records.set(record.jobId, record);
    const bucket = Math.floor(record.keepUntilMs / BUCKET_MS);
    const ids = this.buckets.get(bucket) ?? new Set();
    this.buckets.set(bucket, ids.add(record.jobId));
    this.updated(record);
  }

  /** Brings the indexes up to date after a change to the record. */
  updated(record: StoredRecord): void {
    if (record.answer === undefined) this.open.add(record.jobId);
    else this.open.delete(record.jobId);
    const bytes = approximateBytes(record);
    this.totalBytes += bytes - (this.sizes.get(record.jobId) ?? 0);
    this.sizes.set(record.jobId, bytes);
  }

  /** Adds to the size of a record without measuring it again. */
  grew(record: StoredRecord, bytes: number): void {
    this.totalBytes += bytes;
    const before = this.sizes.get(record.jobId) ?? 0;
    this.sizes.set(record.jobId, before + bytes);
  }

  /** Drops finished records to be kept until before `beforeMs`. */
  expire(beforeMs: number): number {
    const last = Math.floor(beforeMs / BUCKET_MS);
    let dropped = 0;
    for (const [bucket, ids] of this.buckets) {
      if (bucket > last) continue;
      for (const jobId of ids) {
        const record = must(this.records.get(jobId), 'indexed record exists');
        // A running job keeps its record, or a resubmission would start it again.
        if (record.answer === undefined) continue;
        if (record.keepUntilMs >= beforeMs) continue;
        this.drop(jobId);
        ids.delete(jobId);
        dropped++;
      }
      if (ids.size === 0) this.buckets.delete(bucket);
    }
    return dropped;
  }

  private drop(jobId: string): void {
    this.records.delete(jobId);
    this.totalBytes -= this.sizes.get(jobId) ?? 0;
    this.sizes.delete(jobId);
  }
}
