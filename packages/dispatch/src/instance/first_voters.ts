/** Loads the voters of the group's first start, where the log begins. */
import type {MemberId} from '@mustardferry/coordination';
import {type DataFolder, writeFileDurably} from '@mustardferry/storage';

import {sleep} from '../owner/waiting.js';

/** Incarnation of the voters of the first start. */
export const FIRST_INCARNATION = 'first';

/** Location of the stored voters in the data folder. */
const VOTERS_FOLDER = 'group';
const VOTERS_FILE = 'first_voters.json';

/** Interval in ms at which the voters received from peers are polled. */
const POLL_INTERVAL_MS = 50;

/** Sources of the voters of the first start. */
export interface FirstVotersOptions {
  readonly folder: DataFolder;
  /** Whether the whole group starts for the first time. */
  readonly firstStart: boolean;
  readonly seeds: readonly string[];
  /** Returns the first voters from the view received from peers. */
  readonly getReceivedVoters: () => readonly string[];
}

/**
 * Returns the stored voters, or the seeds at the first start. A member that has
 * lost its disk waits for a peer's view, and joins under a new incarnation.
 */
export async function firstVoters(
  options: FirstVotersOptions,
): Promise<readonly string[]> {
  const {folder, firstStart, seeds, getReceivedVoters} = options;
  const stored = await readStoredVoters(folder);
  if (stored) return stored;
  let voters =
    firstStart || folder.id === FIRST_INCARNATION ? seeds : getReceivedVoters();
  while (voters.length === 0) {
    await sleep(POLL_INTERVAL_MS);
    voters = getReceivedVoters();
  }
  const bytes = Buffer.from(JSON.stringify(voters));
  await writeFileDurably(
    folder.files,
    folder.folderFor(VOTERS_FOLDER),
    VOTERS_FILE,
    bytes,
  );
  return voters;
}

/** Returns the member ids of the voters of the first start. */
export function toMemberIds(addresses: readonly string[]): MemberId[] {
  return addresses.map(name => ({name, incarnation: FIRST_INCARNATION}));
}

async function readStoredVoters(
  folder: DataFolder,
): Promise<readonly string[] | null> {
  const {files} = folder;
  const path = folder.folderFor(VOTERS_FOLDER);
  await files.makeFolder(path);
  const names = await files.list(path);
  if (!names.includes(VOTERS_FILE)) return null;
  const bytes = await files.readFile(`${path}/${VOTERS_FILE}`);
  return JSON.parse(Buffer.from(bytes).toString()) as readonly string[];
}
