/** Calls to the leader and its replies. */
import type {Configuration} from '../jobs/configuration.js';
import type {EvacuationPeriod, EvacuationRecord} from '../jobs/evacuations.js';
import type {JobRequest, JobState} from '../jobs/job_types.js';
import type {
  Announcement,
  UpstreamIncarnation,
} from '../upstreams/upstream_types.js';

/** Host and path of a caller's request; they name the queue and the job. */
interface RequestAddress {
  readonly host: string;
  readonly path: string;
}

/** A call from an instance to the leader. */
export type Call =
  | (RequestAddress & {
      readonly type: 'submit';
      readonly job: JobRequest;
      /** How long the caller waits, in ms from the receipt of its call. */
      readonly patienceMs: number;
    })
  | (RequestAddress & {readonly type: 'state'})
  | (RequestAddress & {readonly type: 'cancel'})
  /** The caller of a non-durable job no longer waits for it. */
  | {readonly type: 'abandon'; readonly job: string}
  | {readonly type: 'announce'; readonly upstream: Announcement}
  | {readonly type: 'leave'; readonly id: UpstreamIncarnation['id']}
  | {readonly type: 'configure'; readonly configuration: Configuration}
  | {readonly type: 'read-configuration'}
  | {readonly type: 'read-evacuations'}
  /** Evacuates a data centre, or readmits it. */
  | {
      readonly type: 'evacuate';
      readonly dataCentre: string;
      readonly evacuated: boolean;
      /** Revision of its record when the order arrived. */
      readonly basedOn: number;
      readonly operator: string;
    };

/** Age of a call, and whether it may already have taken effect. */
export interface CallOrigin {
  /** Time in ms since the sending instance received the call. */
  readonly ageMs: number;
  /** Whether an earlier attempt by that instance may have taken effect. */
  readonly repeated: boolean;
}

/** Why a submission was refused. A refused job has not run and never will. */
export type SubmitRefusal =
  | 'no-configuration'
  | 'overloaded'
  | 'not-in-time'
  /** It fits only on upstreams of evacuated data centres. */
  | 'evacuated';

/** A reply from the leader. */
export type Reply =
  | {readonly type: 'accepted'}
  /** Final state of a non-durable job. */
  | {readonly type: 'ended'; readonly state: 'completed' | 'failed'}
  /** A non-durable job was dropped after it may have started. */
  | {readonly type: 'given-up'; readonly retryAfterS?: number}
  | {
      readonly type: 'refused';
      readonly reason: SubmitRefusal;
      /** When capacity for the job is expected; absent if that is not known. */
      readonly retryAfterS?: number;
    }
  | {readonly type: 'no-queue'}
  | {readonly type: 'no-job'}
  | {readonly type: 'state'; readonly state: JobState}
  | {readonly type: 'pending'; readonly count: number}
  | {readonly type: 'announced'; readonly leader: string}
  | {readonly type: 'configured'; readonly revision: number}
  | {readonly type: 'configuration'; readonly source: string}
  | {readonly type: 'no-configuration'}
  | {
      readonly type: 'evacuations';
      readonly records: readonly EvacuationRecord[];
      readonly history: readonly EvacuationPeriod[];
    }
  /** The ordered state is in force. */
  | {readonly type: 'evacuation'; readonly record: EvacuationRecord}
  /** The record has changed since the order arrived; nothing was changed. */
  | {readonly type: 'evacuation-conflict'; readonly record: EvacuationRecord}
  /** The call had no effect here; another instance may be the leader. */
  | {readonly type: 'not-leader'}
  /** The outcome is unknown; the call can be retried. */
  | {readonly type: 'interrupted'};

/** An instance's view of the replication group. */
export interface GroupView {
  readonly term: number;
  /** Address of the leader; null if unknown. */
  readonly leader: string | null;
  /** Addresses of the voters at the group's first start; empty if unknown. */
  readonly firstVoters: readonly string[];
  /** Addresses of the current voters. */
  readonly voters: readonly string[];
  /** Addresses of all known members, with or without a vote. */
  readonly members: readonly string[];
}
