/** Metrics interface and its StatsD implementation. */
import {StatsD} from 'hot-shots';

/** Tags of a sample. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receives metric samples; docs/metrics.md lists their names and units. */
export abstract class Metrics {
  abstract increment(name: string, value?: number, tags?: MetricTags): void;
  abstract gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  abstract timing(name: string, ms: number, tags?: MetricTags): void;
  abstract close(): Promise<void>;
}

/** Discards samples; used where no StatsD address is configured. */
export class NullMetrics extends Metrics {
  override increment(): void {}
  override gauge(): void {}
  override timing(): void {}
  override async close(): Promise<void> {}
}

class StatsdMetrics extends Metrics {
  constructor(private readonly client: StatsD) {
    super();
  }

  override increment(name: string, value = 1, tags: MetricTags = {}): void {
    this.client.increment(name, value, {...tags});
  }

  override gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, {...tags});
  }

  override timing(name: string, ms: number, tags: MetricTags = {}): void {
    this.client.timing(name, ms, {...tags});
  }

  override close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}

/** Options of a StatsD client. */
export interface StatsdOptions {
  readonly host: string;
  readonly port: number;
  /** Tags added to every sample. */
  readonly tags: MetricTags;
}

/** Creates a StatsD client that batches samples into UDP datagrams. */
export function createStatsdMetrics(options: StatsdOptions): Metrics {
  return new StatsdMetrics(
    new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'mustardferry.',
      globalTags: {...options.tags},
      maxBufferSize: 1_400,
      bufferFlushInterval: 1_000,
      errorHandler: () => undefined,
    }),
  );
}
