/** Calls that reach the leader, and its replies. */
import type {Configuration} from '../jobs/configuration.js';
import type {JobRequest, JobState} from '../jobs/job_types.js';
import type {
  Announcement,
  UpstreamIncarnation,
} from '../upstreams/upstream_types.js';

/** Place of a call in the name space of queues. */
interface Addressed {
  readonly host: string;
  readonly path: string;
}

/** What an instance asks of the leader. */
export type Call =
  | (Addressed & {
      readonly type: 'submit';
      readonly job: JobRequest;
      /** How long the caller waits for an answer, from its call on. */
      readonly patienceMs: number;
    })
  | (Addressed & {readonly type: 'state'})
  | (Addressed & {readonly type: 'cancel'})
  /** The caller of a job that isn't durable has gone. */
  | {readonly type: 'abandon'; readonly job: string}
  | {readonly type: 'announce'; readonly upstream: Announcement}
  | {readonly type: 'leave'; readonly id: UpstreamIncarnation['id']}
  | {readonly type: 'configure'; readonly configuration: Configuration}
  | {readonly type: 'read-configuration'};

/** What is known of the earlier fate of a call. */
export interface CallOrigin {
  /** Time in ms since the caller's instance took the call. */
  readonly ageMs: number;
  /** Whether an earlier attempt of that instance may have had an effect. */
  readonly repeated: boolean;
}

/** Why a submission was refused; it has not run and never will. */
export type SubmitRefusal = 'no-configuration' | 'overloaded' | 'not-in-time';

/** Answers of the leader. */
export type Reply =
  | {readonly type: 'accepted'}
  /** End of a job that isn't durable. */
  | {readonly type: 'ended'; readonly state: 'completed' | 'failed'}
  /** Given up at the end of the caller's patience, after tasks had started. */
  | {readonly type: 'given-up'}
  | {readonly type: 'refused'; readonly reason: SubmitRefusal}
  | {readonly type: 'no-queue'}
  | {readonly type: 'no-job'}
  | {readonly type: 'state'; readonly state: JobState}
  | {readonly type: 'pending'; readonly count: number}
  | {readonly type: 'announced'; readonly leader: string}
  | {readonly type: 'configured'; readonly revision: number}
  | {readonly type: 'configuration'; readonly source: string}
  | {readonly type: 'no-configuration'}
  /** Not handled here; another instance may handle it. */
  | {readonly type: 'not-leader'}
  /** The outcome is unknown; the same call may be repeated. */
  | {readonly type: 'interrupted'};

/** What an instance believes about the group of voters. */
export interface GroupView {
  readonly term: number;
  /** Address of the leader; null when none is known. */
  readonly leader: string | null;
  /** Addresses of the voters of the first start; empty while unknown. */
  readonly firstVoters: readonly string[];
  /** Addresses of the members with a vote. */
  readonly voters: readonly string[];
  /** Addresses of all instances that serve control. */
  readonly members: readonly string[];
}
