export {MessageArrival} from './instance/arrival_clock.js';
export type {CallObstacle, CallOutcome} from './instance/call_outcome.js';
export {
  type EvacuationOutcome,
  type EvacuationRequest,
  EvacuationRequests,
  type EvacuationRequestsOptions,
} from './instance/evacuation_requests.js';
export {
  LeaderClient,
  type LeaderClientOptions,
} from './instance/leader_client.js';
export {Member} from './instance/member.js';
export type {MemberOptions} from './instance/member_options.js';
export {drawOutageRetryAfterS} from './instance/outage_advice.js';
export {PauseDetector} from './instance/pause_detector.js';
export type {
  Command,
  CommandResult,
  CountedRunEnd,
  JobRecord,
  UpstreamEntry,
} from './jobs/commands.js';
export {
  type Configuration,
  type QueueConfig,
  QueueTable,
} from './jobs/configuration.js';
export {DispatchState} from './jobs/dispatch_state.js';
export {
  type AdmittedJob,
  getQueueKey,
  getTaskKey,
  type JobRequest,
  type JobState,
  type RunOutcome,
  type Step,
  type TaskId,
} from './jobs/job_types.js';
export type {Call, GroupView, Reply, SubmitRefusal} from './messages/calls.js';
export type {Hello, PeerMessage} from './messages/peer_messages.js';
export {
  type ActiveRun,
  type HoldAnswer,
  type HoldOrder,
  OrderNotSentError,
  OrderUnansweredError,
  type RunEnd,
  type StartAnswer,
  type StartOrder,
  type StartRefusal,
  type StopAnswer,
  type StopOrder,
  UpstreamPort,
  type UpstreamTarget,
} from './upstreams/upstream_port.js';
export {
  type Announcement,
  type UpstreamIncarnation,
  upstreamKey,
  type UpstreamRecord,
} from './upstreams/upstream_types.js';
export {OwnerWarmUp, type OwnerWarmUpOptions} from './warm_up/owner_warm_up.js';
