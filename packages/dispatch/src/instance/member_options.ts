/** What a member is made of. */
import type {Logger, Metrics} from '@mustardferry/runtime';
import type {FileSystem} from '@mustardferry/storage';

import type {UpstreamPort} from '../upstreams/upstream_port.js';

/** Options of a member. Durations are in milliseconds. */
export interface MemberOptions {
  /** `IP:PORT` for other instances; also the member's name in the log. */
  readonly address: string;
  /** Addresses of members to begin with. */
  readonly seeds: readonly string[];
  /** Whether the whole group starts for the first time. */
  readonly firstStart: boolean;
  readonly dataCentre: string;
  /** Members that may be lost at once, with their disks. */
  readonly toleratedFailures: number;
  readonly files: FileSystem;
  readonly dataFolder: string;
  readonly port: UpstreamPort;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly leaseMs: number;
  readonly remoteFactor: number;
  readonly keepEndedMs: number;
  /**
   * The log or its storage failed. The process is to end and to recover from
   * what was synced.
   */
  readonly onFailure: () => void;
}
