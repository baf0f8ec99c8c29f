/** Rate-limits a logger and reports how many lines it drops. */
import type {Closable} from './lifecycle.js';
import type {LogFields, Logger, LogLevel} from './logger.js';

/** Rate limits of a logger. */
export interface LogLimit {
  /**
   * Average lines per second. Warnings have a limit of their own, apart from
   * debug and info lines.
   */
  readonly linesPerSecond: number;
  /** Lines that may be written in one burst. */
  readonly burstLines: number;
  /** Lines per second of each event that pass even above the rate limit. */
  readonly reservedLines: number;
}

/** Interval in ms between reports of dropped lines. */
const REPORT_PERIOD_MS = 1_000;

class TokenBucket {
  private tokens: number;
  private at = performance.now();

  constructor(private readonly limit: LogLimit) {
    this.tokens = limit.burstLines;
  }

  take(): boolean {
    const now = performance.now();
    const {linesPerSecond, burstLines} = this.limit;
    const gained = ((now - this.at) * linesPerSecond) / 1_000;
    this.tokens = Math.min(burstLines, this.tokens + gained);
    this.at = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/**
 * Allows each event a few lines per second, so that frequent events do not use
 * up the rate limit of rare ones.
 */
class EventAllowance {
  private countsByEvent = new Map<string, number>();
  private windowEndsAt = 0;

  constructor(private readonly linesPerSecond: number) {}

  take(event: string): boolean {
    const now = performance.now();
    if (now >= this.windowEndsAt) {
      this.countsByEvent.clear();
      this.windowEndsAt = now + 1_000;
    }
    const count = this.countsByEvent.get(event) ?? 0;
    if (count >= this.linesPerSecond) return false;
    this.countsByEvent.set(event, count + 1);
    return true;
  }
}

type LimitedLevel = Exclude<LogLevel, 'silent'>;

class LimitedLogger implements Logger, Closable {
  readonly name = 'limited-logger';
  private readonly dropped = new Map<string, number>();
  private readonly timer = setInterval(
    () => this.report(),
    REPORT_PERIOD_MS,
  ).unref();

  constructor(
    private readonly sink: Logger,
    private readonly routineBucket: TokenBucket,
    private readonly warningBucket: TokenBucket,
    private readonly eventAllowance: EventAllowance,
  ) {}

  debug(event: string, fields?: LogFields): void {
    this.write('debug', event, fields);
  }

  info(event: string, fields?: LogFields): void {
    this.write('info', event, fields);
  }

  warn(event: string, fields?: LogFields): void {
    this.write('warn', event, fields);
  }

  error(event: string, fields?: LogFields): void {
    this.sink.error(event, fields);
  }

  child(fields: LogFields): Logger {
    return new LimitedLogger(
      this.sink.child(fields),
      this.routineBucket,
      this.warningBucket,
      this.eventAllowance,
    );
  }

  close(): void {
    clearInterval(this.timer);
    this.report();
  }

  private write(
    level: LimitedLevel,
    event: string,
    fields: LogFields | undefined,
  ): void {
    const bucket = level === 'warn' ? this.warningBucket : this.routineBucket;
    if (bucket.take() || this.eventAllowance.take(event)) {
      this.sink[level](event, fields);
      return;
    }
    this.dropped.set(event, (this.dropped.get(event) ?? 0) + 1);
  }

  private report(): void {
    if (this.dropped.size === 0) return;
    const counts = Object.fromEntries(this.dropped);
    this.dropped.clear();
    this.sink.warn('log-lines-dropped', {counts});
  }
}

/**
 * Wraps a logger with rate limits. Counts of dropped lines per event are logged
 * as `log-lines-dropped` every second. Errors are never dropped.
 */
export function limitLogger(sink: Logger, limit: LogLimit): Logger & Closable {
  return new LimitedLogger(
    sink,
    new TokenBucket(limit),
    new TokenBucket(limit),
    new EventAllowance(limit.reservedLines),
  );
}
