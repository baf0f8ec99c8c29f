/** Messages between entry instances. */
import type {
  ReceiveResult,
  UpstreamPeerMessage,
} from '@mustardferry/coordination';
import type {
  ExplainStep,
  JobView,
  Problem,
  Resources,
  Submission,
} from '@mustardferry/model';

import type {LogOutbox, StreamConnection} from './log_outbox.js';

/** Identity of a member of a replicated log. */
export interface PeerIdentity {
  readonly name: string;
  readonly incarnation: string;
}

/** One message of a replicated log, addressed to one incarnation. */
export interface LogEnvelope {
  /** Name of the log: `control` or `<dataCentre>.<group>`. */
  readonly log: string;
  readonly from: PeerIdentity;
  readonly to: PeerIdentity;
  readonly message: unknown;
}

/** State of an instance, exchanged when a link opens and on change. */
export interface InstanceStatus extends PeerIdentity {
  readonly dataCentre: string;
  readonly draining: boolean;
  readonly policyRevision: number;
  readonly controlRole: 'leader' | 'follower' | 'learner';
  readonly ownedGroups: readonly string[];
  /** Names of the record group logs in which the instance has a vote. */
  readonly votes: readonly string[];
}

/** A submission on its way from the receiving instance to the owner. */
export interface SubmitToOwner {
  readonly jobId: string;
  readonly requestId: string;
  readonly submission: Submission;
  /** SHA-256, hex, of the canonical body. */
  readonly digest: string;
  /** How long the caller waits for the answer, in milliseconds. */
  readonly waitMs: number;
  /** When the receiving instance generated the key; absent for a client's. */
  readonly keyGeneratedAtMs?: number;
}

/** A request about a job that is known by its id. */
export interface JobRequest {
  readonly jobId: string;
  readonly requestId: string;
  readonly waitMs: number;
}

/** What an owner replies; every form names the job. */
export type OwnerReply =
  | {readonly type: 'job'; readonly jobId: string; readonly view: JobView}
  | {
      readonly type: 'problem';
      readonly jobId: string;
      readonly problem: Problem;
    }
  /** Not the owner; nothing was done. */
  | {
      readonly type: 'not-owner';
      readonly jobId: string;
      readonly owner: string | undefined;
    };

/** Reply to an explain request. */
export type ExplainReply =
  | {
      readonly type: 'steps';
      readonly jobId: string;
      readonly steps: readonly ExplainStep[];
    }
  | Exclude<OwnerReply, {type: 'job'}>;

/** Demand and credits of an instance, sent to the allocator. */
export interface SlotReport {
  readonly from: PeerIdentity;
  readonly sequence: number;
  /** Sequence of the last reply that was applied; 0 for none. */
  readonly appliedReply: number;
  /** Allocator that sent that reply. */
  readonly allocator: string;
  /** Resources of the queued and running tasks of each team. */
  readonly teams: readonly {
    readonly team: string;
    readonly demand: Resources;
  }[];
  /**
   * Sequence of the report that the allocator answered last, which `held`
   * continues; 0 when `held` lists everything.
   */
  readonly heldSince: number;
  /** Credits held, by upstream key; those that changed since `heldSince`. */
  readonly held: readonly {
    readonly worker: string;
    readonly credits: number;
  }[];
}

/** What the allocator grants to and asks back from the reporting instance. */
export interface SlotReply {
  readonly sequence: number;
  readonly allocator: string;
  /** The report was not used: its `heldSince` is unknown here. */
  readonly needsFull?: true;
  readonly grants: readonly {
    readonly worker: string;
    readonly credits: number;
  }[];
  /** Credits to hold at most; absent when none are asked back. */
  readonly keep?: number;
  /** Slots of each team with demand, the weights of its sharing policy. */
  readonly entitlements: readonly {
    readonly team: string;
    readonly slots: number;
  }[];
}

/** Request for control log entries after an index. */
export interface ControlFetch {
  readonly afterIndex: number;
  /** How long the reply may be held while there is nothing new, in ms. */
  readonly waitMs: number;
}

/** Reply to a control log fetch. */
export interface ControlFetchReply {
  /** Committed entries or a snapshot, as the log's `fetch` returned them. */
  readonly page: unknown;
  /** Age of the leader's last confirmation as known by the sender, in ms. */
  readonly confirmedMsAgo: number;
}

/** Outcome of a control command sent to another instance. */
export type ControlReply =
  | {readonly type: 'result'; readonly result: unknown}
  | {readonly type: 'not-leader'; readonly leader: string | undefined}
  | {readonly type: 'outcome-unknown'; readonly detail: string};

/** Handlers that an instance offers to its peers. */
export abstract class PeerService {
  abstract hello(status: InstanceStatus): InstanceStatus;
  /** Opens the stream of log messages to a peer that asked for it. */
  abstract logStream(to: PeerIdentity, connection: StreamConnection): LogOutbox;
  abstract submitJob(req: SubmitToOwner): Promise<OwnerReply>;
  abstract getJob(req: JobRequest): Promise<OwnerReply>;
  abstract cancelJob(req: JobRequest): Promise<OwnerReply>;
  abstract explainJob(req: JobRequest): Promise<ExplainReply>;
  abstract upstreamMessage(message: UpstreamPeerMessage): ReceiveResult;
  abstract slotReport(report: SlotReport): SlotReply | undefined;
  abstract proposeControl(command: unknown): Promise<ControlReply>;
  abstract fetchControl(req: ControlFetch): Promise<ControlFetchReply>;
}
