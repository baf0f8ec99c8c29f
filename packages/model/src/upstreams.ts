/** What upstreams say about themselves. */
import type {Resources} from './resources.js';

/** Announcement of an upstream; repeated unchanged as a renewal. */
export interface UpstreamAnnouncement {
  /** Name of the worker, unique in its data centre. */
  readonly worker: string;
  /** `IP:PORT` where the upstream accepts tasks. */
  readonly address: string;
  /** Grows with each start of the upstream process, for example start time in ms. */
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly rack: string;
  /** Capacity; `slots` is the number of tasks that run at once. */
  readonly capacity: Resources;
  readonly maxConnections: number;
  readonly kinds: readonly string[];
}

/** Identity of one life of an upstream. */
export interface UpstreamId {
  readonly address: string;
  readonly incarnation: number;
}

/** Usage report of an upstream; describes the past by `lagMs` milliseconds. */
export interface UsageReport extends UpstreamId {
  readonly lagMs: number;
  readonly used: Resources;
  readonly runningTasks: number;
}

/** Stable text form of an upstream identity. */
export function upstreamKey(id: UpstreamId): string {
  return `${id.address}#${id.incarnation}`;
}
