/** Errors of the storage layer, and the conversion of system errors. */
import {MustardferryError} from '@mustardferry/model';

/** The disk, or the quota on it, is full. */
export class StorageFullError extends MustardferryError {
  readonly code = 'storage-full';
}

/** The file system is read-only or denies writing. */
export class StorageReadOnlyError extends MustardferryError {
  readonly code = 'storage-read-only';
}

/** Any other failure of a file operation. */
export class StorageIoError extends MustardferryError {
  readonly code = 'storage-io-failed';
}

/** Synced records are damaged or missing. */
export class JournalCorruptError extends MustardferryError {
  readonly code = 'journal-corrupt';

  constructor(
    readonly file: string,
    readonly offset: number,
    reason: string,
  ) {
    super(`journal file ${file} is corrupt at offset ${offset}: ${reason}`);
  }
}

/** An earlier write or sync failed; the content of the file is unknown. */
export class JournalFailedError extends MustardferryError {
  readonly code = 'journal-failed';
}

/** The journal was closed. */
export class JournalClosedError extends MustardferryError {
  readonly code = 'journal-closed';
}

/** No intact snapshot is left where there was one. */
export class SnapshotCorruptError extends MustardferryError {
  readonly code = 'snapshot-corrupt';
}

/** Another process uses the data folder. */
export class DataFolderLockedError extends MustardferryError {
  readonly code = 'data-folder-locked';
}

/** The data folder belongs to another instance. */
export class DataFolderForeignError extends MustardferryError {
  readonly code = 'data-folder-foreign';
}

/** The data folder holds files but no readable identity. */
export class DataFolderInvalidError extends MustardferryError {
  readonly code = 'data-folder-invalid';
}

/** Code of a system error, or empty. */
export function systemCode(err: unknown): string {
  if (typeof err !== 'object' || err === null || !('code' in err)) return '';
  return typeof err.code === 'string' ? err.code : '';
}

/** Converts a system error; errors of this layer pass unchanged. */
export function toStorageError(
  err: unknown,
  action: string,
): MustardferryError {
  if (err instanceof MustardferryError) return err;
  const message = `${action}: ${err instanceof Error ? err.message : String(err)}`;
  switch (systemCode(err)) {
    case 'ENOSPC':
    case 'EDQUOT':
      return new StorageFullError(message, {cause: err});
    case 'EROFS':
    case 'EACCES':
    case 'EPERM':
      return new StorageReadOnlyError(message, {cause: err});
    default:
      return new StorageIoError(message, {cause: err});
  }
}
