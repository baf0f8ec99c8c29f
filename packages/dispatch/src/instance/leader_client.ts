/** Finds the leader among the members and sends calls to it. */
import {CLOSE_WATCH, FrameLink, LOOSE_WATCH} from '@mustardferry/links';
import type {Logger} from '@mustardferry/runtime';

import type {Call, CallOrigin, GroupView, Reply} from '../messages/calls.js';
import type {Hello, PeerMessage} from '../messages/peer_messages.js';
import {
  type CallObstacle,
  type CallOutcome,
  isFinalReply,
} from './call_outcome.js';
import {ChangeSignal} from './change_signal.js';
import {LeaderlessPeriod} from './leaderless_period.js';
import type {CarrierEvents} from './order_relay.js';

/** Options of a client. */
export interface LeaderClientOptions {
  readonly self: Hello;
  /** Addresses of the members to contact first. */
  readonly seeds: readonly string[];
  readonly logger: Logger;
  /** Handles calls on the leader itself; returns null on other members. */
  readonly handleLocally?: (
    call: Call,
    origin: CallOrigin,
  ) => Promise<Reply> | null;
  /** Receives what the members report as carriers of orders. */
  readonly carriers?: CarrierEvents;
}

interface Peer {
  readonly address: string;
  readonly link: FrameLink<PeerMessage>;
  readonly pending: Map<number, (reply: Reply | 'lost') => void>;
}

/** Time in ms that connections need to reopen after a reset. */
const ISOLATION_GRACE_MS = 300;

/** Time in ms for a replaced leader that still runs to answer its calls. */
const REPLACED_LEADER_GRACE_MS = 100;

/** Delay in ms before a call is retried, unless the view changes sooner. */
const RETRY_DELAY_MS = 40;

/** Obstacles after which a call may have taken effect. */
const UNCERTAIN_OBSTACLES: readonly CallObstacle[] = [
  'lost',
  'timeout',
  'interrupted',
];

/** Client of the leader, one per instance; owns the links to all members. */
export class LeaderClient {
  readonly name = 'leader-client';
  private readonly peers = new Map<string, Peer>();
  private readonly changes = new ChangeSignal();
  private readonly leaderless = new LeaderlessPeriod();
  private nextCallId = 1;
  private known: GroupView | null = null;
  /** Since when no majority of voters is connected; null while one is. */
  private isolatedSince: number | null = performance.now();

  constructor(private readonly options: LeaderClientOptions) {
    for (const seed of options.seeds) this.connect(seed);
  }

  /** The latest view of the group; null until one is received. */
  get view(): GroupView | null {
    return this.known;
  }

  /** Whether a connection to the leader is open. */
  get isLeaderConnected(): boolean {
    return this.leader !== null;
  }

  /**
   * Whether no majority of the voters has been connected for a while, longer
   * than connections need to reopen. As seen from here, no voter can lead then.
   */
  get isIsolated(): boolean {
    const {isolatedSince} = this;
    if (isolatedSince === null) return false;
    return performance.now() - isolatedSince >= ISOLATION_GRACE_MS;
  }

  /** Merges the view of this instance itself. */
  addOwnView(view: GroupView): void {
    this.mergeView(view);
  }

  /** Connects to the members that are not known yet. */
  addMembers(addresses: readonly string[]): void {
    for (const address of addresses) this.connect(address);
  }

  /** Sends a message to a member; returns false if it is not connected. */
  send(address: string, message: PeerMessage): boolean {
    return this.peers.get(address)?.link.send(message) ?? false;
  }

  /** Whether the connection to a member is open. */
  isConnected(address: string): boolean {
    return this.peers.get(address)?.link.isUp ?? false;
  }

