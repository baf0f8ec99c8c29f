/** Messages between the upstream registries of one data centre. */
import type {
  UpstreamAnnouncement,
  UpstreamId,
  UsageReport,
} from '@mustardferry/model';

/** A change that an instance learned from the upstream, not from a peer. */
export type UpstreamChange =
  /** The sender now receives the renewals of this upstream. */
  | {readonly type: 'held'; readonly announcement: UpstreamAnnouncement}
  /** The sender no longer receives the renewals of this upstream. */
  | {readonly type: 'released'; readonly id: UpstreamId}
  /** The upstream accepts no new tasks. */
  | {readonly type: 'leaving'; readonly id: UpstreamId};

/** Sender of a message and position of the message among those it sent. */
export interface RegistrySender {
  readonly from: string;
  /** Grows with each start of the sender, for example start time in ms. */
  readonly session: number;
  /** Grows with each message of the session. */
  readonly sequence: number;
}

/** Message between two registries. */
export type UpstreamPeerMessage = RegistrySender &
  (
    | {
        readonly type: 'changes';
        /** Number of changes in this session, including the listed ones. */
        readonly version: number;
        readonly changes: readonly UpstreamChange[];
      }
    /** Heartbeat for every upstream that the sender holds at this version. */
    | {readonly type: 'summary'; readonly version: number}
    /** Full state, sent on request and to new peers. */
    | {
        readonly type: 'full';
        readonly version: number;
        readonly held: readonly UpstreamAnnouncement[];
        readonly leaving: readonly UpstreamId[];
      }
    | {readonly type: 'usage'; readonly reports: readonly UsageReport[]}
  );

/** What the receiver of a message has to do next. */
export type ReceiveResult =
  /** The message was applied, or was outdated and had no effect. */
  | {readonly next: 'nothing'}
  /** Messages were lost; the sender must be asked for its full state. */
  | {readonly next: 'request-full'};

/** Reply to an announcement. */
export type AnnounceResult =
  | {readonly accepted: true; readonly state: 'available' | 'leaving'}
  | {
      readonly accepted: false;
      readonly reason: 'old-incarnation' | 'left' | 'registry-full';
    };

/** Change of one upstream, sent to listeners. */
export interface UpstreamEvent {
  readonly type: 'available' | 'leaving' | 'expired';
  readonly announcement: UpstreamAnnouncement;
}

/** A usage report with the time of its observation. */
export interface ObservedUsage {
  readonly report: UsageReport;
  /** Time of the observation on the clock of this registry. */
  readonly observedAtMs: number;
}

/** An upstream in the registry. */
export interface RegisteredUpstream {
  readonly announcement: UpstreamAnnouncement;
  readonly state: 'available' | 'leaving';
  /** Instance that receives its renewals; empty when unknown. */
  readonly holder: string;
  /** Time of the last renewal, or of the last heartbeat of the holder. */
  readonly confirmedAtMs: number;
  readonly usage?: ObservedUsage;
}
