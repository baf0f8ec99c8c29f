export {MAX_ANSWERS_LENGTH} from './control/answers_check.js';
export {archiveAudit, AuditArchive} from './control/audit_archive.js';
export {
  type AuditVerification,
  computeAuditHash,
  type UnhashedAuditEntry,
  verifyAuditChain,
} from './control/audit_chain.js';
export {MAX_AUDIT_TAIL_ENTRIES} from './control/audit_tail.js';
export {
  type AbandonGroupCommand,
  type Abandonment,
  type AcceptAnswersCommand,
  type ChangeOrigin,
  type ControlCommand,
  type ControlResult,
  type DefineGroupsCommand,
  type FirstControlResult,
  type GrantedVoter,
  type InvalidCommandCode,
  type RecordGroupDefinition,
  type RecordGroupGeneration,
  type RecordGroupView,
  type RegisteredInstance,
  type RegisterInstanceCommand,
  type SetDrainingCommand,
  type SetEvacuatedCommand,
  type TeamAnswers,
} from './control/control_messages.js';
export {ControlState} from './control/control_state.js';
export type {EvacuationRecord} from './control/evacuations.js';
export {deriveRecordGroupDefinitions} from './control/group_formation.js';
export {MAX_REMEMBERED_REQUESTS} from './control/request_history.js';
export {AuditGapError, LogStorageError, SnapshotFormatError} from './errors.js';
export {
  type AdmitCommand,
  type AdmitResult,
  type FinishResult,
  type RecordCounts,
  type RecordLookup,
  type RecordsCommand,
  type RecordsResult,
  type StartItem,
  type StartRefusalReason,
  type StartResult,
  type SubmissionRecord,
  type TaskStart,
} from './records/record_messages.js';
export {DEFAULT_MAX_RECORDS, RecordsState} from './records/records_state.js';
export type {
  LogEffect,
  LogEvent,
  StepResult,
} from './replicated_log/core_events.js';
export type {
  InitialStateOptions,
  LogCoreConfig,
  LogCoreState,
  LogRole,
  PendingRead,
  Progress,
  VoterConfig,
} from './replicated_log/core_state.js';
export {
  createInitialState,
  getEntryAt,
  getTermAt,
  hasQuorum,
  hasRecovered,
  lastIndex,
} from './replicated_log/core_state.js';
export {canAcknowledge, getDurableIndex} from './replicated_log/durability.js';
export type {
  LogEntry,
  LogSnapshot,
  VoterChange,
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
  InstallSnapshotMessage,
  JoinMessage,
  LogMessage,
  TimeoutNowMessage,
  VoteReply,
  VoteRequest,
} from './replicated_log/log_messages.js';
export type {
  Election,
  ElectionCause,
  LeadershipCause,
  LeadershipChange,
  LeadershipListener,
  LogStatus,
  ReplicatedLogOptions,
} from './replicated_log/log_options.js';
export {LogStorage, type StoredLog} from './replicated_log/log_storage.js';
export {LogTransport} from './replicated_log/log_transport.js';
export {
  ABSENT_INCARNATION,
  getMemberKey,
  isSameMember,
  type MemberId,
} from './replicated_log/members.js';
export {
  MemoryLogStorage,
  type MemoryLogStorageOptions,
} from './replicated_log/memory_log_storage.js';
export {ReplicatedLog} from './replicated_log/replicated_log.js';
export {StateMachine} from './replicated_log/state_machine.js';
export {step} from './replicated_log/step.js';
export {
  DiskLogStorage,
  type DiskLogStorageOptions,
} from './storage_adapter/disk_log_storage.js';
export {JournalAuditArchive} from './storage_adapter/journal_audit_archive.js';
export type {
  StoredEntry,
  StoredLogContent,
  StoredMemberId,
  StoredSnapshot,
} from './storage_adapter/stored_log.js';
export type {
  AnnounceResult,
  ObservedUsage,
  ReceiveResult,
  RegisteredUpstream,
  RegistrySender,
  UpstreamChange,
  UpstreamEvent,
  UpstreamPeerMessage,
} from './upstreams/upstream_messages.js';
export {
  UpstreamRegistry,
  type UpstreamRegistryOptions,
} from './upstreams/upstream_registry.js';
