/** JSON bodies of the caller and operator HTTP API. */
import type {ErrorOutcome} from './errors.js';
import type {TaskResult, TaskSpec} from './jobs.js';
import type {Policy} from './policy.js';
import type {Resources} from './resources.js';
import type {UpstreamAnnouncement} from './upstreams.js';

/** Media type of every error body, RFC 9457. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** Error body, RFC 9457, with the members that this product adds. */
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
  /** Whole seconds; the same value as the `Retry-After` header. */
  readonly retryAfterSeconds?: number;
  /** One entry for each invalid member of the request. */
  readonly errors?: readonly {
    readonly path: string;
    readonly message: string;
  }[];
}

/** Body of `POST /v1/jobs`; the key comes in the `Idempotency-Key` header. */
export interface SubmitJobRequest {
  readonly team: string;
  readonly kind: string;
  readonly tasks: readonly TaskSpec[];
  readonly deadlineMs?: number;
}

/** Body of `GET /v1/jobs/:id` and of an answered `POST /v1/jobs`. */
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

/** One step in the life of a job, for `GET /v1/jobs/:id/explain`. */
export interface ExplainStep {
  readonly atMs: number;
  /** Empty for steps of the whole job. */
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
  /** Written answer that decided, as `team.section.key`, where one did. */
  readonly answer?: string;
}

/** Body of `GET /v1/config`. */
export interface ConfigView {
  readonly instance: string;
  readonly policy: Policy;
  /** Whether the control log's leader confirmed this state recently. */
  readonly current: boolean;
  readonly confirmedMsAgo: number;
}

/** Body of an accepted `PUT /v1/answers/:team`. */
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
  /** The answers file as submitted, INI. */
  readonly text: string;
}

/** One entry of the audit trail, body member of `GET /v1/audit`. */
export interface AuditEntry {
  readonly index: number;
  readonly atMs: number;
  readonly operator: string;
  readonly requestId: string;
  readonly action: 'answers-accepted' | 'answers-refused' | 'drain';
  readonly team: string;
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Answers before and after, as submitted; empty when there were none. */
  readonly before: string;
  readonly after: string;
  readonly detail: string;
  /** SHA-256, hex, over the previous entry's hash and this entry's content. */
  readonly hash: string;
}

/** Body of `GET /v1/audit?after=INDEX&limit=N`. */
export interface AuditPage {
  readonly entries: readonly AuditEntry[];
  /** Hash of the entry before the first one listed; empty at the start. */
  readonly previousHash: string;
  readonly lastIndex: number;
}

/** One team's share in the sharing report. */
export interface TeamShare {
  readonly team: string;
  readonly promisedPercent: number;
  /** Dominant share received over the window, in percent. */
  readonly receivedPercent: number;
  /** Part of the window in which the team had tasks waiting, 0 to 1. */
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

/** One upstream as an instance knows it, body member of `GET /v1/upstreams`. */
export interface UpstreamView {
  readonly announcement: UpstreamAnnouncement;
  readonly state: 'available' | 'leaving' | 'ejected' | 'expired';
  readonly holder: string;
  readonly lastRenewalMsAgo: number;
  readonly creditsHere: number;
  readonly runningHere: number;
}

/** One entry instance, body member of `GET /v1/instances`. */
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
