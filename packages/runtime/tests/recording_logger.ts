/** A logger that keeps its records for tests. */
import type {LogFields, Logger} from '../src/logger.js';

/** One record. */
export interface LogRecord extends LogFields {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly event: string;
}

/** Keeps records of all levels. */
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

  /** Records of one event. */
  of(event: string): readonly LogRecord[] {
    return this.records.filter(record => record.event === event);
  }
}
