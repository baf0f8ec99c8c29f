/** Carries out the core's storage and message effects. */
import {assertNever} from '@mustardferry/model';

import type {LogEffect} from './core_events.js';
import type {LogStorage} from './log_storage.js';
import type {LogTransport} from './log_transport.js';

/** What the runner reports back. */
export interface EffectResults {
  synced(index: number, term: number): void;
  storageFailed(err: unknown): void;
  readReady(id: number): void;
  readRefused(id: number): void;
}

/** Runs effects in order; stops at `close`. */
export class EffectRunner<C> {
  private readonly storage: LogStorage<C> | null;
  private readonly transport: LogTransport<C>;
  private readonly results: EffectResults;
  private voteSaved: Promise<unknown> | null = null;
  private pending = new Set<Promise<void>>();
  private closed = false;

  constructor(
    storage: LogStorage<C> | null,
    transport: LogTransport<C>,
    results: EffectResults,
  ) {
    this.storage = storage;
    this.transport = transport;
    this.results = results;
  }

  run(effect: LogEffect<C>): void {
    switch (effect.type) {
      case 'send':
        return this.send(effect);
      case 'read-ready':
        return this.results.readReady(effect.id);
      case 'read-refused':
        return this.results.readRefused(effect.id);
      case 'save-vote':
      case 'append':
      case 'truncate':
      case 'save-snapshot':
        return this.store(effect);
      default:
        return assertNever(effect);
    }
  }

  /** Drops held messages and waits for the writes that were started. */
  async close(): Promise<void> {
    this.closed = true;
    await Promise.allSettled([...this.pending]);
  }

  /** Drops held messages at once, without waiting for writes. */
  abort(): void {
    this.closed = true;
  }

  private send(effect: Extract<LogEffect<C>, {type: 'send'}>): void {
    if (!effect.afterVoteSync || !this.voteSaved) {
      this.transport.send(effect.to, effect.message);
      return;
    }
    void this.voteSaved.then(
      () => {
        if (!this.closed) this.transport.send(effect.to, effect.message);
      },
      () => {},
    );
  }

  private store(
    effect: Extract<
      LogEffect<C>,
      {type: 'save-vote' | 'append' | 'truncate' | 'save-snapshot'}
    >,
  ): void {
    const write = this.write(effect);
    if (effect.type === 'save-vote') this.holdVotes(write);
    const done = write.then(
      () => {
        if (this.closed) return;
        const last =
          effect.type === 'append'
            ? effect.entries.at(-1)
            : effect.type === 'save-snapshot'
              ? effect.snapshot
              : undefined;
        if (last) this.results.synced(last.index, last.term);
      },
      (err: unknown) => {
        if (!this.closed) this.results.storageFailed(err);
      },
    );
    this.pending.add(done);
    void done.finally(() => this.pending.delete(done));
  }

  private holdVotes(write: Promise<void>): void {
    this.voteSaved = write;
    const release = () => {
      if (this.voteSaved === write) this.voteSaved = null;
    };
    // A failed save keeps the messages held.
    write.then(release, () => {});
  }

  private write(
    effect: Extract<
      LogEffect<C>,
      {type: 'save-vote' | 'append' | 'truncate' | 'save-snapshot'}
    >,
  ): Promise<void> {
    if (!this.storage) return Promise.resolve();
    switch (effect.type) {
      case 'save-vote':
        return this.storage.saveVote(effect.term, effect.votedFor);
      case 'append':
        return this.storage.append(effect.entries);
      case 'truncate':
        return this.storage.truncateFrom(effect.fromIndex);
      case 'save-snapshot':
        return this.storage.saveSnapshot(effect.snapshot, effect.keepSuffix);
      default:
        return assertNever(effect);
    }
  }
}
