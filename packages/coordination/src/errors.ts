/** Errors of the replicated state machines and their storage. */
import {MustardferryError} from '@mustardferry/model';

/** The format version of a snapshot is not supported. */
export class SnapshotFormatError extends MustardferryError {
  readonly code = 'snapshot-format-unknown';
}

/** Audit entries are missing between the archived ones and those to append. */
export class AuditGapError extends MustardferryError {
  readonly code = 'audit-gap';
}

/** A disk operation of the coordination layer failed. */
export class LogStorageError extends MustardferryError {
  readonly code = 'log-storage-failed';
}
