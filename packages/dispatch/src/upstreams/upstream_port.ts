/** How the owner of an upstream reaches it. */
import {MustardferryError} from '@mustardferry/model';

import type {RunOutcome, TaskId} from '../jobs/job_types.js';
import type {UpstreamIncarnation} from './upstream_types.js';

/** Where an order goes. */
export interface UpstreamTarget extends UpstreamIncarnation {
  readonly address: string;
  readonly dataCentre: string;
}

/** Part of every order. */
export interface Order {
  /** Fencing token: the upstream ignores orders with a lower one. */
  readonly token: number;
  /** Longest wait for the answer in milliseconds. */
  readonly timeoutMs: number;
}

/** Starts one run of a task. */
export interface StartOrder extends Order {
  readonly task: TaskId;
  /** Rises with each run of the task. */
  readonly run: number;
  readonly payload: string;
  /** End of the lease of all runs there, on the upstream's clock. */
  readonly leaseUntil: number;
}

/** Ends one run, and forbids it if it hasn't begun. */
export interface StopOrder extends Order {
  readonly task: TaskId;
  readonly run: number;
}

/** Asks for runs and ends, extends the lease, acknowledges ends. */
export interface HoldOrder extends Order {
  /** Not set: the lease is not extended. */
  readonly leaseUntil?: number;
  /** Ends up to this number may be forgotten; 0 for no more than before. */
  readonly acknowledged: number;
  /** Longest time that the upstream waits for an end before it answers. */
  readonly waitMs: number;
}

/** Why a start was refused; it then has had no effect. */
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

/** Answer to a stop: the run has ended there or never begins. */
export type StopAnswer =
  | {readonly type: 'stopping'}
  | {readonly type: 'superseded'}
  | {readonly type: 'other-life'};

/** A run that is going on. */
export interface ActiveRun {
  readonly task: TaskId;
  readonly run: number;
  /** Share of the work that is done, 0 to 100. */
  readonly percent: number;
}

/** A run that has ended. */
export interface RunEnd {
  /** Position in the upstream's list of ends, from 1. */
  readonly sequence: number;
  readonly task: TaskId;
  readonly run: number;
  readonly outcome: RunOutcome;
}

/** Answer to a hold. */
export type HoldAnswer =
  | {
      readonly type: 'held';
      readonly clockMs: number;
      /** Start of the life that answered; unknown when it isn't told. */
      readonly startedAt: number | undefined;
      readonly active: readonly ActiveRun[];
      readonly ends: readonly RunEnd[];
    }
  | {readonly type: 'superseded'}
  | {readonly type: 'other-life'};

/** Orders that may have been carried out, now or later. */
export class OrderUnansweredError extends MustardferryError {
  readonly code = 'order-unanswered';
}

/** Orders that never left. */
export class OrderNotSentError extends MustardferryError {
  readonly code = 'order-not-sent';
}

/** Transport of orders; methods throw the errors above. */
export abstract class UpstreamPort {
  abstract start(to: UpstreamTarget, order: StartOrder): Promise<StartAnswer>;
  abstract stop(to: UpstreamTarget, order: StopOrder): Promise<StopAnswer>;
  abstract hold(to: UpstreamTarget, order: HoldOrder): Promise<HoldAnswer>;
  /** Ends the connections to an upstream that is no longer used. */
  abstract releaseUpstream(to: UpstreamTarget): void;
}
