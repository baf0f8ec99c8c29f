export {DataFolder, type DataFolderOptions} from './data_folder.js';
export {
  FileSystem,
  NodeFileSystem,
  OpenFile,
  writeFileDurably,
} from './file_system.js';
export {Journal, type JournalStats} from './journal.js';
export type {JournalRecord, TornTail} from './journal_segments.js';
export type {JournalOptions, JournalWrite} from './segment_writer.js';
export {
  type FileOperation,
  SimulatedFileSystem,
} from './simulated_file_system.js';
export {
  type LoadedSnapshot,
  SnapshotStore,
  type SnapshotStoreOptions,
} from './snapshot_store.js';
export {
  DataFolderForeignError,
  DataFolderInvalidError,
  DataFolderLockedError,
  JournalClosedError,
  JournalCorruptError,
  JournalFailedError,
  SnapshotCorruptError,
  StorageFullError,
  StorageIoError,
  StorageReadOnlyError,
  toStorageError,
} from './storage_errors.js';
