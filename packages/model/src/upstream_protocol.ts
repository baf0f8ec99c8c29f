/** JSON bodies between entry instances and upstreams, both directions. */
import type {Resources} from './resources.js';
import type {UpstreamAnnouncement, UpstreamId} from './upstreams.js';

/** Reply to `POST /v1/upstreams/announce`, which also renews. */
export interface AnnounceReply {
  readonly accepted: boolean;
  /** Set when refused, for example because a newer incarnation is known. */
  readonly reason?: string;
  /** Milliseconds until the upstream should renew. */
  readonly renewAfterMs: number;
}

/** Body of `POST /v1/upstreams/announce`. */
export type AnnounceRequest = UpstreamAnnouncement;

/** Body of `POST /v1/upstreams/leave`. */
export type LeaveRequest = UpstreamId;

/** Who starts a task; upstreams refuse epochs older than one that they saw. */
export interface OwnerEpoch {
  /** `<dataCentre>.<group>`. */
  readonly group: string;
  /** Generation of the group and term of its leader, compared in this order. */
  readonly generation: number;
  readonly term: number;
}

/** Body of `POST /v1/tasks` on an upstream. */
export interface StartTaskRequest {
  /** `<jobId>/<task index>`. */
  readonly taskId: string;
  /** From 1; a task id with an attempt runs at most once on an upstream. */
  readonly attempt: number;
  readonly incarnation: number;
  readonly owner: OwnerEpoch;
  readonly instance: string;
  readonly team: string;
  readonly kind: string;
  readonly resources: Resources;
  readonly leaseMs: number;
  readonly payload: unknown;
}

/** State of a task attempt as its upstream knows it. */
export type TaskState =
  | {readonly state: 'running'}
  | {readonly state: 'done'; readonly value: unknown; readonly runMs: number}
  | {readonly state: 'error'; readonly message: string}
  /** Ended before its end by a stop request or a lapsed lease. */
  | {readonly state: 'stopped'}
  /** Not started, and sealed: a later start of this attempt will be refused. */
  | {readonly state: 'never-started'}
  /** The upstream can't tell, for example after it restarted. */
  | {readonly state: 'unknown'};

/** Why an upstream refused to start a task; nothing was started. */
export type StartRefusal =
  | 'no-slot'
  | 'old-epoch'
  | 'wrong-incarnation'
  | 'duplicate'
  | 'sealed'
  | 'leaving'
  | 'unknown-kind'
  | 'too-large';

/**
 * Reply to `POST /v1/tasks`, held until the task ends, and to
 * `GET /v1/tasks/:id?attempt=N` and `POST /v1/tasks/:id/stop`. Task ids are
 * percent-encoded in paths.
 */
export type TaskReply =
  | ({
      readonly taskId: string;
      readonly attempt: number;
      readonly incarnation: number;
    } & TaskState)
  | {
      readonly taskId: string;
      readonly attempt: number;
      readonly incarnation: number;
      readonly state: 'refused';
      readonly refusal: StartRefusal;
    };

/** Body of `POST /v1/tasks/:id/stop`; seals the attempt when it never started. */
export interface StopTaskRequest {
  readonly attempt: number;
}

/** Body of `POST /v1/tasks/:id/throttle`. */
export interface ThrottleTaskRequest {
  readonly attempt: number;
  /** Part of its normal speed, over 0 to 1. */
  readonly speed: number;
}

/** Body of `POST /v1/leases/renew`. */
export interface RenewLeasesRequest {
  readonly leaseMs: number;
  readonly tasks: readonly {
    readonly taskId: string;
    readonly attempt: number;
  }[];
}

/** Reply to `POST /v1/leases/renew`; lists the tasks that no longer run. */
export interface RenewLeasesReply {
  readonly incarnation: number;
  readonly notRunning: readonly string[];
}
