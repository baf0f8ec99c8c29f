/** Announcements of upstreams, and what is replicated of them. */

/** One incarnation of an upstream, between two restarts. */
export interface UpstreamIncarnation {
  readonly id: string;
  /** Start time in epoch milliseconds; orders the incarnations of an id. */
  readonly startedAt: number;
}

/** Announcement that an upstream sends about itself. */
export interface Announcement extends UpstreamIncarnation {
  readonly pool: string;
  /** `IP:PORT` of its task interface. */
  readonly address: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly labels: readonly string[];
  /** The upstream's monotonic clock in ms at the time of sending. */
  readonly clockMs: number;
  /** Increases with each announcement of an incarnation. */
  readonly sequence: number;
}

/** Part of an announcement that is replicated. */
export type UpstreamRecord = Omit<Announcement, 'clockMs' | 'sequence'> & {
  /** Sequence number of the announcement; earlier programs didn't keep it. */
  readonly sequence?: number;
};

/** Returns the key of an incarnation. */
export function upstreamKey({id, startedAt}: UpstreamIncarnation): string {
  return `${id}@${startedAt}`;
}

/** Whether two records are equal in all fields that dispatch depends on. */
export function areRecordsEqual(a: UpstreamRecord, b: UpstreamRecord): boolean {
  return (
    a.startedAt === b.startedAt &&
    a.pool === b.pool &&
    a.address === b.address &&
    a.leaving === b.leaving &&
    a.cpuMillis === b.cpuMillis &&
    a.memoryMb === b.memoryMb &&
    a.accelerators === b.accelerators &&
    a.dataCentre === b.dataCentre &&
    a.labels.join(' ') === b.labels.join(' ')
  );
}

/** Omits the clock, which only a session needs. */
export function toUpstreamRecord(announcement: Announcement): UpstreamRecord {
  const {
    id,
    startedAt,
    pool,
    address,
    dataCentre,
    leaving,
    cpuMillis,
    memoryMb,
    accelerators,
    labels,
    sequence,
  } = announcement;
  return {
    id,
    startedAt,
    pool,
    address,
    dataCentre,
    leaving,
    cpuMillis,
    memoryMb,
    accelerators,
    labels,
    sequence,
  };
}
