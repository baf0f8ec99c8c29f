/** Registers upstreams from their announcements. */
import type {Logger} from '@mustardferry/runtime';

import type {HeardUpstream} from '../jobs/commands.js';
import type {DispatchState} from '../jobs/dispatch_state.js';
import type {UpstreamPort} from '../upstreams/upstream_port.js';
import {
  type Announcement,
  areRecordsEqual,
  toUpstreamRecord,
  upstreamKey,
  type UpstreamRecord,
} from '../upstreams/upstream_types.js';
import type {Dispatcher} from './dispatcher.js';
import {DisplacementCheck} from './displacement_check.js';
import type {Propose} from './proposer.js';
import {UpstreamSession} from './upstream_session.js';

/** Options of the session registry. */
export interface SessionRegistryOptions {
  readonly state: DispatchState;
  readonly dispatcher: Dispatcher;
  readonly propose: Propose;
  readonly port: UpstreamPort;
  readonly logger: Logger;
  readonly token: number;
  readonly leaseMs: number;
  readonly maxLeaseMs: number;
  readonly maySendOrders: () => boolean;
}

interface ClockReading {
  readonly clockMs: number;
  /** When the announcement arrived, by this process's clock in ms. */
  readonly at: number;
}

/** Time without contact after which an upstream without runs is removed. */
const INACTIVE_TIMEOUT_MS = 15_000;

/** Sequence number of an incarnation that has not announced itself yet. */
const NO_ANNOUNCEMENT = -1;

/** Keeps one session for each registered upstream. */
export class SessionRegistry {
  private readonly sessions = new Map<string, UpstreamSession>();
  private readonly displacement = new DisplacementCheck();
  /** Clocks of the upstreams in their newest announcements. */
  private readonly clockReadings = new WeakMap<UpstreamSession, ClockReading>();

  constructor(private readonly options: SessionRegistryOptions) {}

  get openSessions(): readonly UpstreamSession[] {
    return [...this.sessions.values()];
  }

  /** Opens sessions with all upstreams in the replicated state. */
  recoverSessions(): void {
    for (const {
      record,
      acknowledged,
    } of this.options.state.upstreams.values()) {
      const session = this.open(record, acknowledged, undefined);
      session.sequence = record.sequence ?? NO_ANNOUNCEMENT;
    }
  }

  /** Applies an announcement; resolves once it has taken effect. */
  async announce(announcement: Announcement): Promise<void> {
    const {state, propose, logger} = this.options;
    const record = toUpstreamRecord(announcement);
    const present = await this.displacement.findPresent(
      announcement,
      this.openSessions,
    );
    const returned = state.hasReturned(announcement);
    const reason = returned ? null : this.findReasonToIgnore(record, present);
    const known = state.upstreams.get(record.id)?.record;
    if (reason !== null) {
      logger.info('announcement-ignored', {
        upstream: record.id,
        startedAt: record.startedAt,
        known: known?.startedAt,
        present: present?.key,
        reason,
      });
      return;
    }
    const session = this.sessions.get(record.id);
    const current = session?.key === upstreamKey(record) ? session : undefined;
    if (current && announcement.sequence <= current.sequence) return;
    if (current) {
      current.sequence = announcement.sequence;
      this.observeClock(current, announcement);
      // Applied before the commit, so that no start follows the reply.
      if (record.leaving)
        current.updateRecord({...current.record, leaving: true});
    }
    if (known && areRecordsEqual(known, record)) return;
    if (returned) logger.warn('upstream-returned', {upstream: record.id});
    const mark = returned ? {returned} : {};
    await propose({type: 'upstream', upstream: record, ...mark});
    if (returned && current) current.deregistered = false;
    this.applyAnnouncement(announcement);
  }

  /**
   * A delayed announcement must not bring back what was replaced or left, and
   * one of another sender must not displace an upstream that is there.
   */
  private findReasonToIgnore(
    record: UpstreamRecord,
    present: UpstreamSession | undefined,
  ): string | null {
    const {state} = this.options;
    const known = state.upstreams.get(record.id)?.record;
    if (known && known.startedAt > record.startedAt) return 'older incarnation';
    if (state.hasLeft(record)) return 'has left';
    if (this.contradictsPool(record)) return 'in another pool';
    return present ? 'another upstream is there' : null;
  }

  /** An incarnation stays in the pool that it has announced. */
  private contradictsPool(record: UpstreamRecord): boolean {
    const session = this.sessions.get(record.id);
    if (!session || session.key !== upstreamKey(record)) return false;
    const wasAnnounced = session.sequence > NO_ANNOUNCEMENT;
    return wasAnnounced && session.record.pool !== record.pool;
  }

