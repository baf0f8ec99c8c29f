/** Submission records by job id, with an index by expiry time. */
import {must} from '@mustardferry/model';

import {estimateBytes} from '../approximate_size.js';
import type {SubmissionRecord, TaskStart} from './record_messages.js';

/** Width of an expiry bucket. Expiry visits only the records in due buckets. */
const EXPIRY_BUCKET_MS = 1_000;

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

/** Record that the store may change; readers get a `SubmissionRecord`. */
export type MutableRecord = Mutable<Omit<SubmissionRecord, 'starts'>> & {
  starts: TaskStart[];
};

/** Holds records in order of admission. */
export class RecordStore {
  private readonly records = new Map<string, MutableRecord>();
  /** Ids of the jobs without an answer. */
  private readonly open = new Set<string>();
  /** Job ids by `keepUntilMs` in units of `EXPIRY_BUCKET_MS`. */
  private readonly expiryBuckets = new Map<number, Set<string>>();
  private readonly bytesByJobId = new Map<string, number>();
  private totalBytes = 0;

  get size(): number {
    return this.records.size;
  }

  get unfinishedCount(): number {
    return this.open.size;
  }

  /** Estimated size of all records, without the indexes. */
  get bytes(): number {
    return this.totalBytes;
  }

  get(jobId: string): MutableRecord | undefined {
    return this.records.get(jobId);
  }

  getAllRecords(): SubmissionRecord[] {
    return [...this.records.values()];
  }

  unfinished(): SubmissionRecord[] {
    return [...this.open].map(jobId =>
      must(this.records.get(jobId), 'unfinished record is stored'),
    );
  }

  add(record: MutableRecord): void {
    this.records.set(record.jobId, record);
    const bucket = Math.floor(record.keepUntilMs / EXPIRY_BUCKET_MS);
    const ids = this.expiryBuckets.get(bucket) ?? new Set();
    this.expiryBuckets.set(bucket, ids.add(record.jobId));
    this.updateIndexes(record);
  }

  /** Updates the indexes and the size after a change to the record. */
  updateIndexes(record: MutableRecord): void {
    if (record.answer === undefined) this.open.add(record.jobId);
    else this.open.delete(record.jobId);
    const bytes = estimateBytes(record);
    this.totalBytes += bytes - (this.bytesByJobId.get(record.jobId) ?? 0);
    this.bytesByJobId.set(record.jobId, bytes);
  }

  /** Adds to the size of a record without estimating all of it again. */
  addRecordBytes(record: MutableRecord, bytes: number): void {
    this.totalBytes += bytes;
    const before = this.bytesByJobId.get(record.jobId) ?? 0;
    this.bytesByJobId.set(record.jobId, before + bytes);
  }

  /**
   * Drops the finished records whose `keepUntilMs` is before `beforeMs` and
   * returns their number.
   */
  expire(beforeMs: number): number {
    const last = Math.floor(beforeMs / EXPIRY_BUCKET_MS);
    let dropped = 0;
    for (const [bucket, ids] of this.expiryBuckets) {
      if (bucket > last) continue;
      for (const jobId of ids) {
        const record = must(this.records.get(jobId), 'indexed record exists');
        // Without its record, a resubmission would start a running job again.
        if (record.answer === undefined) continue;
        if (record.keepUntilMs >= beforeMs) continue;
        this.removeRecord(jobId);
        ids.delete(jobId);
        dropped++;
      }
      if (ids.size === 0) this.expiryBuckets.delete(bucket);
    }
    return dropped;
  }

  private removeRecord(jobId: string): void {
    this.records.delete(jobId);
    this.totalBytes -= this.bytesByJobId.get(jobId) ?? 0;
    this.bytesByJobId.delete(jobId);
  }
}
