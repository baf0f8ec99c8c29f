/** Voters of the group's first start, from which the log is replayed. */
import type {MemberId} from '@mustardferry/coordination';
import {type DataFolder, writeFileDurably} from '@mustardferry/storage';

import {sleep} from '../owner/waiting.js';

/** Incarnation of the voters of the first start. */
export const FIRST_INCARNATION = 'first';

/** File with the voters, in a folder of its own. */
const FOLDER = 'group';
const FILE = 'first_voters.json';

/** Period in ms in which the others are asked again. */
const ASK_PERIOD_MS = 50;

/** What the voters are found from. */
export interface FirstVotersInput {
  readonly folder: DataFolder;
  /** Whether the whole group starts for the first time. */
  readonly firstStart: boolean;
  readonly seeds: readonly string[];
  /** Addresses of the first voters that other members tell. */
  readonly told: () => readonly string[];
}

/**
 * The seeds at the first start, then what was stored. A member that lost its
 * disk waits until the others tell; it then joins under a new incarnation.
 */
export async function firstVoters(
  input: FirstVotersInput,
): Promise<readonly string[]> {
  const {folder, firstStart, seeds, told} = input;
  const stored = await readVoters(folder);
  if (stored) return stored;
  let voters = firstStart || folder.id === FIRST_INCARNATION ? seeds : told();
  while (voters.length === 0) {
    await sleep(ASK_PERIOD_MS);
    voters = told();
  }
  const bytes = Buffer.from(JSON.stringify(voters));
  await writeFileDurably(folder.files, folder.folderFor(FOLDER), FILE, bytes);
  return voters;
}

/** Identities of the voters of the first start. */
export function firstMembers(addresses: readonly string[]): MemberId[] {
  return addresses.map(name => ({name, incarnation: FIRST_INCARNATION}));
}

async function readVoters(
  folder: DataFolder,
): Promise<readonly string[] | null> {
  const {files} = folder;
  const path = folder.folderFor(FOLDER);
  await files.makeFolder(path);
  const names = await files.list(path);
  if (!names.includes(FILE)) return null;
  const bytes = await files.readFile(`${path}/${FILE}`);
  return JSON.parse(Buffer.from(bytes).toString()) as readonly string[];
}
