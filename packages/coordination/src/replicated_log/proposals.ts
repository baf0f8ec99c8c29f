/** Proposals of a leader, from the call until their promises are settled. */
import {estimateBytes} from '../approximate_size.js';
import {NotLeaderError, OutcomeUnknownError} from './log_errors.js';
import type {LogSettings} from './log_options.js';
import type {MemberId} from './members.js';
import {createClosedError} from './proposal_refusal.js';

interface Proposal<C, R> {
  readonly command: C;
  /** Approximate size of the command in memory. */
  readonly bytes: number;
  readonly durable: boolean;
  readonly resolve: (result: R) => void;
  readonly reject: (err: Error) => void;
}

/** Proposals for one entry, with the approximate size of their commands. */
interface Batch<C, R> {
  readonly proposals: readonly Proposal<C, R>[];
  readonly bytes: number;
}

interface ProposedEntry<C, R> {
  readonly proposals: readonly Proposal<C, R>[];
  /** Results in the order of the proposals, once the entry is applied. */
  results: readonly R[] | null;
}

/** Queues proposals for the next entry and settles those of earlier entries. */
export class Proposals<C, R> {
  private queue: Proposal<C, R>[] = [];
  private readonly proposedEntries = new Map<number, ProposedEntry<C, R>>();
  private readonly flush: () => void;
  private flushRequested = false;

  /** @param flush Called in a microtask after proposals were queued. */
  constructor(flush: () => void) {
    this.flush = flush;
  }

  get queued(): number {
    return this.queue.length;
  }

  add(command: C, durable: boolean): Promise<R> {
    return new Promise((resolve, reject) => {
      const bytes = estimateBytes(command);
      this.queue.push({command, bytes, durable, resolve, reject});
      this.requestFlush();
    });
  }

  /** Schedules one call of `flush` in a microtask if proposals are queued. */
  requestFlush(): void {
    if (this.flushRequested || this.queue.length === 0) return;
    this.flushRequested = true;
    queueMicrotask(() => {
      this.flushRequested = false;
      this.flush();
    });
  }

  /** Removes the next batch from the queue; it holds at least one proposal. */
  takeBatch({
    maxBatch,
    maxBytesPerMessage,
  }: Pick<LogSettings, 'maxBatch' | 'maxBytesPerMessage'>): Batch<C, R> {
    let bytes = 0;
    let count = 0;
    for (const proposal of this.queue.slice(0, maxBatch)) {
      if (count > 0 && bytes + proposal.bytes > maxBytesPerMessage) break;
      bytes += proposal.bytes;
      count++;
    }
    const proposals = this.queue.slice(0, count);
    this.queue = this.queue.slice(count);
    return {proposals, bytes};
  }

  /** Records the entry that contains a batch. */
  trackEntry(index: number, proposals: readonly Proposal<C, R>[]): void {
    this.proposedEntries.set(index, {proposals, results: null});
  }

  /** Stores the results of an applied entry. */
  setResults(index: number, results: readonly R[]): void {
    const entry = this.proposedEntries.get(index);
    if (entry) entry.results = results;
  }

  /** Resolves applied proposals, durable ones only up to `durableIndex`. */
  resolveApplied(durableIndex: number): void {
    for (const [index, {proposals, results}] of this.proposedEntries) {
      if (!results) continue;
      const durable = index <= durableIndex;
      proposals.forEach((proposal, position) => {
        // Resolving a promise again has no effect.
        if (durable || !proposal.durable) {
          proposal.resolve(results[position] as R);
        }
      });
      if (durable || !proposals.some(proposal => proposal.durable)) {
        this.proposedEntries.delete(index);
      }
    }
  }

  /** Rejects all proposals after leadership was lost. */
  rejectAfterLeadershipLoss(leader: MemberId | null): void {
    this.rejectQueued(new NotLeaderError(leader));
    this.rejectProposed('leadership was lost after proposing');
  }

  /** Rejects all proposals because the log is closing. */
  close(cause?: Error): void {
    this.rejectQueued(createClosedError(cause));
    this.rejectProposed('the log was closed after proposing');
  }

  rejectQueued(err: Error): void {
    const {queue} = this;
    this.queue = [];
    for (const proposal of queue) proposal.reject(err);
  }

  private rejectProposed(reason: string): void {
    const entries = [...this.proposedEntries.values()];
    this.proposedEntries.clear();
    const err = new OutcomeUnknownError(reason);
    for (const {proposals} of entries) {
      for (const proposal of proposals) proposal.reject(err);
    }
  }
}
