/** Read barriers of a leader. */
import {NotLeaderError} from './log_errors.js';
import type {MemberId} from './members.js';

interface Waiter {
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}

/** Confirms all barriers that are requested in the same tick in one round. */
export class ReadBarriers {
  private readonly start: (id: number) => void;
  private readonly rounds = new Map<number, readonly Waiter[]>();
  private next: Waiter[] = [];
  private lastId = 0;

  constructor(start: (id: number) => void) {
    this.start = start;
  }

  add(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.next.push({resolve, reject});
      if (this.next.length === 1) queueMicrotask(() => this.startRound());
    });
  }

  ready(id: number): void {
    for (const waiter of this.rounds.get(id) ?? []) waiter.resolve();
    this.rounds.delete(id);
  }

  refused(id: number, leader: MemberId | null): void {
    const waiters = this.rounds.get(id) ?? [];
    this.rounds.delete(id);
    for (const waiter of waiters) waiter.reject(new NotLeaderError(leader));
  }

  close(leader: MemberId | null): void {
    for (const id of [...this.rounds.keys()]) this.refused(id, leader);
    const {next} = this;
    this.next = [];
    for (const waiter of next) waiter.reject(new NotLeaderError(leader));
  }

  private startRound(): void {
    if (this.next.length === 0) return;
    const id = ++this.lastId;
    this.rounds.set(id, this.next);
    this.next = [];
    this.start(id);
  }
}
