export {MAX_ANSWERS_LENGTH} from './control/answers_check.js';
export {
  type AuditContent,
  auditHash,
  type AuditVerification,
  verifyAuditChain,
} from './control/audit_chain.js';
export {MAX_AUDIT_TAIL_ENTRIES} from './control/audit_tail.js';
export {
  type AbandonGroupCommand,
  type Abandonment,
  ABSENT_INCARNATION,
  type AcceptAnswersCommand,
  type ChangeOrigin,
  type ControlCommand,
  type ControlResult,
  type DefineGroupsCommand,
  type FirstControlResult,
  type GrantedVoter,
  type InvalidCode,
  type RecordGroupDefinition,
  type RecordGroupGeneration,
  type RecordGroupView,
  type RegisteredInstance,
  type RegisterInstanceCommand,
  type SetDrainingCommand,
  type TeamAnswers,
} from './control/control_messages.js';
export {ControlState} from './control/control_state.js';
export {recordGroupDefinitions} from './control/group_formation.js';
export {MAX_REMEMBERED_REQUESTS} from './control/request_memory.js';
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
export {StateMachine} from './state_machine.js';
