/** Settings of one entry instance, as loaded from its INI file. */

/** An instance listed in the settings; the list includes this instance. */
export interface InstanceAddress {
  readonly name: string;
  readonly dataCentre: string;
  /** `IP:PORT` of the HTTP listener, which also serves the peers. */
  readonly address: string;
  /** Whether the instance has a data folder on a disk. */
  readonly disk: boolean;
}

/** Bearer tokens of each interface; an empty list disables authentication. */
export interface AccessTokens {
  readonly clients: readonly string[];
  readonly operators: readonly string[];
  readonly upstreams: readonly string[];
  readonly instances: readonly string[];
}

/** Limits on requests and queues. */
export interface RequestLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxTasksPerJob: number;
  readonly maxQueuedTasks: number;
  readonly maxConnections: number;
  readonly maxWaitMs: number;
  /** Time for which a job may wait for an upstream that is able to run it. */
  readonly unknownUpstreamWaitMs: number;
}

/** Selected policies; the alternatives are baselines for experiments. */
export interface PolicyNames {
  readonly routing:
    'expected-end' | 'two-choices' | 'least-outstanding' | 'random';
  readonly sharing: 'weighted-fair' | 'first-in-first-out';
  readonly hedging: 'expected-gain' | 'off';
}

/** Settings of one entry instance. Durations are in milliseconds. */
export interface InstanceSettings {
  readonly name: string;
  readonly dataCentre: string;
  /** `IP:PORT` to listen on; the address in `instances` may differ. */
  readonly listen: string;
  /** Absolute path of the data folder; empty for an instance without a disk. */
  readonly dataFolder: string;
  readonly instances: readonly InstanceAddress[];
  /** Names of the instances that vote in the control log. */
  readonly controlVoters: readonly string[];
  readonly recordGroups: number;
  readonly recordRetentionMs: number;
  readonly heartbeatMs: number;
  readonly electionTimeoutMs: number;
  readonly taskLeaseMs: number;
  readonly upstreamRenewalMs: number;
  readonly upstreamExpiryMs: number;
  readonly drainTimeoutMs: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** `HOST:PORT` of a StatsD receiver; empty for none. */
  readonly statsd: string;
  readonly tokens: AccessTokens;
  readonly limits: RequestLimits;
  readonly policies: PolicyNames;
}

/** Data centres named by the listed instances, sorted, each once. */
export function dataCentresOf(settings: InstanceSettings): readonly string[] {
  const names = settings.instances.map(instance => instance.dataCentre);
  return [...new Set(names)].sort();
}
