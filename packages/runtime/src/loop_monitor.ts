/** Measures event loop delays and the CPU and GC time within them. */
import {PerformanceObserver} from 'node:perf_hooks';

import type {Closable} from './lifecycle.js';
import type {Logger} from './logger.js';
import type {Metrics} from './metrics.js';

/** Options of the monitor. */
export interface LoopMonitorOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Interval between checks in ms; each check wakes up the process. */
const CHECK_PERIOD_MS = 50;

/** Least delay in ms that is logged: 2/3 of a response time objective. */
const REPORT_THRESHOLD_MS = 100;

/**
 * Logs `event-loop-delayed` when a timer fires late. CPU time close to the span
 * means that the process itself was busy, on any of its threads; little CPU
 * time means that it waited for a processor or for a blocking call.
 */
export class LoopMonitor implements Closable {
  readonly name = 'loop-monitor';
  private readonly gcObserver: PerformanceObserver;
  private gcMs = 0;
  private cpu = process.cpuUsage();
  private checkedAt = performance.now();
  private readonly timer = setInterval(
    () => this.check(),
    CHECK_PERIOD_MS,
  ).unref();

  constructor(private readonly options: LoopMonitorOptions) {
    this.gcObserver = new PerformanceObserver(list => {
      for (const {duration} of list.getEntries()) this.gcMs += duration;
    });
    this.gcObserver.observe({entryTypes: ['gc']});
  }

  close(): void {
    clearInterval(this.timer);
    this.gcObserver.disconnect();
  }

  private check(): void {
    const now = performance.now();
    const cpu = process.cpuUsage();
    const spanMs = now - this.checkedAt;
    const delayMs = Math.max(0, spanMs - CHECK_PERIOD_MS);
    const cpuMicros = cpu.user + cpu.system - this.cpu.user - this.cpu.system;
    this.checkedAt = now;
    this.cpu = cpu;
    this.options.metrics.timing('loop.delay', delayMs);
    if (delayMs < REPORT_THRESHOLD_MS) {
      this.gcMs = 0;
      return;
    }
    // The observer gets its GC entries two event loop turns late.
    setImmediate(() =>
      setImmediate(() => this.report(delayMs, spanMs, cpuMicros / 1_000)),
    );
  }

  private report(delayMs: number, spanMs: number, cpuMs: number): void {
    this.options.logger.warn('event-loop-delayed', {
      delayMs: Math.round(delayMs),
      spanMs: Math.round(spanMs),
      cpuMs: Math.round(cpuMs),
      gcMs: Math.round(this.gcMs),
    });
    this.gcMs = 0;
  }
}
