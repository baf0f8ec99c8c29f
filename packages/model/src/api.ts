/** JSON bodies of the HTTP APIs for clients and operators. */
import type {ErrorOutcome} from './errors.js';
import type {TaskResult, TaskSpec} from './jobs.js';
import type {Policy} from './policy.js';
import type {Resources} from './resources.js';
import type {UpstreamAnnouncement} from './upstreams.js';

/** Media type of all error bodies (RFC 9457). */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** Error body according to RFC 9457, with extension members. */
export interface Problem {
  /** `urn:mustardferry:error:<code>`. */
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: string;
  readonly outcome: ErrorOutcome;
  readonly jobId?: string;
  readonly requestId?: string;
  /** Whole seconds, equal to the `Retry-After` header. */
  readonly retryAfterSeconds?: number;
  /** One entry per invalid member of the request. */
  readonly errors?: readonly {
    readonly path: string;
    readonly message: string;
  }[];
}

/**
 * Body of `POST /v1/jobs`; the idempotency key is in the `Idempotency-Key`
 * header.
 */
export interface SubmitJobRequest {
  readonly team: string;
  readonly kind: string;
  readonly tasks: readonly TaskSpec[];
  readonly deadlineMs?: number;
}

/** Response body of `GET /v1/jobs/:id` and of a successful `POST /v1/jobs`. */
export interface JobView {
  readonly jobId: string;
  readonly team: string;
  readonly kind: string;
  readonly idempotencyKey: string;
  readonly state: 'queued' | 'running' | 'complete' | 'failed';
  /** Present if and only if `state` is `complete`; in submission order. */
  readonly results?: readonly TaskResult[];
  /** Present if and only if `state` is `failed`. */
  readonly problem?: Problem;
  /** Epoch milliseconds until which a resubmission is recognized. */
  readonly recordKeptUntilMs: number;
}

/** One step in the history of a job, for `GET /v1/jobs/:id/explain`. */
export interface ExplainStep {
  readonly atMs: number;
  /** Empty for steps that concern the whole job. */
  readonly taskId: string;
  readonly step:
    | 'admitted'
    | 'refused'
    | 'queued'
    | 'waited'
    | 'routed'
    | 'started'
    | 'retried'
    | 'hedged'
    | 'answered'
    | 'cancelled'
    | 'taken-over';
  /** Stable reason code, for example `share-exhausted`. */
  readonly reason: string;
  readonly detail: string;
  /** Configuration answer behind this step, if any, as `team.section.key`. */
  readonly answer?: string;
}

/** Body of `GET /v1/config`. */
export interface ConfigView {
  readonly instance: string;
  readonly policy: Policy;
  /** Whether the leader of the control log recently confirmed this state. */
  readonly current: boolean;
  readonly confirmedMsAgo: number;
}

/** Response body of an accepted `PUT /v1/answers/:team`. */
export interface AnswersAccepted {
  readonly team: string;
  readonly revision: number;
  readonly requestId: string;
  /** Whether this is the stored reply to an earlier identical request. */
  readonly repeated: boolean;
}

/** Body of `GET /v1/answers/:team`; `ETag` carries the revision. */
export interface AnswersView {
  readonly team: string;
  readonly revision: number;
  /** The answers file as submitted, in INI format. */
  readonly text: string;
}

/** One entry of the audit trail, as listed by `GET /v1/audit`. */
export interface AuditEntry {
  readonly index: number;
  readonly atMs: number;
  readonly operator: string;
  readonly requestId: string;
  readonly action:
    'answers-accepted' | 'answers-refused' | 'drain' | 'evacuation';
  readonly team: string;
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Answers before and after, as submitted; empty when there were none. */
  readonly before: string;
  readonly after: string;
  readonly detail: string;
  /** Hex SHA-256 of the previous entry's hash and this entry's content. */
  readonly hash: string;
}

/** Response body of `GET /v1/audit?after=INDEX&limit=N`. */
export interface AuditPage {
  readonly entries: readonly AuditEntry[];
  /** Hash of the entry before the first listed one; empty if there is none. */
  readonly previousHash: string;
  readonly lastIndex: number;
}

/** Response body of `POST` and `DELETE /v1/evacuations/:dataCentre`. */
export interface EvacuationAccepted {
  readonly dataCentre: string;
  /** The state that was ordered. */
  readonly evacuated: boolean;
  /** Revision of the order in force; 0 when there was none. */
  readonly revision: number;
  readonly requestId: string;
  /** Whether this is the stored reply to an earlier identical request. */
  readonly repeated: boolean;
}

/** State of a data centre, as listed by `GET /v1/evacuations`. */
export interface EvacuationView {
  readonly dataCentre: string;
  readonly evacuated: boolean;
  /** Revision of the last order; 0 when there was none. */
  readonly revision: number;
  /** Epoch milliseconds and operator of the last order, if there was one. */
  readonly changedAtMs?: number;
  readonly operator?: string;
}

/** Body of `GET /v1/evacuations`. */
export interface EvacuationsView {
  /** Whether the leader of the control log recently confirmed this state. */
  readonly current: boolean;
  /** All data centres that the instance knows. */
  readonly evacuations: readonly EvacuationView[];
}

/** Promised and received capacity of one team, for `GET /v1/shares`. */
export interface TeamShare {
  readonly team: string;
  readonly promisedPercent: number;
  /** Dominant resource share received during the window, in percent. */
  readonly receivedPercent: number;
  /** Fraction of the window with waiting tasks of the team, 0 to 1. */
  readonly backloggedFraction: number;
  readonly running: Resources;
  readonly queuedTasks: number;
  readonly refusedJobs: number;
}

/** Body of `GET /v1/shares`. */
export interface SharesView {
  readonly dataCentre: string;
  readonly windowMs: number;
  readonly capacity: Resources;
  readonly teams: readonly TeamShare[];
}

/** An upstream as seen by one instance, as listed by `GET /v1/upstreams`. */
export interface UpstreamView {
  readonly announcement: UpstreamAnnouncement;
  /** `evacuated` while the data centre of the upstream is evacuated. */
  readonly state: 'available' | 'leaving' | 'ejected' | 'evacuated' | 'expired';
  readonly holder: string;
  readonly lastRenewalMsAgo: number;
  readonly creditsHere: number;
  readonly runningHere: number;
}

/** An entry instance, as listed by `GET /v1/instances`. */
export interface InstanceView {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly reachable: boolean;
  readonly draining: boolean;
  readonly policyRevision: number;
  readonly controlRole: 'leader' | 'follower' | 'learner';
  readonly ownedGroups: readonly string[];
}
