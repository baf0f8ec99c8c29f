/** Structured logging: one JSON object with an event name per line. */
import pino from 'pino';

/** Log levels in ascending order of severity; `silent` disables logging. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Fields of a log record besides its event name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logger whose records each have a documented event name. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  child(fields: LogFields): Logger;
}

class PinoLogger implements Logger {
  constructor(private readonly sink: pino.Logger) {}

  debug(event: string, fields: LogFields = {}): void {
    this.sink.debug({event, ...fields});
  }

  info(event: string, fields: LogFields = {}): void {
    this.sink.info({event, ...fields});
  }

  warn(event: string, fields: LogFields = {}): void {
    this.sink.warn({event, ...fields});
  }

  error(event: string, fields: LogFields = {}): void {
    this.sink.error({event, ...fields});
  }

  child(fields: LogFields): Logger {
    return new PinoLogger(this.sink.child(fields));
  }
}

/** Destination of log lines. */
export interface LogOutput {
  /**
   * `stderr` writes each line before the call returns. `stdout` never blocks:
   * lines are written asynchronously, and dropped while the reader is too slow.
   */
  readonly destination: 'stderr' | 'stdout';
}

/** Size of the write buffer beyond which lines are dropped. */
const MAX_UNWRITTEN_BYTES = 1024 * 1024;

/** Buffered bytes that trigger a write, so that one write covers many lines. */
const WRITE_BUFFER_BYTES = 8_192;

/** Longest time in ms that a line stays buffered. */
const FLUSH_PERIOD_MS = 250;

function openOutput({destination}: LogOutput): pino.DestinationStream {
  if (destination === 'stderr') return pino.destination({dest: 2, sync: true});
  const output = pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_BUFFER_BYTES,
    maxLength: MAX_UNWRITTEN_BYTES,
  });
  output.on('error', () => undefined);
  setInterval(() => output.flush(), FLUSH_PERIOD_MS).unref();
  process.on('exit', () => {
    try {
      output.flushSync();
    } catch {
      // The reader has closed the pipe, so the failure can't be logged either.
    }
  });
  return output;
}

/** Creates a logger that writes JSON lines, to standard error by default. */
export function createLogger(
  level: LogLevel,
  base: LogFields = {},
  output: LogOutput = {destination: 'stderr'},
): Logger {
  const options: pino.LoggerOptions = {
    level,
    base,
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: {level: label => ({level: label})},
    serializers: {err: pino.stdSerializers.err},
  };
  return new PinoLogger(pino(options, openOutput(output)));
}
