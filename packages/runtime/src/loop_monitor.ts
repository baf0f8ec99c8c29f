/** Measures how long the event loop keeps its callbacks waiting, and why. */
import {PerformanceObserver} from 'node:perf_hooks';

import type {Closable} from './lifecycle.js';
import type {Logger} from './logger.js';
import type {Metrics} from './metrics.js';

/** Options of the monitor. */
export interface LoopMonitorOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Period of the check in ms; each check wakes the process. */
const PERIOD_MS = 50;

/** Delay in ms beyond which a line is written: two thirds of an objective. */
const REPORT_DELAY_MS = 100;

/**
 * Reports `event-loop-delayed` when a timer fires late. Processor time close to
 * the span tells of work in the process itself, on any of its threads; little
 * of it tells that the process waited for the processor or a blocking call.
 */
export class LoopMonitor implements Closable {
  readonly name = 'loop-monitor';
  private readonly collections: PerformanceObserver;
  private gcMs = 0;
  private cpu = process.cpuUsage();
  private checkedAt = performance.now();
  private readonly timer = setInterval(() => this.check(), PERIOD_MS).unref();

  constructor(private readonly options: LoopMonitorOptions) {
    this.collections = new PerformanceObserver(list => {
      for (const {duration} of list.getEntries()) this.gcMs += duration;
    });
    this.collections.observe({entryTypes: ['gc']});
  }

  close(): void {
    clearInterval(this.timer);
    this.collections.disconnect();
  }

  private check(): void {
    const now = performance.now();
    const cpu = process.cpuUsage();
    const spanMs = now - this.checkedAt;
    const delayMs = Math.max(0, spanMs - PERIOD_MS);
    const usedMicros = cpu.user + cpu.system - this.cpu.user - this.cpu.system;
    this.checkedAt = now;
    this.cpu = cpu;
    this.options.metrics.timing('loop.delay', delayMs);
    if (delayMs < REPORT_DELAY_MS) {
      this.gcMs = 0;
      return;
    }
    // Collections are told of two turns of the event loop later.
    setImmediate(() =>
      setImmediate(() => this.report(delayMs, spanMs, usedMicros / 1_000)),
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
