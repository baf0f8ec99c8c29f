/** Orders from the leader to upstreams, and the port that sends them. */
import {MustardferryError} from '@mustardferry/model';

import type {RunOutcome, TaskId} from '../jobs/job_types.js';
import type {UpstreamIncarnation} from './upstream_types.js';

/** Destination of an order. */
export interface UpstreamTarget extends UpstreamIncarnation {
  readonly address: string;
  readonly dataCentre: string;
}

/** Fields that all orders share. */
export interface Order {
  /** Fencing token: an upstream ignores orders with a lower token. */
  readonly token: number;
  /** Time limit for the answer in milliseconds. */
  readonly timeoutMs: number;
}

/** Starts one run of a task. */
export interface StartOrder extends Order {
  readonly task: TaskId;
  /** Number of the run; increases with each run of the task. */
  readonly run: number;
  readonly payload: string;
  /** End of the lease of all its runs in ms, by the upstream's clock. */
  readonly leaseUntil: number;
}

/** Stops one run, and prevents it from starting if it hasn't yet. */
export interface StopOrder extends Order {
  readonly task: TaskId;
  readonly run: number;
}

/**
 * Requests the runs and run ends, extends the lease, and acknowledges run ends.
 */
export interface HoldOrder extends Order {
  /** If unset, the lease is not extended. */
  readonly leaseUntil?: number;
  /** The upstream may drop run ends up to this position; 0 adds none. */
  readonly acknowledged: number;
  /** Maximum time in ms that the upstream waits for a run end to report. */
  readonly waitMs: number;
}

/** Why a start was refused. A refused start has no effect. */
export type StartRefusal =
  | 'superseded'
  | 'older-run'
  | 'lease-over'
  | 'no-room'
  | 'invalid'
  | 'unhealthy';

/** Answer to a start. */
export type StartAnswer =
  | {readonly type: 'started'; readonly clockMs: number}
  | {
      readonly type: 'refused';
      readonly reason: StartRefusal;
      readonly clockMs: number | undefined;
    }
  | {readonly type: 'other-life'};

/** Answer to a stop; `stopping` also says that the run never starts later. */
export type StopAnswer =
  | {readonly type: 'stopping'}
  | {readonly type: 'superseded'}
  | {readonly type: 'other-life'};

/** A run in progress. */
export interface ActiveRun {
  readonly task: TaskId;
  readonly run: number;
  /** Completed share of the work, 0 to 100. */
  readonly percent: number;
}

/** A run that has ended. */
export interface RunEnd {
  /** Position in the upstream's list of run ends, starting at 1. */
  readonly sequence: number;
  readonly task: TaskId;
  readonly run: number;
  readonly outcome: RunOutcome;
}

/** Lists of an upstream, in answer to a hold. */
export interface HeldAnswer {
  readonly type: 'held';
  readonly clockMs: number;
  /** Start time of the incarnation that answered, if reported. */
  readonly startedAt: number | undefined;
  readonly active: readonly ActiveRun[];
  /** The oldest ends that are not acknowledged. */
  readonly ends: readonly RunEnd[];
  /** Whether further ends may follow once these are acknowledged. */
  readonly moreEnds: boolean;
}

/** Answer to a hold. */
export type HoldAnswer =
  HeldAnswer | {readonly type: 'superseded'} | {readonly type: 'other-life'};

/** An order got no answer and may take effect, now or later. */
export class OrderUnansweredError extends MustardferryError {
  readonly code = 'order-unanswered';
}

/** An order was not sent and has no effect. */
export class OrderNotSentError extends MustardferryError {
  readonly code = 'order-not-sent';
}

/** Sends orders to upstreams; failures reject with the errors above. */
export abstract class UpstreamPort {
  abstract start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer>;
  abstract stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer>;
  abstract hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer>;
  /** Closes the connections to an upstream that is no longer used. */
  abstract releaseUpstream(to: UpstreamTarget): void;
}
