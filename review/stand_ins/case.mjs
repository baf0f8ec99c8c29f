/** Frame of a case: sets it up, runs it, judges it, and ends everything. */
import {dirname, join} from 'node:path';
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {Clients, configuration} from './clients.mjs';
import {Deployment} from './deployment.mjs';
import {Record} from './record.mjs';
import {Worker} from './worker.mjs';

export const SERVICE = 'bookings';

const CASE_TIMEOUT_MS = 110_000;

/** Time for the new processes to settle, as on a site. */
const SETTLE_MS = 4_000;

/**
 * Work of a task by its specification, `run MS cpu MILLIS`, which the clients
 * of these cases write.
 */
function workOf(_task, specification) {
  const [, runMs, cpu] = /^run (\d+) cpu (\d+)/.exec(specification);
  return {runMs: Number(runMs), cpu: Number(cpu)};
}

/** Whether the disruption of the case is wanted. */
export const TROUBLE = process.env.TROUBLE !== '0';

/**
 * Codes with which a case ends; `run.sh` takes any other as a case that could
 * not run, such as the one of an error that nothing caught.
 */
const EXIT_HELD = 10;
const EXIT_BROKEN = 11;
const EXIT_UNABLE = 12;

/**
 * Runs a case and exits with one of the codes above.
 *
 * @param moduleUrl URL of the case, beside which the record is written.
 * @param options `workers`: id, labels and cpu of each; `play`: plays the case
 *     and returns what broke the rule, an empty list if it held.
 */
export async function runCase(moduleUrl, {workers, gateways = 2, play}) {
  const folder = dirname(fileURLToPath(moduleUrl));
  const record = new Record(join(folder, 'record.txt'));
  const deployment = new Deployment(record);
  const end = async code => {
    record.write();
    await deployment.close();
    process.exit(code);
  };
  setTimeout(() => {
    console.log('the case took too long');
    void end(EXIT_UNABLE);
  }, CASE_TIMEOUT_MS);
  try {
    record.add('case', {trouble: TROUBLE});
    await deployment.open({gateways});
    await deployment.configure(configuration(1, SERVICE));
    const started = [];
    for (const [n, options] of workers.entries()) {
      const worker = new Worker({
        service: SERVICE,
        ip: deployment.ip(201 + n),
        controls: deployment.controls,
        record,
        workOf,
        ...options,
      });
      await worker.start();
      started.push(worker);
    }
    await sleep(SETTLE_MS);
    const clients = new Clients(deployment, record);
    const broken = await play({deployment, clients, workers: started, record});
    for (const each of broken) record.add('broken', {what: each});
    for (const each of broken.slice(0, 10)) console.log(each);
    console.log(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    await end(broken.length > 0 ? EXIT_BROKEN : EXIT_HELD);
  } catch (err) {
    console.log(String(err?.stack ?? err));
    record.add('failed', {err: String(err)});
    await end(EXIT_UNABLE);
  }
}
