/** Announcements, identities and usage reports of upstreams. */
import type {Resources} from './resources.js';

/** Announcement of an upstream, sent again unchanged to renew it. */
export interface UpstreamAnnouncement {
  /** Name of the worker, unique within its data centre. */
  readonly worker: string;
  /** `IP:PORT` on which the upstream accepts tasks. */
  readonly address: string;
  /** Increases with each start of the process, such as its start time in ms. */
  readonly incarnation: number;
  readonly dataCentre: string;
  readonly rack: string;
  /** Capacity; `slots` is the number of tasks that run at once. */
  readonly capacity: Resources;
  readonly maxConnections: number;
  readonly kinds: readonly string[];
}

/** Identifies one incarnation of an upstream. */
export interface UpstreamId {
  readonly address: string;
  readonly incarnation: number;
}

/** Resource usage of an upstream, measured `lagMs` milliseconds ago. */
export interface UsageReport extends UpstreamId {
  readonly lagMs: number;
  readonly used: Resources;
  readonly runningTasks: number;
}

/** Returns an upstream identity as a string, for use as a key. */
export function upstreamKey(id: UpstreamId): string {
  return `${id.address}#${id.incarnation}`;
}
