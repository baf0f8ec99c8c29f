/** Finds the leader among the members, and carries calls to it. */
import {CLOSE_WATCH, FrameLink, LOOSE_WATCH} from '@mustardferry/links';
import type {Logger} from '@mustardferry/runtime';

import type {Call, CallOrigin, GroupView, Reply} from '../messages/calls.js';
import type {OrderOutcomeMessage} from '../messages/order_messages.js';
import type {Hello, PeerMessage} from '../messages/peer_messages.js';
import type {CallObstacle, CallOutcome} from './call_outcome.js';

/** Options of a client. */
export interface LeaderClientOptions {
  readonly self: Hello;
  /** Addresses to begin with. */
  readonly seeds: readonly string[];
  readonly logger: Logger;
  /** Answers calls on an instance that leads; resolves null elsewhere. */
  readonly handleLocally?: (
    call: Call,
    origin: CallOrigin,
  ) => Promise<Reply> | null;
  /** Takes the outcomes of orders that members carried. */
  readonly onOrderOutcome?: (
    carrier: string,
    message: OrderOutcomeMessage,
  ) => void;
  readonly onDisconnected?: (address: string) => void;
}

interface Peer {
  readonly address: string;
  readonly link: FrameLink<PeerMessage>;
  readonly pending: Map<number, (reply: Reply | 'lost') => void>;
}

/** Time in ms that connections take to come back after a reset. */
const ISOLATION_GRACE_MS = 300;

/** Time in ms in which an earlier leader that runs answers its open calls. */
const FAREWELL_MS = 100;

/** Pause in ms before a call is repeated, unless the view changes sooner. */
const REPEAT_PAUSE_MS = 40;

/** One client per instance; owns the links to all members. */
export class LeaderClient {
  readonly name = 'leader-client';
  private readonly peers = new Map<string, Peer>();
  private readonly waiters = new Set<() => void>();
  private nextId = 1;
  private known: GroupView | null = null;
  /** Since when too few voters are connected; null while there are enough. */
  private cutOffAt: number | null = performance.now();

  constructor(private readonly options: LeaderClientOptions) {
    for (const seed of options.seeds) this.connect(seed);
  }

  /** The newest view that any member has told. */
  get view(): GroupView | null {
    return this.known;
  }

  /** Whether a connection to the leader is open. */
  get isLeaderConnected(): boolean {
    return this.leader !== null;
  }

  /**
   * Whether too few voters are connected for any of them to lead, as far as
   * this instance can see, and have been for a while.
   */
  get isIsolated(): boolean {
    const {cutOffAt} = this;
    if (cutOffAt === null) return false;
    return performance.now() - cutOffAt >= ISOLATION_GRACE_MS;
  }

  /** Takes what this instance itself knows. */
  setView(view: GroupView): void {
    this.merge(view);
  }

  /** Connects to further members. */
  addMembers(addresses: readonly string[]): void {
    for (const address of addresses) this.connect(address);
  }

  /** Sends a message to a member; returns whether it is connected. */
  send(address: string, message: PeerMessage): boolean {
    return this.peers.get(address)?.link.send(message) ?? false;
  }

  /** Whether the connection to a member is open. */
  isConnected(address: string): boolean {
    return this.peers.get(address)?.link.isUp ?? false;
  }

  /**
   * Carries a call to the leader, again after a change of the leader. Calls
   * are idempotent.
   */
  async call(call: Call, timeoutMs: number): Promise<CallOutcome> {
    const takenAt = performance.now();
    const deadline = takenAt + timeoutMs;
    let mayHaveRun = false;
    let obstacle: CallObstacle = 'none';
    for (;;) {
      const left = deadline - performance.now();
      const hopeless =
        this.options.handleLocally === undefined && this.isIsolated;
      if (hopeless) obstacle = 'isolated';
      if (left <= 0 || hopeless) {
        return {type: 'unanswered', mayHaveRun, obstacle};
      }
      const ageMs = performance.now() - takenAt;
      const origin = {ageMs, repeated: mayHaveRun};
      const reply = await this.attempt(call, origin, left);
      if (typeof reply === 'object' && isFinal(reply)) {
        // A later leader doesn't know what an earlier one began.
        if (reply.type !== 'refused' || !mayHaveRun) {
          return {type: 'replied', reply};
        }
        return {type: 'unanswered', mayHaveRun, obstacle: 'refused'};
      }
      obstacle = typeof reply === 'object' ? reply.type : reply;
      if (reply === 'lost' || reply === 'timeout') mayHaveRun = true;
      if (typeof reply === 'object' && reply.type === 'interrupted') {
        mayHaveRun = true;
      }
      const pause =
        reply === 'no-leader' ? ISOLATION_GRACE_MS : REPEAT_PAUSE_MS;
      await this.changed(Math.min(pause, deadline - performance.now()));
    }
  }

