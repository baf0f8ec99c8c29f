/** Messages between the upstream registries of one data centre. */
import type {
  UpstreamAnnouncement,
  UpstreamId,
  UsageReport,
} from '@mustardferry/model';

/** One change of what an instance knows at first hand. */
export type UpstreamChange =
  /** The sender receives the renewals of this upstream. */
  | {readonly type: 'held'; readonly announcement: UpstreamAnnouncement}
  /** The sender receives its renewals no longer. */
  | {readonly type: 'released'; readonly id: UpstreamId}
  /** The upstream takes no new work. */
  | {readonly type: 'leaving'; readonly id: UpstreamId};

/** Sender of a message, and the place of the message in what it sent. */
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
        /** Number of changes of this session, the listed ones included. */
        readonly version: number;
        readonly changes: readonly UpstreamChange[];
      }
    /** Every upstream that the sender held at this version is alive. */
    | {readonly type: 'summary'; readonly version: number}
    /** Everything; sent on request and to new peers. */
    | {
        readonly type: 'full';
        readonly version: number;
        readonly held: readonly UpstreamAnnouncement[];
        readonly leaving: readonly UpstreamId[];
      }
    | {readonly type: 'usage'; readonly reports: readonly UsageReport[]}
  );

/** What the receiver of a message does next. */
export type ReceiveResult =
  /** Applied, or an old message that changes nothing. */
  | {readonly next: 'nothing'}
  /** Messages were lost: ask the sender for its full state. */
  | {readonly next: 'request-full'};

/** Reply to an announcement. */
export type AnnounceResult =
  | {readonly accepted: true; readonly state: 'available' | 'leaving'}
  | {
      readonly accepted: false;
      readonly reason: 'old-incarnation' | 'left' | 'registry-full';
    };

/** Tells listeners about one upstream. */
export interface UpstreamEvent {
  readonly type: 'available' | 'leaving' | 'expired';
  readonly announcement: UpstreamAnnouncement;
}

/** A usage report with the time that it describes. */
export interface ObservedUsage {
  readonly report: UsageReport;
  /** Time of the observation on the clock of this registry. */
  readonly observedAtMs: number;
}

/** One upstream as the registry knows it. */
export interface RegisteredUpstream {
  readonly announcement: UpstreamAnnouncement;
  readonly state: 'available' | 'leaving';
  /** Instance that receives its renewals. */
  readonly holder: string;
  /** Last renewal, or last sign of life of the holder. */
  readonly confirmedAtMs: number;
  readonly usage?: ObservedUsage;
}
