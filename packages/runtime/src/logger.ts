/** Structured logs: one JSON object a line, one event name each. */
import pino from 'pino';

/** Levels in order of severity. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Fields of a log record besides its event name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logger whose records carry a documented event name. */
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

/** Creates a logger that writes JSON lines to standard error. */
export function createLogger(level: LogLevel, base: LogFields = {}): Logger {
  const options: pino.LoggerOptions = {
    level,
    base,
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: {level: label => ({level: label})},
    serializers: {err: pino.stdSerializers.err},
  };
  return new PinoLogger(pino(options, pino.destination({dest: 2, sync: true})));
}
