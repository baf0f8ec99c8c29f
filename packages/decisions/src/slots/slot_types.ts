/** Messages between the slot allocator of a data centre and its instances. */
import type {Resources} from '@mustardferry/model';

import type {ReasonCode} from '../explain/reasons.js';
import type {Entitlement} from '../sharing/sharing_policy.js';

/** A worker as the allocator sees it. */
export interface AllocatorWorker {
  /** `upstreamKey` of the worker's upstream. */
  readonly worker: string;
  readonly rack: string;
  /** Time factor; 1 is average. */
  readonly speedFactor: number;
  readonly capacity: Resources;
}

/** Weight and quota of a team, from the policy. */
export interface AllocatorTeam {
  readonly team: string;
  readonly weight: number;
  readonly quota: Resources;
}

/** Report of an instance. */
export interface InstanceDemand {
  readonly instance: string;
  /** Relative size, which divides the idle credits. */
  readonly weight: number;
  /** Resources of the queued and running tasks of each team. */
  readonly teams: readonly {
    readonly team: string;
    readonly demand: Resources;
  }[];
}

/** Credits of one worker held by an instance. */
export interface HeldCredits {
  readonly worker: string;
  readonly credits: number;
}

/** Credits to add. */
export interface SlotGrant {
  readonly worker: string;
  readonly instance: string;
  readonly credits: number;
}

/** Outcome for one instance. */
export interface InstanceAllocation {
  readonly instance: string;
  /** Credits to hold at most; absent when none are asked back. */
  readonly keep?: number;
  /** Slots of each team with demand, the weights of its sharing policy. */
  readonly entitlements: readonly Entitlement[];
  readonly reason: ReasonCode;
}

/** Result of one allocation. */
export interface SlotAllocation {
  readonly grants: readonly SlotGrant[];
  readonly instances: readonly InstanceAllocation[];
}

/** Whole input for a single allocation. */
export interface SlotAllocationInput {
  readonly workers: readonly AllocatorWorker[];
  readonly teams: readonly AllocatorTeam[];
  readonly instances: readonly (InstanceDemand & {
    readonly held: readonly HeldCredits[];
  })[];
}
