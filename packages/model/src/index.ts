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
  type UpstreamAnnouncement,
  type UpstreamId,
  upstreamKey,
  type UsageReport,
} from './upstreams.js';
