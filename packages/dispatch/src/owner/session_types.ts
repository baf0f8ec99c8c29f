/** What a session with an upstream needs and reports. */
import type {
  ActiveRun,
  RunEnd,
  StartRefusal,
  UpstreamPort,
} from '../upstreams/upstream_port.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import type {Run} from './job_table_types.js';
import type {UpstreamSession} from './upstream_session.js';

/** Contact with an upstream. */
export type Contact =
  /** Has not answered this owner yet. */
  | 'fencing'
  | 'live'
  /** Two orders in a row had no answer; its leases are left to run out. */
  | 'silent'
  /** Its leases are over, so nothing of this owner runs there. */
  | 'lost';

/** What a session reports; methods must not throw. */
export interface SessionEvents {
  /** First answer under this owner's token. */
  fenced(session: UpstreamSession): void;
  contactChanged(session: UpstreamSession, from: Contact, cause: string): void;
  /**
   * Ends that were not seen before; resolves with whether they were committed
   * and may be acknowledged.
   *
   * @param earlier Whether all ends before were committed. These must not be
   *     committed sooner, as a position stands for all ends up to it.
   */
  ended(
    session: UpstreamSession,
    ends: readonly RunEnd[],
    earlier: Promise<boolean>,
  ): Promise<boolean>;
  /** A run ended without an entry in the list of ends. */
  runLost(run: Run, cause: string): void;
  startRefused(run: Run, reason: StartRefusal | 'not-sent'): void;
  /** The runs made progress, or none. */
  holdAnswered(session: UpstreamSession): void;
  /** A run that this session did not start. */
  runFound(session: UpstreamSession, active: ActiveRun): void;
  /** A newer life answered at the address. */
  otherProcess(session: UpstreamSession, startedAt: number | undefined): void;
  /** A higher token is in force on the upstream. */
  superseded(session: UpstreamSession): void;
}

/** Options of a session. */
export interface SessionOptions {
  readonly record: UpstreamRecord;
  /** Position up to which its ends are part of the replicated state. */
  readonly acknowledged: number;
  /** A reading of its clock; unknown after a change of the leader. */
  readonly clockMs: number | undefined;
  readonly token: number;
  /** Longest lease in milliseconds. */
  readonly leaseMs: number;
  readonly port: UpstreamPort;
  readonly events: SessionEvents;
  /** Whether this process may give orders now. */
  readonly maySendOrders: () => boolean;
}
