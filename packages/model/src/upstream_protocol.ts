/** JSON bodies of requests between entry instances and upstreams. */
import type {Resources} from './resources.js';
import type {UpstreamAnnouncement, UpstreamId} from './upstreams.js';

/** Reply to `POST /v1/upstreams/announce`, which also renews announcements. */
export interface AnnounceReply {
  readonly accepted: boolean;
  /** Set if refused, for example because a newer incarnation is known. */
  readonly reason?: string;
  /** Milliseconds until the upstream should renew. */
  readonly renewAfterMs: number;
}

/** Body of `POST /v1/upstreams/announce`. */
export type AnnounceRequest = UpstreamAnnouncement;

/** Body of `POST /v1/upstreams/leave`. */
export type LeaveRequest = UpstreamId;

/**
 * Identifies the owner that starts a task. Upstreams refuse epochs older than
 * the latest one that they have seen.
 */
export interface OwnerEpoch {
  /** `<dataCentre>.<group>`. */
  readonly group: string;
  /** Generation of the group; epochs compare by generation, then by term. */
  readonly generation: number;
  /** Term of the group's leader. */
  readonly term: number;
}

/** Body of `POST /v1/tasks` on an upstream. */
export interface StartTaskRequest {
  /** `<jobId>/<task index>`. */
  readonly taskId: string;
  /** Counts from 1; an upstream runs each attempt of a task at most once. */
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

/** State of a task attempt as reported by its upstream. */
export type TaskState =
  | {readonly state: 'running'}
  | {readonly state: 'done'; readonly value: unknown; readonly runMs: number}
  | {readonly state: 'error'; readonly message: string}
  /** Stopped early by a stop request or an expired lease. */
  | {readonly state: 'stopped'}
  /** Not started, and sealed: a later start of this attempt is refused. */
  | {readonly state: 'never-started'}
  /** The upstream can't tell, for example after it restarted. */
  | {readonly state: 'unknown'};

/** Reason for an upstream to refuse a start; the task has not been started. */
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
 * Reply to `POST /v1/tasks`, sent when the task ends, and to
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
  /** Fraction of the normal speed, above 0 and at most 1. */
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

/** Reply to `POST /v1/leases/renew`; lists the tasks that are not running. */
export interface RenewLeasesReply {
  readonly incarnation: number;
  readonly notRunning: readonly string[];
}
