/** Metrics served over HTTP in the Prometheus text format. */
import {createServer, type Server} from 'node:http';

import {Counter, Gauge, Histogram, Registry} from 'prom-client';

import {Metrics, type MetricTags} from './metrics.js';

/** Options of the metrics endpoint. */
export interface PrometheusOptions {
  readonly host: string;
  readonly port: number;
  readonly path: string;
  /**
   * Called when the server or the rendering of the metrics fails, or a sample
   * is refused. When the port can't be opened, samples are still collected, but
   * not served.
   */
  readonly onError: (err: Error) => void;
}

/** Upper bounds of the histogram buckets in ms, about 1.6 times apart. */
const BUCKETS_MS = [
  1, 2, 3, 5, 8, 12, 20, 32, 50, 80, 125, 200, 320, 500, 800, 1250, 2000, 3200,
  5000,
];

/** Collects samples as `mustardferry_NAME`, with dots as underscores. */
class PrometheusMetrics extends Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();
  private readonly server: Server;

  constructor(private readonly options: PrometheusOptions) {
    super();
    this.server = createServer((req, res) => {
      if (req.url !== options.path) {
        res.writeHead(404).end();
        return;
      }
      this.registry.metrics().then(
        text => res.writeHead(200, {'content-type': 'text/plain'}).end(text),
        (err: Error) => {
          options.onError(err);
          res.writeHead(500).end();
        },
      );
    });
    this.server.on('error', options.onError);
  }

  listen(): Promise<void> {
    const {host, port} = this.options;
    return new Promise(resolve => {
      this.server.once('error', () => resolve());
      this.server.listen(port, host, () => resolve());
    });
  }

  override increment(name: string, value = 1, tags: MetricTags = {}): void {
    this.record(() => {
      let counter = this.counters.get(name);
      if (!counter) {
        counter = new Counter(this.metricOptions(`${name}_total`, tags));
        this.counters.set(name, counter);
      }
      counter.inc(tags, value);
    });
  }

  override gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.record(() => {
      let gauge = this.gauges.get(name);
      if (!gauge) {
        gauge = new Gauge(this.metricOptions(name, tags));
        this.gauges.set(name, gauge);
      }
      gauge.set(tags, value);
    });
  }

  override timing(name: string, ms: number, tags: MetricTags = {}): void {
    this.record(() => {
      let histogram = this.histograms.get(name);
      if (!histogram) {
        histogram = new Histogram({
          ...this.metricOptions(`${name}_ms`, tags),
          buckets: BUCKETS_MS,
        });
        this.histograms.set(name, histogram);
      }
      histogram.observe(tags, ms);
    });
  }

  override close(): Promise<void> {
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  /**
   * A sample that the library refuses, for example with other tags than the
   * first one of its name, is reported and dropped: it must not interrupt the
   * work that it counts.
   */
  private record(sample: () => void): void {
    try {
      sample();
    } catch (err) {
      const cause = err instanceof Error ? err : new Error(String(err));
      this.options.onError(cause);
    }
  }

  private metricOptions(name: string, tags: MetricTags) {
    return {
      name: `mustardferry_${name.replaceAll('.', '_')}`,
      help: `See docs/metrics.md`,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    };
  }
}

/** Creates the metrics and starts their HTTP endpoint. */
export async function createPrometheusMetrics(
  options: PrometheusOptions,
): Promise<Metrics> {
  const metrics = new PrometheusMetrics(options);
  await metrics.listen();
  return metrics;
}