  close(): void {
    for (const {link} of this.peers.values()) link.close();
  }

  private async attempt(
    call: Call,
    origin: CallOrigin,
    timeoutMs: number,
  ): Promise<Reply | 'lost' | 'timeout' | 'no-leader'> {
    const local = this.options.handleLocally?.(call, origin);
    if (local) return Promise.race([local, expiry(timeoutMs)]);
    const {leader} = this;
    if (!leader) return 'no-leader';
    return this.exchange(leader, {call, origin}, timeoutMs);
  }

  private exchange(
    peer: Peer,
    content: {readonly call: Call; readonly origin: CallOrigin},
    timeoutMs: number,
  ): Promise<Reply | 'lost' | 'timeout'> {
    const id = this.nextId++;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        peer.pending.delete(id);
        resolve('timeout');
      }, timeoutMs);
      peer.pending.set(id, reply => {
        clearTimeout(timer);
        peer.pending.delete(id);
        resolve(reply);
      });
      peer.link.send({type: 'call', id, ...content});
    });
  }

  private get leader(): Peer | null {
    const address = this.known?.leader;
    const peer = address ? this.peers.get(address) : undefined;
    return peer?.link.isUp ? peer : null;
  }

  private connect(address: string): void {
    if (address === this.options.self.address) return;
    if (this.peers.has(address)) return;
    const link = new FrameLink<PeerMessage>({
      address,
      onMessage: message => this.receive(address, message),
      onUp: () => this.up(address),
      onDown: () => this.down(address),
      onMalformed: err =>
        this.options.logger.warn('member-message-malformed', {
          peer: address,
          err,
        }),
    });
    this.peers.set(address, {address, link, pending: new Map()});
  }

  private up(address: string): void {
    const peer = this.peers.get(address);
    if (!peer) return;
    this.options.logger.info('member-connected', {peer: address});
    peer.link.send(this.options.self);
    this.notify();
  }

  private down(address: string): void {
    const peer = this.peers.get(address);
    if (!peer) return;
    this.options.logger.warn('member-disconnected', {
      peer: address,
      pendingCalls: peer.pending.size,
    });
    for (const settle of [...peer.pending.values()]) settle('lost');
    this.options.onDisconnected?.(address);
    this.notify();
  }

  private receive(address: string, message: PeerMessage): void {
    if (message.type === 'reply') {
      this.peers.get(address)?.pending.get(message.id)?.(message.reply);
    } else if (message.type === 'view') {
      this.merge(message.view);
    } else if (message.type === 'order-outcome') {
      this.options.onOrderOutcome?.(address, message);
    }
  }

  /** Keeps the view of the highest term, and in one term the known leader. */
  private merge(view: GroupView): void {
    this.addMembers(view.members);
    const {known} = this;
    const newer =
      !known ||
      view.term > known.term ||
      (view.term === known.term && view.leader !== null);
    if (!newer) return;
    const changed = known?.leader !== view.leader || known?.term !== view.term;
    this.known = view;
    if (!changed) return;
    const {term, leader} = view;
    this.options.logger.info('leader-changed', {term, leader});
    if (leader !== null) this.leaveOthers(leader);
    this.notify();
  }

  /** An earlier leader that is paused would leave its calls unanswered. */
  private leaveOthers(leader: string): void {
    for (const {address, pending} of this.peers.values()) {
      if (address === leader || pending.size === 0) continue;
      const left = [...pending.values()];
      setTimeout(() => left.forEach(settle => settle('lost')), FAREWELL_MS);
    }
  }

  /**
   * A gateway needs the path to the leader; without one it needs to know soon
   * which members it still reaches.
   */
  private watchLinks(): void {
    if (this.options.handleLocally !== undefined) return;
    const {leader} = this;
    for (const peer of this.peers.values()) {
      const isNeeded = leader === null || peer === leader;
      peer.link.setWatch(isNeeded ? CLOSE_WATCH : LOOSE_WATCH);
    }
  }

  private notify(): void {
    this.watchLinks();
    const voters = this.known?.voters ?? [];
    const reached = voters.filter(v => this.isConnected(v)).length;
    if (reached * 2 > voters.length) this.cutOffAt = null;
    else this.cutOffAt ??= performance.now();
    for (const waiter of [...this.waiters]) waiter();
  }

  /** Resolves at the next change of the leader or a link, or after a time. */
  private changed(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, Math.max(1, timeoutMs));
      this.waiters.add(done);
    });
  }
}

function isFinal(
  reply: Reply,
): reply is Exclude<Reply, {type: 'not-leader' | 'interrupted'}> {
  return reply.type !== 'not-leader' && reply.type !== 'interrupted';
}

function expiry(ms: number): Promise<'timeout'> {
  return new Promise(resolve => setTimeout(() => resolve('timeout'), ms));
}
