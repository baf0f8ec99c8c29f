/** File system in memory with crashes and injected failures, for tests. */
import {randomUUID} from 'node:crypto';

import {FileSystem, OpenFile} from './file_system.js';

/** Operations that can fail. */
export type FileOperation =
  | 'makeFolder'
  | 'list'
  | 'readFile'
  | 'open'
  | 'write'
  | 'truncate'
  | 'sync'
  | 'rename'
  | 'remove'
  | 'syncFolder';

interface StoredFile {
  written: Buffer;
  synced: Buffer;
}

function systemError(code: string, path: string): Error {
  return Object.assign(new Error(`${code}: ${path}`), {code});
}

class SimulatedOpenFile extends OpenFile {
  constructor(
    private readonly files: SimulatedFileSystem,
    private readonly path: string,
    private readonly file: StoredFile,
  ) {
    super();
  }

  override async write(bytes: Uint8Array, position: number): Promise<void> {
    const part = this.files.enterWrite(this.path, bytes);
    const size = Math.max(this.file.written.length, position + part.length);
    const next = Buffer.alloc(size);
    this.file.written.copy(next);
    next.set(part, position);
    this.file.written = next;
    if (part.length < bytes.length) throw systemError('ENOSPC', this.path);
  }

  override async truncate(size: number): Promise<void> {
    this.files.enter('truncate', this.path);
    const next = Buffer.alloc(size);
    this.file.written.copy(next);
    this.file.written = next;
  }

  override async sync(): Promise<void> {
    this.files.enter('sync', this.path);
    this.file.synced = this.file.written;
  }

  override async close(): Promise<void> {}
}

/** Keeps written and synced content apart, as a disk with a cache does. */
export class SimulatedFileSystem extends FileSystem {
  /** Number of calls by operation. */
  readonly calls = new Map<FileOperation, number>();
  private names = new Map<string, StoredFile>();
  private syncedNames = new Map<string, StoredFile>();
  private readonly failures = new Map<FileOperation, string>();
  private readonly identity = randomUUID();
  private freeBytes = Infinity;
  private stopped = false;

  /** Lets an operation fail with a system code, or succeed with undefined. */
  fail(operation: FileOperation, code: string | undefined): void {
    if (code === undefined) this.failures.delete(operation);
    else this.failures.set(operation, code);
  }

  /** Space left; a write beyond it is cut and fails with ENOSPC. */
  limitSpace(bytes: number): void {
    this.freeBytes = bytes;
  }

  /** Loses what is not synced, except the first `tornBytes` of each file. */
  crash(tornBytes = 0): void {
    this.failures.clear();
    this.freeBytes = Infinity;
    this.names = new Map(this.syncedNames);
    for (const file of this.names.values()) {
      const kept = file.synced.length + tornBytes;
      const torn = file.written.subarray(file.synced.length, kept);
      file.written = Buffer.concat([file.synced, torn]);
      file.synced = file.written;
    }
  }

  /**
   * Like `crash`, for a process that may still be running: everything fails
   * for it from now on, and the file system returned is that of the next one.
   */
  restart(tornBytes = 0): SimulatedFileSystem {
    this.crash(tornBytes);
    const next = new SimulatedFileSystem();
    for (const [name, {synced}] of this.names) {
      next.names.set(name, {written: synced, synced});
    }
    next.syncedNames = new Map(next.names);
    this.stopped = true;
    return next;
  }

  /** Replaces the content of a file, written and synced. */
  damage(path: string, change: (content: Buffer) => Buffer): void {
    const file = this.fileAt(path);
    file.written = change(Buffer.from(file.written));
    file.synced = file.written;
  }

  override async makeFolder(path: string): Promise<void> {
    this.enter('makeFolder', path);
  }

  override async list(path: string): Promise<readonly string[]> {
    this.enter('list', path);
    const inside = [...this.names.keys()]
      .filter(name => name.startsWith(`${path}/`))
      .map(name => name.slice(path.length + 1).split('/')[0] ?? '');
    return [...new Set(inside)].sort();
  }

  override async readFile(path: string): Promise<Uint8Array> {
    this.enter('readFile', path);
    return Buffer.from(this.fileAt(path).written);
  }

  override async open(path: string): Promise<OpenFile> {
    this.enter('open', path);
    const empty = {written: Buffer.alloc(0), synced: Buffer.alloc(0)};
    const file = this.names.get(path) ?? empty;
    this.names.set(path, file);
    return new SimulatedOpenFile(this, path, file);
  }

  override async rename(from: string, to: string): Promise<void> {
    this.enter('rename', from);
    const file = this.fileAt(from);
    this.names.delete(from);
    this.names.set(to, file);
  }

  override async remove(path: string): Promise<void> {
    this.enter('remove', path);
    this.fileAt(path);
    this.names.delete(path);
  }

  override async removeFolder(path: string): Promise<void> {
    this.enter('remove', path);
    for (const name of [...this.names.keys()]) {
      if (name.startsWith(`${path}/`)) this.names.delete(name);
    }
  }

  override async syncFolder(path: string): Promise<void> {
    this.enter('syncFolder', path);
    const inside = (name: string) =>
      name.startsWith(`${path}/`) && !name.slice(path.length + 1).includes('/');
    for (const name of this.syncedNames.keys()) {
      if (inside(name)) this.syncedNames.delete(name);
    }
    for (const [name, file] of this.names) {
      if (inside(name)) this.syncedNames.set(name, file);
    }
  }

  override async identityOf(path: string): Promise<string> {
    return `${this.identity}:${path}`;
  }

  /** Counts a call and throws the injected failure. */
  enter(operation: FileOperation, path: string): void {
    this.calls.set(operation, (this.calls.get(operation) ?? 0) + 1);
    const code = this.stopped ? 'EIO' : this.failures.get(operation);
    if (code !== undefined) throw systemError(code, path);
  }

  /** Like `enter`; returns the part of the bytes that fits. */
  enterWrite(path: string, bytes: Uint8Array): Uint8Array {
    this.enter('write', path);
    const part = bytes.subarray(0, this.freeBytes);
    this.freeBytes -= part.length;
    return part;
  }

  private fileAt(path: string): StoredFile {
    const file = this.names.get(path);
    if (file === undefined) throw systemError('ENOENT', path);
    return file;
  }
}
