/** Errors of the replicated state machines and their storage. */
import {MustardferryError} from '@mustardferry/model';

/** A snapshot was written by an unknown format version. */
export class SnapshotFormatError extends MustardferryError {
  readonly code = 'snapshot-format-unknown';
}

/** Audit entries are missing between an archive and the entries to add. */
export class AuditGapError extends MustardferryError {
  readonly code = 'audit-gap';
}

/** A disk operation of the coordination layer failed. */
export class LogStorageError extends MustardferryError {
  readonly code = 'log-storage-failed';
}
