/** Operator requests of the bench: configuration changes and their state. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

import type {
  AnswersAccepted,
  AnswersView,
  ConfigView,
} from '@mustardferry/model';
import {MustardferryError} from '@mustardferry/model';
import {request} from 'undici';

/** A configuration change or query failed. */
export class OperatorError extends MustardferryError {
  readonly code = 'operator-request';
}

const TIMEOUT_MS = 5_000;
const RETRY_MS = 200;

/** Result of one attempt to change answers. */
export interface ChangeAttempt {
  readonly status: number;
  /** Present when the change was accepted. */
  readonly accepted?: AnswersAccepted;
  readonly detail: string;
}

/** Reads the configuration in force at an instance. */
export async function readConfig(address: string): Promise<ConfigView> {
  const res = await request(`http://${address}/v1/config`, {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const text = await res.body.text();
  if (res.statusCode === 200) return JSON.parse(text) as ConfigView;
  throw new OperatorError(`config: ${res.statusCode} ${text.slice(0, 200)}`);
}

/** Submits answers once, against a known revision. */
export async function putAnswers(
  address: string,
  team: string,
  text: string,
  revision: number,
  requestId: string,
): Promise<ChangeAttempt> {
  const path = `/v1/answers/${encodeURIComponent(team)}`;
  const res = await request(`http://${address}${path}`, {
    method: 'PUT',
    signal: AbortSignal.timeout(TIMEOUT_MS),
    headers: {
      'if-match': `"${revision}"`,
      'request-id': requestId,
      'content-type': 'text/plain',
    },
    body: text,
  });
  const body = await res.body.text();
  if (res.statusCode !== 200) {
    return {status: res.statusCode, detail: body.slice(0, 300)};
  }
  const accepted = JSON.parse(body) as AnswersAccepted;
  return {status: 200, accepted, detail: ''};
}

/** Revision of a team's answers in force; 0 for a team without answers. */
async function revisionOf(address: string, team: string): Promise<number> {
  const path = `/v1/answers/${encodeURIComponent(team)}`;
  const res = await request(`http://${address}${path}`, {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const text = await res.body.text();
  if (res.statusCode === 404) return 0;
  if (res.statusCode === 200) return (JSON.parse(text) as AnswersView).revision;
  throw new OperatorError(`answers: ${res.statusCode} ${text.slice(0, 200)}`);
}

/**
 * Submits answers until they are accepted, through the given instances in
 * turn. After a lost answer the same request is sent again under the same id;
 * after a conflict a new request is based on the revision then in force.
 *
 * @throws OperatorError when they aren't accepted in time.
 */
export async function applyAnswers(
  addresses: readonly string[],
  team: string,
  text: string,
  timeoutMs: number,
): Promise<AnswersAccepted> {
  const deadline = performance.now() + timeoutMs;
  let requestId = randomUUID();
  let base: number | undefined;
  let last = 'no attempt';
  for (let attempt = 0; performance.now() < deadline; attempt += 1) {
    const address = addresses[attempt % addresses.length] ?? '';
    try {
      base ??= await revisionOf(address, team);
      const tried = await putAnswers(address, team, text, base, requestId);
      if (tried.accepted !== undefined) return tried.accepted;
      last = `${tried.status} ${tried.detail}`;
      if (tried.status < 500) {
        base = undefined;
        requestId = randomUUID();
      }
    } catch (err) {
      last = String(err);
    }
    await sleep(RETRY_MS);
  }
  throw new OperatorError(`answers of ${team} not accepted: ${last}`);
}
