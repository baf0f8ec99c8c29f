/** Voters that a member begins with. */
import type {MemberId} from '@mustardferry/coordination';

import {sleep} from '../owner/waiting.js';

/** Incarnation of the voters that the group begins with. */
export const FIRST_INCARNATION = 'first';

/** Period in ms in which the others are asked again. */
const ASK_PERIOD_MS = 50;

/** What the voters are found from. */
export interface InitialVotersInput {
  /** Whether the whole group starts for the first time. */
  readonly firstStart: boolean;
  readonly seeds: readonly string[];
  /** Whether the member has a log on its disk, which overrides the result. */
  readonly hasLog: boolean;
  /** Addresses of the voters that other members tell; empty while unknown. */
  readonly told: () => readonly string[];
}

/**
 * The seeds at the first start. A member that lost its disk waits until the
 * others tell whether its address has a vote; it then joins under a new
 * incarnation.
 */
export async function initialVoters(
  input: InitialVotersInput,
): Promise<readonly MemberId[]> {
  const {firstStart, seeds, hasLog, told} = input;
  if (firstStart || hasLog) return named(seeds);
  for (;;) {
    const voters = told();
    if (voters.length > 0) return named(voters);
    await sleep(ASK_PERIOD_MS);
  }
}

function named(addresses: readonly string[]): readonly MemberId[] {
  return addresses.map(name => ({name, incarnation: FIRST_INCARNATION}));
}
