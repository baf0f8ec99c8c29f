/**
 * Home of a submission: fixed slots, placed on data centres by rendezvous
 * hashing (Thaler and Ravishankar, 1998) with bounded loads.
 */
import {createHash} from 'node:crypto';

import type {Home, SubmissionKey} from '@mustardferry/model';
import {must, MustardferryError} from '@mustardferry/model';

/** Fixed number of slots; changing it moves every submission. */
export const HASH_SLOTS = 1_024;

const JOB_HASH_LENGTH = 22;
const MIN_RANDOM_BYTES = 16;
const KEY_PREFIX = /^dc:([^:]+):/;
const JOB_ID = /^(.+)\.(0|[1-9]\d{0,5})\.([A-Za-z0-9_-]{22})$/;

/** A key or a setting names a home that can't exist. */
export class HomingError extends MustardferryError {
  readonly code = 'invalid-home';
}

/** The parts of a job id. */
export interface ParsedJobId {
  readonly dataCentre: string;
  readonly group: number;
  readonly hash: string;
}

/** Placement of all slots, kept for as long as the caller keeps its list. */
const placements = new WeakMap<readonly string[], readonly string[]>();

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function submissionHash(key: SubmissionKey): Buffer {
  // The length keeps team and key apart whatever characters they contain.
  return sha256(`${key.team.length}:${key.team}${key.idempotencyKey}`);
}

interface Score {
  readonly slot: number;
  readonly name: string;
  readonly value: bigint;
}

function scores(dataCentres: readonly string[]): readonly Score[] {
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
 * Gives each slot to the data centre with the highest score that has room.
 * Without the bound, chance would give one data centre 9% more work than its
 * part, which is the difference between 80% and 87% load.
 */
function placeSlots(dataCentres: readonly string[]): readonly string[] {
  const room = Math.ceil(HASH_SLOTS / new Set(dataCentres).size);
  const placed = new Array<string>(HASH_SLOTS);
  const counts = new Map<string, number>();
  for (const {slot, name} of scores(dataCentres)) {
    const count = counts.get(name) ?? 0;
    if (placed[slot] !== undefined || count >= room) continue;
    placed[slot] = name;
    counts.set(name, count + 1);
  }
  return placed;
}

/** Slot of a submission, 0 to `HOME_SLOTS` - 1. */
export function computeHashSlot(key: SubmissionKey): number {
  return submissionHash(key).readUInt32BE() % HASH_SLOTS;
}

/** Data centre that a slot is placed on; independent of the list's order. */
export function findHashSlotDataCentre(
  slot: number,
  dataCentres: readonly string[],
): string {
  let placement = placements.get(dataCentres);
  if (!placement) {
    placement = placeSlots(dataCentres);
    placements.set(dataCentres, placement);
  }
  return must(placement[slot], `slot ${slot} is out of range`);
}

/** Data centre named by a key of the form `dc:NAME:...`, if it has that form. */
function chosenDataCentre(key: string): string | undefined {
  return KEY_PREFIX.exec(key)?.[1];
}

/**
 * Finds the owner of a submission. `dataCentres` must not be changed in place.
 *
 * @throws HomingError when a key names an unknown data centre: hashing it
 *     instead would move the submission once that data centre is configured.
 */
export function findHome(
  key: SubmissionKey,
  dataCentres: readonly string[],
  groups: number,
): Home {
  if (dataCentres.length === 0) throw new HomingError('no data centre');
  if (!Number.isInteger(groups) || groups < 1) {
    throw new HomingError(`invalid number of record groups: ${groups}`);
  }
  const hash = submissionHash(key);
  const slot = hash.readUInt32BE() % HASH_SLOTS;
  const chosen = chosenDataCentre(key.idempotencyKey);
  if (chosen !== undefined && !dataCentres.includes(chosen)) {
    throw new HomingError(`key names an unknown data centre: ${chosen}`);
  }
  const dataCentre = chosen ?? findHashSlotDataCentre(slot, dataCentres);
  const group = slot % groups;
  const text = hash.toString('base64url').slice(0, JOB_HASH_LENGTH);
  return {dataCentre, group, jobId: `${dataCentre}.${group}.${text}`};
}

/** Splits a job id, or returns undefined when it is malformed. */
export function parseJobId(jobId: string): ParsedJobId | undefined {
  const [, dataCentre, group, hash] = JOB_ID.exec(jobId) ?? [];
  if (dataCentre === undefined || group === undefined || hash === undefined) {
    return undefined;
  }
  return {dataCentre, group: Number(group), hash};
}

/**
 * Makes an idempotency key whose home is `dataCentre`.
 *
 * @throws HomingError with fewer than 16 random bytes or a name with a colon.
 */
export function createIdempotencyKey(
  dataCentre: string,
  randomBytes: Uint8Array,
): string {
  if (randomBytes.length < MIN_RANDOM_BYTES) {
    throw new HomingError(`a key needs ${MIN_RANDOM_BYTES} random bytes`);
  }
  if (dataCentre === '' || dataCentre.includes(':')) {
    throw new HomingError(`data centre name can't prefix a key: ${dataCentre}`);
  }
  return `dc:${dataCentre}:${Buffer.from(randomBytes).toString('base64url')}`;
}
