/** Registers upstreams by their announcements. */
import type {Logger} from '@mustardferry/runtime';

import type {DispatchState} from '../jobs/dispatch_state.js';
import type {UpstreamPort} from '../upstreams/upstream_port.js';
import {
  type Announcement,
  areRecordsEqual,
  toUpstreamRecord,
  upstreamKey,
  type UpstreamRecord,
} from '../upstreams/upstream_types.js';
import type {Dispatcher, Propose} from './dispatcher.js';
import {UpstreamSession} from './upstream_session.js';

/** Options of the registrar. */
export interface RegistrarOptions {
  readonly state: DispatchState;
  readonly dispatcher: Dispatcher;
  readonly propose: Propose;
  readonly port: UpstreamPort;
  readonly logger: Logger;
  readonly token: number;
  readonly leaseMs: number;
  readonly mayOrder: () => boolean;
}

/** Quiet time in ms after which an upstream without runs is forgotten. */
const FORGET_AFTER_MS = 15_000;

/** Keeps one session for each registered life. */
export class Registrar {
  private readonly sessions = new Map<string, UpstreamSession>();

  constructor(private readonly options: RegistrarOptions) {}

  get all(): readonly UpstreamSession[] {
    return [...this.sessions.values()];
  }

  /** Opens sessions with all upstreams that the state holds. */
  recover(): void {
    for (const {
      record,
      acknowledged,
    } of this.options.state.upstreams.values()) {
      this.open(record, acknowledged, undefined);
    }
  }

  /** Takes an announcement; resolves once it is in force. */
  async announce(announcement: Announcement): Promise<void> {
    const {state, propose, logger} = this.options;
    const record = toUpstreamRecord(announcement);
    const known = state.upstreams.get(record.id)?.record;
    if (known && known.startedAt > record.startedAt) {
      logger.info('announcement-ignored', {
        upstream: record.id,
        startedAt: record.startedAt,
        known: known.startedAt,
        reason: 'older life',
      });
      return;
    }
    const session = this.sessions.get(record.id);
    const current = session?.key === upstreamKey(record) ? session : undefined;
    if (current && announcement.sequence <= current.sequence) return;
    if (current) {
      current.sequence = announcement.sequence;
      current.heard(announcement.clockMs);
      // Effective at once, so that no start follows the acknowledgement.
      if (record.leaving) current.update({...current.record, leaving: true});
    }
    if (known && areRecordsEqual(known, record)) return;
    await propose({type: 'upstream', upstream: record});
    this.apply(announcement);
  }

  /** Takes the farewell of an upstream. */
  async leave(id: string): Promise<void> {
    const known = this.options.state.upstreams.get(id)?.record;
    if (!known) return;
    const session = this.sessions.get(id);
    if (session) session.retiring = true;
    this.options.logger.info('upstream-left', {upstream: id});
    await this.forget(known);
  }

  /** Replaces the session of a life that another one has followed. */
  replaced(session: UpstreamSession, startedAt: number | undefined): void {
    const {record} = session;
    if (startedAt !== undefined && startedAt < record.startedAt) return;
    if (this.sessions.get(record.id) !== session) return;
    const cause = 'another life answered at its address';
    if (startedAt === undefined) {
      // The announcement of the other upstream opens its session.
      this.close(session, cause);
      this.forgetLater(record);
      return;
    }
    const next = {...record, startedAt};
    this.close(session, cause, this.open(next, 0, undefined));
    this.options.propose({type: 'upstream', upstream: next}).catch(() => {
      // Logged by the proposer; the next announcement repeats it.
    });
  }

  /** Forgets upstreams that stay silent; to be called about once a second. */
  sweep(now: number): void {
    for (const session of this.all) {
      const quiet = now - session.heardAt > FORGET_AFTER_MS;
      const over = session.retiring && session.runs.size === 0;
      if ((!quiet && !over) || session.runs.size > 0) continue;
      this.close(session, quiet ? 'silent' : 'left');
      this.forgetLater(session.record);
    }
  }

  private apply(announcement: Announcement): void {
    const record = toUpstreamRecord(announcement);
    const session = this.sessions.get(record.id);
    if (session && session.key === upstreamKey(record)) {
      session.update(record);
      this.options.dispatcher.schedule();
      return;
    }
    if (session && session.record.startedAt > record.startedAt) return;
    this.closeAtAddress(record);
    const opened = this.open(record, 0, announcement.clockMs);
    opened.sequence = announcement.sequence;
    if (session) this.close(session, 'a new life announced itself', opened);
  }

  /** An address belongs to its newest life; what used it before has ended. */
  private closeAtAddress({id, address, startedAt}: UpstreamRecord): void {
    for (const other of this.all) {
      const {record} = other;
      const older = record.id !== id && record.startedAt <= startedAt;
      if (record.address !== address || !older) continue;
      this.close(other, 'its address is used by a newer life');
      this.forgetLater(record);
    }
  }

  private open(
    record: UpstreamRecord,
    acknowledged: number,
    clockMs: number | undefined,
  ): UpstreamSession {
    const {dispatcher, port, token, leaseMs, mayOrder, logger} = this.options;
    const session = new UpstreamSession({
      record,
      acknowledged,
      clockMs,
      token,
      leaseMs,
      port,
      events: dispatcher,
      mayOrder,
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

  private close(
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

  private forgetLater(record: UpstreamRecord): void {
    this.forget(record).catch(() => {
      // Logged by the proposer; the next owner sweeps again.
    });
  }

  private async forget({id, startedAt}: UpstreamRecord): Promise<void> {
    await this.options.propose({
      type: 'forget-upstream',
      life: {id, startedAt},
    });
  }
}
