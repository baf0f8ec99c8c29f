/** Clients that submit jobs, again where PROTOCOL.md says so. */
import {setTimeout as sleep} from 'node:timers/promises';

import {HOST} from './deployment.mjs';
import {send} from './http.mjs';

/** Answers after which the same job is sent again. */
const UNCLEAR = [0, 502, 504];

/** Returns the id of a numbered job. */
export function jobId(number) {
  return number.toString(16).padStart(16, '0');
}

/** Sends one call of a client. */
export function call(gateway, {method, path, body, timeoutMs = 2_000}) {
  const headers = {host: HOST, 'mustardferry-deadline-ms': '1500'};
  return send({address: gateway, method, path, headers, body, timeoutMs});
}

/**
 * Submits a job until the answer is clear.
 *
 * @param options.resendMs Pause before the same job is sent again.
 * @returns The last answer.
 */
export async function submit(deployment, record, options) {
  const {id, prefix, body, first = 0, resendMs, attempts = 10} = options;
  const {gateways} = deployment;
  let answer = {status: 0};
  for (let n = 0; n < attempts; n++) {
    const gateway = gateways[(first + n) % gateways.length];
    record.add(`POST ${id} to ${gateway.name}`);
    answer = await call(deployment.jobsAddress(gateway), {
      method: 'POST',
      path: `${prefix}${id}`,
      body,
    });
    const {status, cause = ''} = answer;
    record.add(`POST ${id} answered by ${gateway.name}: ${status} ${cause}`);
    if (!UNCLEAR.includes(status)) return answer;
    await sleep(resendMs);
  }
  return answer;
}
