/** Checksummed snapshots in files that appear only when they are durable. */
import {crc32} from 'node:zlib';

import {type FileSystem, writeFileDurably} from './file_system.js';
import {SnapshotCorruptError, toStorageError} from './storage_errors.js';

/** Options of a snapshot store. */
export interface SnapshotStoreOptions {
  readonly files: FileSystem;
  /** Created when missing; holds nothing but snapshots. */
  readonly folder: string;
}

/** A snapshot read from the store. */
export interface LoadedSnapshot {
  readonly bytes: Uint8Array;
  /** Newer files that were damaged and passed over. */
  readonly damaged: readonly string[];
}

const NAME = /^\d{16}\.snapshot$/;
const MAGIC = Buffer.from([0xff, 0xfe, 0x4d, 0x46]);
const HEADER_BYTES = 16;

function encode(bytes: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  MAGIC.copy(header);
  header.writeUInt32BE(crc32(bytes), 4);
  header.writeUIntBE(bytes.length, 10, 6);
  return Buffer.concat([header, bytes]);
}

function decode(content: Buffer): Uint8Array | undefined {
  if (content.length < HEADER_BYTES) return undefined;
  if (!content.subarray(0, 4).equals(MAGIC)) return undefined;
  const bytes = content.subarray(HEADER_BYTES);
  if (content.readUIntBE(10, 6) !== bytes.length) return undefined;
  return crc32(bytes) === content.readUInt32BE(4) ? bytes : undefined;
}

/** Keeps the newest snapshot; the one before it until the newest is durable. */
export class SnapshotStore {
  private constructor(
    private readonly options: SnapshotStoreOptions,
    private number: number,
  ) {}

  /** @throws StorageReadOnlyError, StorageFullError or StorageIoError */
  static async open(options: SnapshotStoreOptions): Promise<SnapshotStore> {
    const {files, folder} = options;
    try {
      await files.makeFolder(folder);
      const newest = (await files.list(folder))
        .filter(name => NAME.test(name))
        .at(-1);
      const number = newest === undefined ? 0 : Number(newest.slice(0, 16));
      return new SnapshotStore(options, number);
    } catch (err) {
      throw toStorageError(err, `can't open the snapshots in ${folder}`);
    }
  }

  /**
   * Stores a snapshot; resolves once it is durable. Calls must not overlap.
   * After a failure the snapshot before it is still there.
   */
  async save(bytes: Uint8Array): Promise<void> {
    const {files, folder} = this.options;
    const name = `${String(this.number + 1).padStart(16, '0')}.snapshot`;
    try {
      await writeFileDurably(files, folder, name, encode(bytes));
      this.number++;
      for (const old of await this.names()) {
        if (old < name) await files.remove(`${folder}/${old}`);
      }
    } catch (err) {
      throw toStorageError(err, `can't save ${folder}/${name}`);
    }
  }

  /**
   * Reads the newest intact snapshot, or undefined when none was saved.
   *
   * @throws SnapshotCorruptError when there are snapshots, all damaged.
   */
  async load(): Promise<LoadedSnapshot | undefined> {
    const {files, folder} = this.options;
    const damaged: string[] = [];
    try {
      for (const name of [...(await this.names())].reverse()) {
        const path = `${folder}/${name}`;
        const bytes = decode(Buffer.from(await files.readFile(path)));
        if (bytes !== undefined) return {bytes, damaged};
        damaged.push(path);
      }
    } catch (err) {
      throw toStorageError(err, `can't read the snapshots in ${folder}`);
    }
    if (damaged.length === 0) return undefined;
    throw new SnapshotCorruptError(`snapshots damaged: ${damaged.join(', ')}`);
  }

  private async names(): Promise<readonly string[]> {
    const names = await this.options.files.list(this.options.folder);
    return names.filter(name => NAME.test(name));
  }
}
