/** Metrics that store their samples for assertions in tests. */
import {Metrics} from '../src/metrics.js';

/** Stores all timings and the latest value of each gauge; ignores counters. */
export class RecordingMetrics extends Metrics {
  readonly timings: [string, number][] = [];
  readonly gauges: Record<string, number> = {};

  override increment(..._args: Parameters<Metrics['increment']>): void {}

  override gauge(name: string, value: number): void {
    this.gauges[name] = value;
  }

  override timing(name: string, ms: number): void {
    this.timings.push([name, ms]);
  }

  override async close(): Promise<void> {}
}
