/** The users' answers files in examples/, for use in one deployment. */
import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import {parse} from 'ini';

import type {User} from '../load/mixes.js';

/** Answers of one team as submitted. */
export interface AnswersFile {
  readonly team: string;
  readonly text: string;
}

const EXAMPLES = fileURLToPath(
  new URL('../../../../examples/', import.meta.url),
);

/**
 * Reads the answers of some users. The files of each user share out 100
 * percent, so several users in one deployment get equal parts of it. `part`
 * leaves the rest of the capacity to other teams.
 */
export function loadAnswers(users: readonly User[], part = 1): AnswersFile[] {
  return users.flatMap(user =>
    readdirSync(`${EXAMPLES}${user}`)
      .filter(file => file.endsWith('.ini'))
      .sort()
      .map(file => {
        const text = readFileSync(`${EXAMPLES}${user}/${file}`, 'utf8');
        return scaleShare(text, part / users.length);
      }),
  );
}

/** Multiplies the share that a team asks for. */
export function scaleShare(text: string, factor: number): AnswersFile {
  const scaled = text.replace(
    /^(share_percent\s*=\s*)([\d.]+)/m,
    (_, head: string, percent: string) => `${head}${Number(percent) * factor}`,
  );
  const parsed = parse(scaled) as {readonly team?: {readonly name?: string}};
  return {team: parsed.team?.name ?? '', text: scaled};
}

/** The same answers with another limit of waiting tasks for every kind. */
export function withQueueLimit(text: string, limit: number): string {
  return text.replace(/^queue_limit\s*=.*$/gm, `queue_limit = ${limit}`);
}
