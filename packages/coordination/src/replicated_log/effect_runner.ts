/** Carries out the effects that the core requests. */
import {assertNever} from '@mustardferry/model';

import type {LogEffect} from './core_events.js';
import type {LogStorage} from './log_storage.js';
import type {LogTransport} from './log_transport.js';

/** Callbacks for the results of effects. */
export interface EffectResults {
  synced(index: number, term: number): void;
  storageFailed(err: unknown): void;
  readReady(id: number): void;
  readRefused(id: number): void;
}

/** Carries out effects in the order in which they were requested. */
export class EffectRunner<C> {
  private readonly storage: LogStorage<C> | null;
  private readonly transport: LogTransport<C>;
  private readonly results: EffectResults;
  private pendingVoteSave: Promise<unknown> | null = null;
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
        return this.startWrite(effect);
      default:
        return assertNever(effect);
    }
  }

  /** Discards held messages and waits for the pending writes. */
  async close(): Promise<void> {
    this.closed = true;
    await Promise.allSettled([...this.pending]);
  }

  /** Discards held messages without waiting for the pending writes. */
  abort(): void {
    this.closed = true;
  }

  private send(effect: Extract<LogEffect<C>, {type: 'send'}>): void {
    if (!effect.afterVoteSync || !this.pendingVoteSave) {
      this.transport.send(effect.to, effect.message);
      return;
    }
    void this.pendingVoteSave.then(
      () => {
        if (!this.closed) this.transport.send(effect.to, effect.message);
      },
      () => {},
    );
  }

  private startWrite(
    effect: Extract<
      LogEffect<C>,
      {type: 'save-vote' | 'append' | 'truncate' | 'save-snapshot'}
    >,
  ): void {
    const write = this.write(effect);
    if (effect.type === 'save-vote') this.holdMessagesUntilSaved(write);
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

  private holdMessagesUntilSaved(write: Promise<void>): void {
    this.pendingVoteSave = write;
    const release = () => {
      if (this.pendingVoteSave === write) this.pendingVoteSave = null;
    };
    // Messages held for a vote that could not be saved are never sent.
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
