/** Upstreams as they announce themselves. */

/** One life of an upstream. */
export interface UpstreamIncarnation {
  readonly id: string;
  /** Epoch milliseconds of its start; orders the lives of one id. */
  readonly startedAt: number;
}

/** What an upstream says of itself. */
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
  /** Its steady clock in milliseconds when it sent the announcement. */
  readonly clockMs: number;
  /** Rises within a life. */
  readonly sequence: number;
}

/** Part of an announcement that is replicated. */
export type UpstreamRecord = Omit<Announcement, 'clockMs' | 'sequence'>;

/** Key of one life. */
export function lifeKey({id, startedAt}: UpstreamIncarnation): string {
  return `${id}@${startedAt}`;
}

/** Whether two records agree in everything that dispatch depends on. */
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

/** Drops the fields that change with every announcement. */
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
  };
}
