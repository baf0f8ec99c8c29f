export type {
  LogEffect,
  LogEvent,
  LogStep,
} from './replicated_log/core_events.js';
export type {
  CoreStart,
  LogCoreConfig,
  LogCoreState,
  LogRole,
  PendingRead,
  Progress,
  VoterConfig,
} from './replicated_log/core_state.js';
export {
  entryAt,
  hasRecovered,
  initialState,
  lastIndex,
  termAt,
} from './replicated_log/core_state.js';
export type {
  LogEntry,
  LogSnapshot,
  VoterReplacement,
} from './replicated_log/log_entries.js';
export {
  LogFailedError,
  NotLeaderError,
  NotProposedError,
  OutcomeUnknownError,
} from './replicated_log/log_errors.js';
export type {FetchedLog, LogFeed} from './replicated_log/log_feed.js';
export {
  LogFollower,
  type LogFollowerOptions,
} from './replicated_log/log_follower.js';
export type {
  AppendMessage,
  AppendReply,
  InstallMessage,
  JoinMessage,
  LogMessage,
  TimeoutNowMessage,
  VoteReply,
  VoteRequest,
} from './replicated_log/log_messages.js';
export type {
  LeadershipChange,
  LeadershipListener,
  LogStatus,
  ReplicatedLogOptions,
} from './replicated_log/log_options.js';
export {LogStorage, type StoredLog} from './replicated_log/log_storage.js';
export {LogTransport} from './replicated_log/log_transport.js';
export {
  ABSENT_INCARNATION,
  type MemberId,
  memberKey,
  sameMember,
} from './replicated_log/members.js';
export {
  MemoryLogStorage,
  type MemoryLogStorageOptions,
} from './replicated_log/memory_log_storage.js';
export {ReplicatedLog} from './replicated_log/replicated_log.js';
export {durableIndex, isAcknowledged} from './replicated_log/replication.js';
export {StateMachine} from './replicated_log/state_machine.js';
export {step} from './replicated_log/step.js';
