/** Durable state of an instance, in its data folder. */
import {
  type AuditArchive,
  type ControlCommand,
  DiskLogStorage,
  JournalAuditArchive,
  type RecordsCommand,
  RecordsState,
  type SubmissionRecord,
} from '@mustardferry/coordination';
import type {InstanceSettings} from '@mustardferry/model';
import {DataFolder, NodeFileSystem} from '@mustardferry/storage';

/** Storage of one generation of a record group. */
export interface GroupStorage {
  /** Null on an instance without a disk. */
  readonly storage: DiskLogStorage<RecordsCommand> | null;
  /** Records that earlier lives of this instance had synced. */
  readonly recovered: readonly SubmissionRecord[];
  /**
   * Removes what earlier lives stored; to be called once this life holds all
   * committed records.
   */
  readonly dropEarlier: () => Promise<void>;
}

const NO_STORAGE: GroupStorage = {
  storage: null,
  recovered: [],
  dropEarlier: async () => undefined,
};

const NAME_WIDTH = 13;

/** Opens the storages of the logs that this instance takes part in. */
export class InstanceStorage {
  private readonly open = new Set<{close(): Promise<void>}>();

  private constructor(
    private readonly folder: DataFolder | undefined,
    /** Null on an instance that does not vote in the control log. */
    readonly control: DiskLogStorage<ControlCommand> | null,
    readonly audit: AuditArchive | undefined,
  ) {}

  /**
   * Opens the data folder, where the settings name one.
   *
   * @throws StorageError when the folder is in use, foreign, damaged,
   *     read-only or full; LogStorageError when a log in it is damaged.
   */
  static async open(settings: InstanceSettings): Promise<InstanceStorage> {
    if (settings.dataFolder === '') {
      return new InstanceStorage(undefined, null, undefined);
    }
    const folder = await DataFolder.open({
      files: new NodeFileSystem(),
      path: settings.dataFolder,
      instance: settings.name,
    });
    if (!settings.controlVoters.includes(settings.name)) {
      return new InstanceStorage(folder, null, undefined);
    }
    try {
      const {files} = folder;
      const control = await DiskLogStorage.open<ControlCommand>({
        files,
        folder: folder.folderFor('control'),
      });
      const archiveFolder = folder.folderFor('audit');
      await files.makeFolder(archiveFolder);
      const audit = await JournalAuditArchive.open(files, archiveFolder);
      const storage = new InstanceStorage(folder, control, audit);
      storage.open.add(control).add(audit);
      return storage;
    } catch (err) {
      await folder.close();
      throw err;
    }
  }

  /**
   * Opens an empty storage for a new life in a group. What earlier lives had
   * synced is read, because it survives the loss of a whole generation.
   */
  async openGroup(group: string): Promise<GroupStorage> {
    if (this.folder === undefined) return NO_STORAGE;
    const {files} = this.folder;
    const parent = this.folder.folderFor(`records-${group}`);
    await files.makeFolder(parent);
    const lives = await files.list(parent);
    const earlier = lives.map(life => `${parent}/${life}`);
    const recovered = await this.recover(earlier);
    const name = String(Date.now()).padStart(NAME_WIDTH, '0');
    const storage = await DiskLogStorage.open<RecordsCommand>({
      files,
      folder: `${parent}/${name}`,
    });
    this.open.add(storage);
    const dropEarlier = async (): Promise<void> => {
      for (const life of earlier) await files.removeFolder(life);
    };
    return {storage, recovered, dropEarlier};
  }

  async close(): Promise<void> {
    await Promise.all([...this.open].map(part => part.close()));
    await this.folder?.close();
  }

  /** Records of all earlier lives; a later life's record replaces earlier. */
  private async recover(
    folders: readonly string[],
  ): Promise<readonly SubmissionRecord[]> {
    const records = new Map<string, SubmissionRecord>();
    for (const folder of folders) {
      for (const record of await this.recoverLife(folder)) {
        const known = records.get(record.jobId);
        // A life that joined late may have missed the answer of an earlier.
        if (known?.answer !== undefined && record.answer === undefined)
          continue;
        records.set(record.jobId, record);
      }
    }
    return [...records.values()];
  }

  private async recoverLife(
    folder: string,
  ): Promise<readonly SubmissionRecord[]> {
    if (this.folder === undefined) return [];
    const {files} = this.folder;
    const storage = await DiskLogStorage.open<RecordsCommand>({files, folder});
    const stored = await storage.load();
    await storage.close();
    const state = new RecordsState();
    if (stored === null) return [];
    if (stored.snapshot !== null) state.restore(stored.snapshot.data);
    for (const {commands} of stored.entries) {
      for (const command of commands) state.apply(command);
    }
    return state.getAllRecords();
  }
}
