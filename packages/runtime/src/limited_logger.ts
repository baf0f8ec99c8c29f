/** Bounds the volume of log lines. */
import type {Closable} from './lifecycle.js';
import type {LogFields, Logger, LogLevel} from './logger.js';

/** Options of the limit. */
export interface LogLimit {
  /** Lines a second on average; warnings and routine lines count apart. */
  readonly linesPerSecond: number;
  /** Lines that may come at once. */
  readonly burstLines: number;
  /** Lines a second of each event that pass in any case. */
  readonly reservedLines: number;
}

/** Period in ms in which dropped lines are reported. */
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

/** Keeps frequent events from crowding out rare ones. */
class Reserve {
  private passed = new Map<string, number>();
  private until = 0;

  constructor(private readonly linesPerSecond: number) {}

  take(event: string): boolean {
    const now = performance.now();
    if (now >= this.until) {
      this.passed.clear();
      this.until = now + 1_000;
    }
    const count = this.passed.get(event) ?? 0;
    if (count >= this.linesPerSecond) return false;
    this.passed.set(event, count + 1);
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
    private readonly routine: TokenBucket,
    private readonly warnings: TokenBucket,
    private readonly reserve: Reserve,
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
      this.routine,
      this.warnings,
      this.reserve,
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
    const bucket = level === 'warn' ? this.warnings : this.routine;
    if (bucket.take() || this.reserve.take(event)) {
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
 * Limits a logger; what is dropped is counted and reported each second.
 * Errors always pass.
 */
export function limitLogger(sink: Logger, limit: LogLimit): Logger & Closable {
  return new LimitedLogger(
    sink,
    new TokenBucket(limit),
    new TokenBucket(limit),
    new Reserve(limit.reservedLines),
  );
}
