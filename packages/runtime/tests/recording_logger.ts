/** Logger that stores its records for assertions in tests. */
import type {LogFields, Logger} from '../src/logger.js';

/** A stored log record. */
export interface LogRecord extends LogFields {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly event: string;
}

/** Stores records of all levels, also those of child loggers. */
export class RecordingLogger implements Logger {
  readonly records: LogRecord[] = [];

  debug(event: string, fields?: LogFields): void {
    this.records.push({...fields, level: 'debug', event});
  }

  info(event: string, fields?: LogFields): void {
    this.records.push({...fields, level: 'info', event});
  }

  warn(event: string, fields?: LogFields): void {
    this.records.push({...fields, level: 'warn', event});
  }

  error(event: string, fields?: LogFields): void {
    this.records.push({...fields, level: 'error', event});
  }

  child(): Logger {
    return this;
  }

  /** Returns the records with the given event name. */
  of(event: string): readonly LogRecord[] {
    return this.records.filter(record => record.event === event);
  }
}
