/**
 * Finds the home of a submission. Submissions are hashed to a fixed number of
 * hash slots, which are placed on data centres by rendezvous hashing (Thaler
 * and Ravishankar, 1998) with bounded loads.
 */
import {createHash} from 'node:crypto';

import type {Home, SubmissionKey} from '@mustardferry/model';
import {must, MustardferryError} from '@mustardferry/model';

/** Number of hash slots; changing it moves every submission. */
export const HASH_SLOTS = 1_024;

const JOB_HASH_LENGTH = 22;
const MIN_RANDOM_BYTES = 16;
const CHOSEN_DATA_CENTRE = /^dc:([^:]+):/;
const JOB_ID_PATTERN = /^(.+)\.(0|[1-9]\d{0,5})\.([A-Za-z0-9_-]{22})$/;

/** Thrown when a key or a setting names a home that can't exist. */
export class HomingError extends MustardferryError {
  readonly code = 'invalid-home';
}

/** The parts of a job id. */
export interface ParsedJobId {
  readonly dataCentre: string;
  readonly group: number;
  readonly hash: string;
}

/** Data centre of each hash slot, cached by list of data centres. */
const placementCache = new WeakMap<readonly string[], readonly string[]>();

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function hashSubmission(key: SubmissionKey): Buffer {
  // The length separates team and key, whatever characters they contain.
  return sha256(`${key.team.length}:${key.team}${key.idempotencyKey}`);
}

interface Score {
  readonly slot: number;
  readonly name: string;
  readonly value: bigint;
}

function rankScores(dataCentres: readonly string[]): readonly Score[] {
  const all: Score[] = [];
  for (const name of new Set(dataCentres)) {
    for (let slot = 0; slot < HASH_SLOTS; slot++) {
      const value = sha256(`${slot}:${name}`).readBigUInt64BE();
      all.push({slot, name, value});
    }
  }
  return all.sort((a, b) => {
    if (a.value !== b.value) return a.value > b.value ? -1 : 1;
    return a.slot - b.slot || (a.name < b.name ? -1 : 1);
  });
}

/**
 * Assigns each hash slot to the data centre with the highest score that has
 * room. Without the bound, one data centre would by chance get 9% more work
 * than its share, which is the difference between 80% and 87% load.
 */
function placeSlots(dataCentres: readonly string[]): readonly string[] {
  const room = Math.ceil(HASH_SLOTS / new Set(dataCentres).size);
  const placed = new Array<string>(HASH_SLOTS);
  const counts = new Map<string, number>();
  for (const {slot, name} of rankScores(dataCentres)) {
    const count = counts.get(name) ?? 0;
    if (placed[slot] !== undefined || count >= room) continue;
    placed[slot] = name;
    counts.set(name, count + 1);
  }
  return placed;
}

/** Hash slot of a submission, 0 to `HASH_SLOTS` - 1. */
export function computeHashSlot(key: SubmissionKey): number {
  return hashSubmission(key).readUInt32BE() % HASH_SLOTS;
}

/** Data centre of a hash slot, whatever the order of the list. */
export function findHashSlotDataCentre(
  slot: number,
  dataCentres: readonly string[],
): string {
  let placement = placementCache.get(dataCentres);
  if (!placement) {
    placement = placeSlots(dataCentres);
    placementCache.set(dataCentres, placement);
  }
  return must(placement[slot], `slot ${slot} is out of range`);
}

/** Data centre in a key of the form `dc:NAME:...`; otherwise undefined. */
function parseChosenDataCentre(key: string): string | undefined {
  return CHOSEN_DATA_CENTRE.exec(key)?.[1];
}

/**
 * Finds the home of a submission. `dataCentres` must not be changed in place,
 * because placements are cached by list.
 *
 * @throws HomingError when a key names an unknown data centre: hashing it
 *     instead would move the submission once that data centre is configured.
 */
export function findHome(
  key: SubmissionKey,
  dataCentres: readonly string[],
  groups: number,
): Home {
  if (dataCentres.length === 0)
    throw new HomingError('no data centre is configured');
  if (!Number.isInteger(groups) || groups < 1) {
    throw new HomingError(`invalid number of record groups: ${groups}`);
  }
  const hash = hashSubmission(key);
  const slot = hash.readUInt32BE() % HASH_SLOTS;
  const chosen = parseChosenDataCentre(key.idempotencyKey);
  if (chosen !== undefined && !dataCentres.includes(chosen)) {
    throw new HomingError(`key names an unknown data centre: ${chosen}`);
  }
  const dataCentre = chosen ?? findHashSlotDataCentre(slot, dataCentres);
  const group = slot % groups;
  const text = hash.toString('base64url').slice(0, JOB_HASH_LENGTH);
  return {dataCentre, group, jobId: `${dataCentre}.${group}.${text}`};
}

/** Parses a job id; returns undefined when it is malformed. */
export function parseJobId(jobId: string): ParsedJobId | undefined {
  const [, dataCentre, group, hash] = JOB_ID_PATTERN.exec(jobId) ?? [];
  if (dataCentre === undefined || group === undefined || hash === undefined) {
    return undefined;
  }
  return {dataCentre, group: Number(group), hash};
}

/**
 * Creates an idempotency key whose home is `dataCentre`.
 *
 * @throws HomingError for fewer than 16 random bytes, or when the name is empty
 *     or contains a colon.
 */
export function createIdempotencyKey(
  dataCentre: string,
  randomBytes: Uint8Array,
): string {
  if (randomBytes.length < MIN_RANDOM_BYTES) {
    throw new HomingError(
      `an idempotency key needs at least ${MIN_RANDOM_BYTES} random bytes`,
    );
  }
  if (dataCentre === '' || dataCentre.includes(':')) {
    throw new HomingError(
      `data centre name is empty or contains a colon: ${dataCentre}`,
    );
  }
  return `dc:${dataCentre}:${Buffer.from(randomBytes).toString('base64url')}`;
}