  /**
   * Sends a call to the leader, and retries it if the leader changes. Calls are
   * idempotent. No attempt starts once the call is no longer wanted.
   */
  async call(
    call: Call,
    timeoutMs: number,
    isWanted = () => true,
  ): Promise<CallOutcome> {
    const deadline = performance.now() + timeoutMs;
    let mayHaveRun = false;
    let obstacle: CallObstacle = 'none';
    for (;;) {
      const left = deadline - performance.now();
      const isUnreachable =
        this.options.handleLocally === undefined && this.isIsolated;
      if (isUnreachable) obstacle = 'isolated';
      if (left <= 0 || isUnreachable || !isWanted()) {
        return {type: 'unanswered', mayHaveRun, obstacle};
      }
      const origin = {ageMs: timeoutMs - left, repeated: mayHaveRun};
      const reply = await this.attempt(call, origin, left);
      if (typeof reply === 'object' && isFinalReply(reply)) {
        // A new leader doesn't know what an earlier leader has started.
        if (reply.type !== 'refused' || !mayHaveRun) {
          return {type: 'replied', reply};
        }
        return {type: 'unanswered', mayHaveRun, obstacle: 'refused'};
      }
      obstacle = typeof reply === 'object' ? reply.type : reply;
      if (UNCERTAIN_OBSTACLES.includes(obstacle)) mayHaveRun = true;
      if (reply === 'no-leader' && !this.leaderless.mayWait(call, deadline)) {
        return {type: 'unanswered', mayHaveRun, obstacle};
      }
      const maxDelayMs =
        reply === 'no-leader' ? ISOLATION_GRACE_MS : RETRY_DELAY_MS;
      await this.changes.wait(
        Math.min(maxDelayMs, deadline - performance.now()),
      );
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
    if (local) return Promise.race([local, resolveOnTimeout(timeoutMs)]);
    const {leader} = this;
    if (!leader) return 'no-leader';
    return this.sendCall(leader, {call, origin}, timeoutMs);
  }

  private sendCall(
    peer: Peer,
    content: {readonly call: Call; readonly origin: CallOrigin},
    timeoutMs: number,
  ): Promise<Reply | 'lost' | 'timeout'> {
    const id = this.nextCallId++;
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
      onMessage: message => this.handleMessage(address, message),
      onUp: () => this.handleLinkUp(address),
      onDown: () => this.handleLinkDown(address),
      onMalformed: err =>
        this.options.logger.warn('member-message-malformed', {
          peer: address,
          err,
        }),
    });
    this.peers.set(address, {address, link, pending: new Map()});
  }

  private handleLinkUp(address: string): void {
    const peer = this.peers.get(address);
    if (!peer) return;
    this.options.logger.info('member-connected', {peer: address});
    peer.link.send(this.options.self);
    this.handleChange();
  }

  private handleLinkDown(address: string): void {
    const peer = this.peers.get(address);
    if (!peer) return;
    this.options.logger.warn('member-disconnected', {
      peer: address,
      pendingCalls: peer.pending.size,
    });
    for (const settle of [...peer.pending.values()]) settle('lost');
    this.options.carriers?.lost(address);
    this.handleChange();
  }

  private handleMessage(address: string, message: PeerMessage): void {
    if (message.type === 'reply') {
      this.peers.get(address)?.pending.get(message.id)?.(message.reply);
    } else if (message.type === 'view') {
      const {view, clockMs} = message;
      this.options.carriers?.clockRead(address, clockMs);
      this.mergeView(view);
    } else if (message.type === 'order-outcome') {
      this.options.carriers?.outcome(address, message);
    }
  }

  /** Keeps the view with the highest term; within a term, a known leader. */
  private mergeView(view: GroupView): void {
    this.addMembers(view.members);
    const {known} = this;
    const isNewer =
      !known ||
      view.term > known.term ||
      (view.term === known.term && view.leader !== null);
    if (!isNewer) return;
    const changed = known?.leader !== view.leader || known?.term !== view.term;
    this.known = view;
    if (!changed) return;
    const {term, leader} = view;
    this.options.logger.info('leader-changed', {term, leader});
    if (leader !== null) this.failCallsToOthers(leader);
    this.handleChange();
  }

  /** Fails the calls to other members: a paused leader would never answer. */
  private failCallsToOthers(leader: string): void {
    for (const {address, pending} of this.peers.values()) {
      if (address === leader || pending.size === 0) continue;
      const left = [...pending.values()];
      setTimeout(
        () => left.forEach(settle => settle('lost')),
        REPLACED_LEADER_GRACE_MS,
      );
    }
  }

  /**
   * A gateway monitors the link to the leader closely. While no leader is
   * connected, it monitors all links, to detect soon which voters it has lost.
   */
  private adjustLinkWatches(): void {
    if (this.options.handleLocally !== undefined) return;
    const {leader} = this;
    for (const peer of this.peers.values()) {
      const isNeeded = leader === null || peer === leader;
      peer.link.setWatch(isNeeded ? CLOSE_WATCH : LOOSE_WATCH);
    }
  }

  private handleChange(): void {
    this.adjustLinkWatches();
    this.leaderless.update(this.leader !== null);
    const voters = this.known?.voters ?? [];
    const connectedCount = voters.filter(v => this.isConnected(v)).length;
    if (connectedCount * 2 > voters.length) this.isolatedSince = null;
    else this.isolatedSince ??= performance.now();
    this.changes.notify();
  }
}

function resolveOnTimeout(ms: number): Promise<'timeout'> {
  return new Promise(resolve => setTimeout(() => resolve('timeout'), ms));
}
