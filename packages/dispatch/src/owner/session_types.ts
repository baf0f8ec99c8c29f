/** Options and events of a session with an upstream. */
import type {EvacuationTable} from '../jobs/evacuations.js';
import type {
  ActiveRun,
  RunEnd,
  StartRefusal,
  UpstreamPort,
} from '../upstreams/upstream_port.js';
import type {UpstreamRecord} from '../upstreams/upstream_types.js';
import type {Run} from './job_table_types.js';
import type {UpstreamSession} from './upstream_session.js';

/** State of the contact with an upstream. */
export type Contact =
  /** Has not answered under this owner's token yet. */
  | 'fencing'
  | 'live'
  /** Two holds in a row had no answer; its leases are no longer extended. */
  | 'silent'
  /** Its leases have expired, so none of this owner's runs is active there. */
  | 'lost';

/** Events of a session; the methods must not throw. */
export interface SessionEvents {
  /**
   * All run ends up to an answer under this owner's token are known, for the
   * first time.
   */
  fenced(session: UpstreamSession): void;
  contactChanged(session: UpstreamSession, from: Contact, cause: string): void;
  /**
   * Run ends that were not seen before; resolves with whether they were
   * committed and may be acknowledged.
   *
   * @param earlier Whether all earlier ends were committed. The new ones must
   *     not be committed first, as a position acknowledges all ends up to it.
   */
  ended(
    session: UpstreamSession,
    ends: readonly RunEnd[],
    earlier: Promise<boolean>,
  ): Promise<boolean>;
  /** A run ended without an entry in the list of ends. */
  runLost(run: Run, cause: string): void;
  startRefused(run: Run, reason: StartRefusal | 'not-sent'): void;
  /** A hold was answered, so the progress of all runs is up to date. */
  holdAnswered(session: UpstreamSession): void;
  /** The upstream lists a run that this session doesn't track. */
  runFound(session: UpstreamSession, active: ActiveRun): void;
  /**
   * Another incarnation, or another upstream, answered at the address.
   *
   * @param startedAt Start of that incarnation; undefined if it is not known.
   */
  otherProcess(session: UpstreamSession, startedAt: number | undefined): void;
  /** The upstream has accepted a higher token. */
  superseded(session: UpstreamSession): void;
}

/** Options of a session. */
export interface SessionOptions {
  readonly record: UpstreamRecord;
  /** Position up to which its run ends are committed. */
  readonly acknowledged: number;
  /** A reading of its clock; undefined after a change of the leader. */
  readonly clockMs: number | undefined;
  readonly token: number;
  /** Longest lease that this owner grants, in milliseconds. */
  readonly leaseMs: number;
  /** Length in ms to which the upstream shortens a lease. */
  readonly maxLeaseMs: number;
  readonly port: UpstreamPort;
  /** Tells the data centres in which no task may start. */
  readonly evacuations: Pick<EvacuationTable, 'isEvacuated'>;
  readonly events: SessionEvents;
  /** Whether this process may send orders now. */
  readonly maySendOrders: () => boolean;
}
