/** Data folder of one instance: lock and identity. */
import {createHash, randomUUID} from 'node:crypto';
import {createServer, type Server} from 'node:net';

import {type FileSystem, writeFileDurably} from './file_system.js';
import {
  DataFolderForeignError,
  DataFolderInvalidError,
  DataFolderLockedError,
  StorageIoError,
  systemCode,
  toStorageError,
} from './storage_errors.js';

/** Options of a data folder. */
export interface DataFolderOptions {
  readonly files: FileSystem;
  /** Absolute path; created when missing. */
  readonly path: string;
  /** Name of the instance that owns the folder. */
  readonly instance: string;
  /** Whether to lock the folder against other processes. Default true. */
  readonly exclusive?: boolean;
  /** Id of a folder that is used for the first time. Random by default. */
  readonly newId?: string;
}

interface Identity {
  readonly format: 1;
  readonly instance: string;
  readonly id: string;
}

const IDENTITY_NAME = 'identity.json';

/** Entries that a fresh file system or an interrupted first start leaves. */
const IGNORED_NAMES: readonly string[] = ['lost+found', `${IDENTITY_NAME}.tmp`];

/**
 * Takes an abstract Unix socket address derived from the folder. The kernel
 * frees it when the process ends, however that happens, so there is no stale
 * lock to judge. Processes in another network namespace are not excluded.
 */
function lock(folderIdentity: string, path: string): Promise<Server> {
  const name = createHash('sha256').update(folderIdentity).digest('hex');
  const server = createServer(socket => socket.destroy());
  return new Promise((resolve, reject) => {
    server.once('error', err => {
      const used = systemCode(err) === 'EADDRINUSE';
      reject(
        used
          ? new DataFolderLockedError(`another process uses ${path}`)
          : new StorageIoError(`can't lock ${path}`, {cause: err}),
      );
    });
    server.listen(`\0mustardferry-${name}`, () => {
      server.unref();
      resolve(server);
    });
  });
}

function parseIdentity(path: string, content: Uint8Array): Identity {
  try {
    const parsed = JSON.parse(Buffer.from(content).toString()) as Identity;
    if (parsed.format === 1 && parsed.instance !== '' && parsed.id !== '') {
      return parsed;
    }
  } catch (err) {
    throw new DataFolderInvalidError(`${path} is damaged`, {cause: err});
  }
  throw new DataFolderInvalidError(`${path} has an unknown format`);
}

async function identify(options: DataFolderOptions): Promise<Identity> {
  const {files, path, instance} = options;
  const names = await files.list(path);
  if (names.includes(IDENTITY_NAME)) {
    const file = `${path}/${IDENTITY_NAME}`;
    const found = parseIdentity(file, await files.readFile(file));
    if (found.instance === instance) return found;
    throw new DataFolderForeignError(
      `${path} belongs to instance ${found.instance}, not to ${instance}`,
    );
  }
  const others = names.filter(name => !IGNORED_NAMES.includes(name));
  if (others.length > 0) {
    throw new DataFolderInvalidError(
      `${path} has no ${IDENTITY_NAME} but holds ${others.join(', ')}`,
    );
  }
  const id = options.newId ?? randomUUID();
  const identity: Identity = {format: 1, instance, id};
  const content = Buffer.from(`${JSON.stringify(identity)}\n`);
  await writeFileDurably(files, path, IDENTITY_NAME, content);
  return identity;
}

/** An open data folder; this process holds its lock until `close`. */
export class DataFolder {
  private constructor(
    private readonly options: DataFolderOptions,
    /** Random id, made when the folder was first used. */
    readonly id: string,
    private readonly server: Server | undefined,
  ) {}

  /**
   * Locks the folder and checks, or creates, its identity.
   *
   * @throws DataFolderLockedError when another process uses it,
   *     DataFolderForeignError when it belongs to another instance,
   *     DataFolderInvalidError when its identity is missing or damaged,
   *     StorageReadOnlyError, StorageFullError or StorageIoError.
   */
  static async open(options: DataFolderOptions): Promise<DataFolder> {
    const {files, path} = options;
    let server: Server | undefined;
    try {
      await files.makeFolder(path);
      if (options.exclusive ?? true) {
        server = await lock(await files.identityOf(path), path);
      }
      const {id} = await identify(options);
      return new DataFolder(options, id, server);
    } catch (err) {
      server?.close();
      throw toStorageError(err, `can't open the data folder ${path}`);
    }
  }

  get files(): FileSystem {
    return this.options.files;
  }

  /** Path of a part of the folder. */
  folderFor(part: string): string {
    return `${this.options.path}/${part}`;
  }

  /** Releases the lock. */
  close(): Promise<void> {
    const {server} = this;
    if (!server) return Promise.resolve();
    return new Promise(resolve => server.close(() => resolve()));
  }
}
