/** Digest that tells whether two submissions under one key are the same. */
import {createHash} from 'node:crypto';

import type {Submission} from '@mustardferry/model';

/** JSON with sorted keys, so that the order of members does not matter. */
export function canonicalJson(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(item => canonicalJson(item)).join(',')}]`;
  }
  if (value !== null && typeof value === 'object') {
    const members = Object.entries(value)
      .filter(([, member]) => member !== undefined)
      .sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0))
      .map(
        ([key, member]) => `${JSON.stringify(key)}:${canonicalJson(member)}`,
      );
    return `{${members.join(',')}}`;
  }
  return JSON.stringify(value ?? null);
}

/** SHA-256, hex, over everything that defines the job except its key. */
export function bodyDigest(submission: Submission): string {
  const {team, kind, tasks, deadlineMs} = submission;
  return createHash('sha256')
    .update(canonicalJson({team, kind, tasks, deadlineMs}))
    .digest('hex');
}
