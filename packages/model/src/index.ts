export type {
  AnswersAccepted,
  AnswersView,
  AuditEntry,
  AuditPage,
  ConfigView,
  EvacuationAccepted,
  EvacuationsView,
  EvacuationView,
  ExplainStep,
  InstanceView,
  JobView,
  Problem,
  SharesView,
  SubmitJobRequest,
  TeamShare,
  UpstreamView,
} from './api.js';
export {PROBLEM_MEDIA_TYPE} from './api.js';
export {
  assertNever,
  type ErrorOutcome,
  InvariantError,
  must,
  MustardferryError,
} from './errors.js';
export type {Home} from './homes.js';
export type {
  JobAnswer,
  Submission,
  SubmissionKey,
  TaskResult,
  TaskSpec,
} from './jobs.js';
export {
  EMPTY_POLICY,
  findKind,
  type KindPolicy,
  type Policy,
  type TeamPolicy,
  type Urgency,
} from './policy.js';
export {
  addResources,
  fitsInto,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type ResourceName,
  type Resources,
  subtractResources,
} from './resources.js';
export {
  type AccessTokens,
  dataCentresOf,
  type InstanceAddress,
  type InstanceSettings,
  type PolicyNames,
  type RequestLimits,
} from './settings.js';
export type {
  AnnounceReply,
  AnnounceRequest,
  LeaveRequest,
  OwnerEpoch,
  RenewLeasesReply,
  RenewLeasesRequest,
  StartRefusal,
  StartTaskRequest,
  StopTaskRequest,
  TaskReply,
  TaskState,
  ThrottleTaskRequest,
} from './upstream_protocol.js';
export {
  type UpstreamAnnouncement,
  type UpstreamId,
  upstreamKey,
  type UsageReport,
} from './upstreams.js';
