/** Resource vectors of workers, tasks and quotas. */

/** Amount of each schedulable resource: slots, processors, MiB and devices. */
export interface Resources {
  readonly slots: number;
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Names of the resource dimensions, in a fixed order. */
export const RESOURCE_NAMES = [
  'slots',
  'processors',
  'memoryMb',
  'accelerators',
] as const satisfies readonly (keyof Resources)[];

/** A resource dimension. */
export type ResourceName = (typeof RESOURCE_NAMES)[number];

/** The empty resource vector. */
export const NO_RESOURCES: Resources = {
  slots: 0,
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Adds two resource vectors. */
export function addResources(a: Resources, b: Resources): Resources {
  return {
    slots: a.slots + b.slots,
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Subtracts `b` from `a`; amounts in the result can be negative. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return {
    slots: a.slots - b.slots,
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** Whether `need` fits into `available` in every dimension. */
export function fitsInto(need: Resources, available: Resources): boolean {
  return RESOURCE_NAMES.every(name => need[name] <= available[name]);
}
