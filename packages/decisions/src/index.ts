export {randomFraction, randomIndex} from './common/random.js';
export {formatExplanation} from './explain/format_explanation.js';
export {
  formatAnswerReference,
  REASON_DESCRIPTIONS,
  type ReasonCode,
} from './explain/reasons.js';
export {
  type HealthChange,
  type HealthStatus,
  OutlierEjection,
  type OutlierEjectionOptions,
  type UpstreamResult,
} from './health/outlier_ejection.js';
export {
  type OverdueDecision,
  OverdueDetection,
  type OverdueOptions,
  type PendingAnswer,
} from './health/overdue_detection.js';
export {type HealthState} from './health/upstream_health.js';
export {
  computeHashSlot,
  createIdempotencyKey,
  findHashSlotDataCentre,
  findHome,
  HASH_SLOTS,
  HomingError,
  type ParsedJobId,
  parseJobId,
} from './homing/home.js';
export {
  type KeyMovement,
  measureHashSlotBalance,
  measureKeyMovement,
} from './homing/key_movement.js';
export {
  AdaptiveConcurrency,
  type ConcurrencySample,
} from './limits/adaptive_concurrency.js';
export {
  type AdmissionDecision,
  type AdmissionInput,
  decideAdmission,
} from './limits/admission.js';
export {type LeaderWait, mayWaitForLeader} from './limits/leader_wait.js';
export {
  computeOutageRetryAfterS,
  type OutageRequest,
} from './limits/outage_return.js';
export {
  MAX_RETRY_AFTER_S,
  type RefusedRequest,
  ReturnSchedule,
} from './limits/return_schedule.js';
export {
  checkRunnability,
  type Runnability,
  type RunnabilityInput,
} from './limits/runnability.js';
export {type BackOffOptions, computeBackOffMs} from './retries/back_off.js';
export {
  type AttemptFailure,
  decideRetry,
  type FailedAttempt,
  FAULTY_TASK_UPSTREAMS,
  type RetryDecision,
} from './retries/decide_retry.js';
export {
  ExpectedGainHedging,
  type HedgeDecision,
  type HedgeInput,
  HedgingPolicy,
  NoHedging,
} from './retries/hedging.js';
export {
  OrderTimeout,
  type OrderTimeoutOptions,
} from './retries/order_timeout.js';
export {
  type BudgetDecision,
  RetryBudget,
  type RetryBudgetOptions,
} from './retries/retry_budget.js';
export {
  LeastOutstandingRouting,
  RandomRouting,
  TwoChoicesRouting,
} from './routing/baseline_routing.js';
export {
  type Candidate,
  CandidateIndex,
  type CandidateUpstream,
} from './routing/candidate_index.js';
export {
  ExpectedEndRouting,
  type ExpectedEndRoutingOptions,
} from './routing/expected_end_routing.js';
export {estimateRemainingMs} from './routing/expected_remaining.js';
export {
  type RoutableTask,
  type RoutingDecision,
  RoutingPolicy,
} from './routing/routing_policy.js';
export {
  type EstimateSource,
  type RunEstimate,
  type RunEstimateInput,
  type RunObservation,
  RunTimeEstimator,
  type RunTimeEstimatorOptions,
} from './routing/run_time_estimator.js';
export {FirstInFirstOutSharing} from './sharing/first_in_first_out_sharing.js';
export {
  type Backlog,
  type Entitlement,
  type QueuedTask,
  type SharingDecision,
  SharingPolicy,
  type TaskFilter,
  type TeamUsage,
} from './sharing/sharing_policy.js';
export {
  LAG_HALF_LIFE_MS,
  MAX_LAG_MS,
  WeightedFairSharing,
} from './sharing/weighted_fair_sharing.js';
export {allocateSlots, SlotAllocator} from './slots/allocate_slots.js';
export {
  CreditLedger,
  type Credits,
  type ReturnedCredits,
} from './slots/credit_ledger.js';
export {
  type AllocatorTeam,
  type AllocatorWorker,
  type HeldCredits,
  type InstanceAllocation,
  type InstanceDemand,
  type SlotAllocation,
  type SlotAllocationInput,
  type SlotGrant,
} from './slots/slot_types.js';
