/** Options of a member of the replication group. */
import type {Logger, Metrics} from '@mustardferry/runtime';
import type {FileSystem} from '@mustardferry/storage';

import type {UpstreamPort} from '../upstreams/upstream_port.js';

/** Options of a member. Durations are in milliseconds. */
export interface MemberOptions {
  /** `IP:PORT` for other instances; also the member's name in the log. */
  readonly address: string;
  /** Addresses of the members to contact first. */
  readonly seeds: readonly string[];
  /** Whether the whole group starts for the first time. */
  readonly firstStart: boolean;
  readonly dataCentre: string;
  /** Number of simultaneous member failures, with disks, to tolerate. */
  readonly toleratedFailures: number;
  readonly files: FileSystem;
  readonly dataFolder: string;
  readonly port: UpstreamPort;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly leaseMs: number;
  readonly remoteFactor: number;
  readonly keepEndedMs: number;
  /** Whether to warm up on stand-in upstreams; false by default. */
  readonly warmUp?: boolean;
  /**
   * Called when the log or its storage fails. The process must exit, and its
   * next start recovers from the synced data.
   */
  readonly onFailure: () => void;
}
