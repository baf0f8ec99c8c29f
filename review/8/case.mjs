/** Another writer reports a service that no configuration names. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

import {exchange} from '../kit-2/deployment.mjs';
import {HAS_TROUBLE, play} from '../kit-2/play.mjs';

const REPORTS = 8;
const WORKERS = 16;

/** Jobs a second. */
const RATE = 40;

const PERIOD_MS = 3_000;

function createJob() {
  const step = {count: 2, cpu: 1_000, memoryRequestMb: 64, estimatedMs: 900};
  return {ms: [900], steps: [step]};
}

/**
 * Sends a report of another program on the machine of a worker: it names the
 * same address, under an id of its own, and a service that is not configured.
 */
async function reportOther({deployment, ledger}, worker, number) {
  const report = {
    ...worker.report(worker.life),
    service: 'other-service',
    born: Date.now(),
    sequence: 1,
  };
  const {controlAddresses} = deployment;
  const answer = await exchange({
    address: controlAddresses[number % controlAddresses.length],
    method: 'PUT',
    path: `/v1/instances/other-${number}`,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(report),
    timeoutMs: 1_000,
  });
  ledger.note('other-writer', {at: worker.id, status: answer?.status});
}

const folder = fileURLToPath(new URL('.', import.meta.url));

await play(folder, {workers: WORKERS}, async setting => {
  const {callers, ledger, workers} = setting;
  let goesOn = true;
  const traffic = callers.run(RATE, createJob, () => goesOn);
  for (let number = 0; number < REPORTS; number++) {
    await sleep(PERIOD_MS);
    const worker = workers[number];
    if (HAS_TROUBLE) await reportOther(setting, worker, number);
    await sleep(1_000);
    if (ledger.broken.length > 0) break;
  }
  goesOn = false;
  await traffic;
  await sleep(3_000);
});
