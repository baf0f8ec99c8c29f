/** Messages between the slot allocator of a data centre and its instances. */
import type {Resources} from '@mustardferry/model';

import type {ReasonCode} from '../explain/reasons.js';
import type {Entitlement} from '../sharing/sharing_policy.js';

/** Description of a worker for the allocator. */
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

/** Demand reported by an instance. */
export interface InstanceDemand {
  readonly instance: string;
  /** Relative size, by which idle credits are divided. */
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

/** Credits of a worker granted to an instance. */
export interface SlotGrant {
  readonly worker: string;
  readonly instance: string;
  readonly credits: number;
}

/** Result of an allocation for one instance. */
export interface InstanceAllocation {
  readonly instance: string;
  /** Most credits to keep; absent when none have to be returned. */
  readonly keep?: number;
  /** Slots of each team with demand, used as weights when sharing. */
  readonly entitlements: readonly Entitlement[];
  readonly reason: ReasonCode;
}

/** Result of one allocation. */
export interface SlotAllocation {
  readonly grants: readonly SlotGrant[];
  readonly instances: readonly InstanceAllocation[];
}

/** Complete input of a single allocation. */
export interface SlotAllocationInput {
  readonly workers: readonly AllocatorWorker[];
  readonly teams: readonly AllocatorTeam[];
  readonly instances: readonly (InstanceDemand & {
    readonly held: readonly HeldCredits[];
  })[];
}
