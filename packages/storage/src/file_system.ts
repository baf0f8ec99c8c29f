/** File operations of the storage layer, so that tests can inject failures. */
import {constants} from 'node:fs';
import * as fs from 'node:fs/promises';

/** An open file. Operations reject with the system's error. */
export abstract class OpenFile {
  /** Writes all bytes at a position. */
  abstract write(bytes: Uint8Array, position: number): Promise<void>;
  abstract truncate(size: number): Promise<void>;
  /** Resolves once the content is on the disk (fdatasync). */
  abstract sync(): Promise<void>;
  abstract close(): Promise<void>;
}

/** A file system. Operations reject with the system's error. */
export abstract class FileSystem {
  /** Creates a folder and its parents where missing. */
  abstract makeFolder(path: string): Promise<void>;
  /** Names in a folder, sorted. */
  abstract list(path: string): Promise<readonly string[]>;
  abstract readFile(path: string): Promise<Uint8Array>;
  /** Opens for writing; creates the file where missing. */
  abstract open(path: string): Promise<OpenFile>;
  abstract rename(from: string, to: string): Promise<void>;
  abstract remove(path: string): Promise<void>;
  /** Removes a folder with its content; a missing one is no error. */
  abstract removeFolder(path: string): Promise<void>;
  /** Makes creations, renames and removals in a folder durable. */
  abstract syncFolder(path: string): Promise<void>;
  /** Text that is the same for every path to the same folder. */
  abstract identityOf(path: string): Promise<string>;
}

class NodeOpenFile extends OpenFile {
  constructor(private readonly handle: fs.FileHandle) {
    super();
  }

  override async write(bytes: Uint8Array, position: number): Promise<void> {
    let done = 0;
    while (done < bytes.length) {
      const left = bytes.length - done;
      const at = position + done;
      const {bytesWritten} = await this.handle.write(bytes, done, left, at);
      done += bytesWritten;
    }
  }

  override truncate(size: number): Promise<void> {
    return this.handle.truncate(size);
  }

  override sync(): Promise<void> {
    return this.handle.datasync();
  }

  override close(): Promise<void> {
    return this.handle.close();
  }
}

/** The file system of the machine. */
export class NodeFileSystem extends FileSystem {
  override async makeFolder(path: string): Promise<void> {
    await fs.mkdir(path, {recursive: true});
  }

  override async list(path: string): Promise<readonly string[]> {
    return (await fs.readdir(path)).sort();
  }

  override readFile(path: string): Promise<Uint8Array> {
    return fs.readFile(path);
  }

  override async open(path: string): Promise<OpenFile> {
    const flags = constants.O_RDWR | constants.O_CREAT;
    return new NodeOpenFile(await fs.open(path, flags, 0o600));
  }

  override rename(from: string, to: string): Promise<void> {
    return fs.rename(from, to);
  }

  override remove(path: string): Promise<void> {
    return fs.unlink(path);
  }

  override removeFolder(path: string): Promise<void> {
    return fs.rm(path, {recursive: true, force: true});
  }

  override async syncFolder(path: string): Promise<void> {
    const handle = await fs.open(path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  override async identityOf(path: string): Promise<string> {
    const {dev, ino} = await fs.stat(path, {bigint: true});
    return `${dev}:${ino}`;
  }
}

/** Writes a whole file so that it appears under its name only when durable. */
export async function writeFileDurably(
  files: FileSystem,
  folder: string,
  name: string,
  bytes: Uint8Array,
): Promise<void> {
  const temporary = `${folder}/${name}.tmp`;
  const file = await files.open(temporary);
  try {
    await file.truncate(0);
    await file.write(bytes, 0);
    await file.sync();
  } finally {
    await file.close();
  }
  await files.rename(temporary, `${folder}/${name}`);
  await files.syncFolder(folder);
}
