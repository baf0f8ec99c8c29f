/** Proposals of a leader, from the caller's promise to the machine's result. */
import {NotLeaderError, OutcomeUnknownError} from './log_errors.js';
import type {MemberId} from './members.js';
import {closedError} from './proposal_refusal.js';

interface Proposal<C, R> {
  readonly command: C;
  readonly durable: boolean;
  readonly resolve: (result: R) => void;
  readonly reject: (err: Error) => void;
}

interface ProposedEntry<C, R> {
  readonly proposals: readonly Proposal<C, R>[];
  /** Results in the order of the proposals, once the entry is applied. */
  results: readonly R[] | null;
}

/** Queues proposals for the next entry and settles those of earlier ones. */
export class Proposals<C, R> {
  private queue: Proposal<C, R>[] = [];
  private readonly proposed = new Map<number, ProposedEntry<C, R>>();
  private readonly flush: () => void;
  private flushRequested = false;

  /** @param flush Called after the current tick when proposals are queued. */
  constructor(flush: () => void) {
    this.flush = flush;
  }

  get queued(): number {
    return this.queue.length;
  }

  add(command: C, durable: boolean): Promise<R> {
    return new Promise((resolve, reject) => {
      this.queue.push({command, durable, resolve, reject});
      this.requestFlush();
    });
  }

  /** Calls `flush` in a microtask, once for all proposals of a tick. */
  requestFlush(): void {
    if (this.flushRequested || this.queue.length === 0) return;
    this.flushRequested = true;
    queueMicrotask(() => {
      this.flushRequested = false;
      this.flush();
    });
  }

  /** Takes the next batch off the queue. */
  take(maxBatch: number): readonly Proposal<C, R>[] {
    const batch = this.queue.slice(0, maxBatch);
    this.queue = this.queue.slice(maxBatch);
    return batch;
  }

  /** Remembers which entry carries a batch. */
  sent(index: number, proposals: readonly Proposal<C, R>[]): void {
    this.proposed.set(index, {proposals, results: null});
  }

  /** Stores the results of an applied entry. */
  applied(index: number, results: readonly R[]): void {
    const entry = this.proposed.get(index);
    if (entry) entry.results = results;
  }

  /** Answers the proposals of applied entries as far as durability allows. */
  settle(durableIndex: number): void {
    for (const [index, {proposals, results}] of this.proposed) {
      if (!results) continue;
      const durable = index <= durableIndex;
      proposals.forEach((proposal, position) => {
        // Settling a promise again has no effect.
        if (durable || !proposal.durable) {
          proposal.resolve(results[position] as R);
        }
      });
      if (durable || !proposals.some(proposal => proposal.durable)) {
        this.proposed.delete(index);
      }
    }
  }

  /** Rejects everything after leadership was lost. */
  leadershipLost(leader: MemberId | null): void {
    this.rejectQueued(new NotLeaderError(leader));
    this.rejectProposed('leadership was lost after proposing');
  }

  /** Rejects everything because the log closes. */
  close(cause?: Error): void {
    this.rejectQueued(closedError(cause));
    this.rejectProposed('the log was closed after proposing');
  }

  rejectQueued(err: Error): void {
    const {queue} = this;
    this.queue = [];
    for (const proposal of queue) proposal.reject(err);
  }

  private rejectProposed(reason: string): void {
    const entries = [...this.proposed.values()];
    this.proposed.clear();
    const err = new OutcomeUnknownError(reason);
    for (const {proposals} of entries) {
      for (const proposal of proposals) proposal.reject(err);
    }
  }
}