  /** Deregisters an upstream at its own request. */
  async leave(id: string): Promise<void> {
    const known = this.options.state.upstreams.get(id)?.record;
    if (!known) return;
    const session = this.sessions.get(id);
    if (session) session.deregistered = true;
    this.options.logger.info('upstream-left', {upstream: id});
    const heard = session && this.findHeard(session);
    await this.forgetUpstream(known, {left: true, ...(heard ? {heard} : {})});
  }

  private findHeard(session: UpstreamSession): HeardUpstream | undefined {
    const reading = this.clockReadings.get(session);
    if (!reading) return undefined;
    const clockMs = reading.clockMs + performance.now() - reading.at;
    return {sequence: session.sequence, clockMs};
  }

  private observeClock(
    session: UpstreamSession,
    {clockMs}: Announcement,
  ): void {
    session.observeAnnouncement(clockMs);
    this.clockReadings.set(session, {clockMs, at: performance.now()});
  }

  /**
   * Replaces a session after another incarnation or upstream answered for it.
   *
   * @param startedAt Start of that incarnation; undefined if it is not known.
   */
  replaced(session: UpstreamSession, startedAt: number | undefined): void {
    const {record} = session;
    if (startedAt !== undefined && startedAt < record.startedAt) return;
    if (this.sessions.get(record.id) !== session) return;
    const cause = 'another incarnation answered at its address';
    if (startedAt === undefined) {
      // The announcement of the other upstream opens its session.
      this.closeSession(session, cause);
      this.forgetInBackground(record);
      return;
    }
    const announced = this.displacement.getPending(record.id, startedAt);
    const next = announced
      ? toUpstreamRecord(announced)
      : {...record, startedAt, sequence: NO_ANNOUNCEMENT};
    this.closeSession(session, cause, this.open(next, 0, undefined));
    this.options.propose({type: 'upstream', upstream: next}).catch(() => {
      // Logged by the proposer; the next announcement proposes it again.
    });
  }

  /**
   * Removes upstreams that stay silent or have left, once they have no runs. To
   * be called about once a second.
   */
  removeInactiveUpstreams(now: number): void {
    for (const session of this.openSessions) {
      const isSilent = now - session.lastContactAt > INACTIVE_TIMEOUT_MS;
      if (!isSilent && !session.deregistered) continue;
      if (this.options.dispatcher.hasRuns(session)) continue;
      this.closeSession(session, isSilent ? 'silent' : 'left');
      this.forgetInBackground(session.record);
    }
  }

  private applyAnnouncement(announcement: Announcement): void {
    const record = toUpstreamRecord(announcement);
    const session = this.sessions.get(record.id);
    if (session && session.key === upstreamKey(record)) {
      this.options.dispatcher.updateSession(session, record);
      return;
    }
    if (session && session.record.startedAt > record.startedAt) return;
    const opened = this.open(record, 0, announcement.clockMs);
    opened.sequence = announcement.sequence;
    this.observeClock(opened, announcement);
    if (session)
      this.closeSession(session, 'a new incarnation announced itself', opened);
  }

  private open(
    record: UpstreamRecord,
    acknowledged: number,
    clockMs: number | undefined,
  ): UpstreamSession {
    const {dispatcher, logger} = this.options;
    const session = new UpstreamSession({
      ...this.options,
      evacuations: this.options.state.evacuations,
      record,
      acknowledged,
      clockMs,
      events: dispatcher,
    });
    this.sessions.set(record.id, session);
    dispatcher.addSession(session);
    logger.info('upstream-joined', {
      upstream: record.id,
      address: record.address,
      pool: record.pool,
      startedAt: record.startedAt,
      acknowledged,
    });
    return session;
  }

  private closeSession(
    session: UpstreamSession,
    cause: string,
    successor?: UpstreamSession,
  ): void {
    const {id} = session.record;
    if (this.sessions.get(id) === session) this.sessions.delete(id);
    this.options.dispatcher.removeSession(session, cause, successor);
    this.options.logger.info('upstream-closed', {
      upstream: session.record.id,
      startedAt: session.record.startedAt,
      cause,
    });
  }

  private forgetInBackground(record: UpstreamRecord): void {
    this.forgetUpstream(record).catch(() => {
      // Logged by the proposer; the next owner tries again.
    });
  }

  private async forgetUpstream(
    {id, startedAt}: UpstreamRecord,
    departure: {readonly left?: boolean; readonly heard?: HeardUpstream} = {},
  ): Promise<void> {
    await this.options.propose({
      type: 'forget-upstream',
      life: {id, startedAt},
      ...departure,
    });
  }
}
