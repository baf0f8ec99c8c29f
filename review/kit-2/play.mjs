/** Plays a case and exits with its result. */
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

import {Callers, configuration} from './callers.mjs';
import {Deployment, exchange, ZONES} from './deployment.mjs';
import {Ledger} from './ledger.mjs';
import {Worker} from './worker.mjs';

/** Limit of a whole case in ms. */
const LIMIT_MS = 115_000;

export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Address of the leader, as a report of a worker is answered. */
export async function findLeader(setting) {
  for (const worker of setting.workers) {
    const member = setting.deployment.memberAt(worker.heartbeatAddress);
    if (member) return member;
  }
  return null;
}

/** Waits until the workers are told of a leader other than one. */
export async function newLeader(setting, old, withinMs) {
  const until = performance.now() + withinMs;
  while (performance.now() < until) {
    const [worker] = setting.workers.filter(({isUp}) => isUp);
    for (const address of setting.deployment.controlAddresses) {
      const member = setting.deployment.memberAt(address);
      if (member === old || !worker) continue;
      const answer = await exchange({
        address,
        method: 'PUT',
        path: `/v1/instances/${worker.id}`,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(worker.report(worker.life)),
        timeoutMs: 1_000,
      });
      if (answer?.status !== 200) continue;
      const {heartbeatAddress} = JSON.parse(answer.text);
      const leader = setting.deployment.memberAt(heartbeatAddress);
      if (leader && leader !== old) return leader;
    }
    await sleep(50);
  }
  return null;
}

/**
 * Opens a deployment with workers, runs the case, and ends the process.
 *
 * @param folder Folder of the case, where the record is written.
 * @param options `members`, `gateways`, `workers` (their number), `worker`
 *     (further options of each by its number), `rejectsOverload`, and
 *     `demandOf`, which gives what a task requests.
 * @param run Plays the case; gets the setting.
 */
export async function play(folder, options, run) {
  const ledger = new Ledger(join(folder, 'record.txt'));
  const note = (event, fields) => ledger.note(event, fields);
  const deployment = new Deployment({...options, note});
  const callers = new Callers({deployment, ledger});
  const workers = [];
  const setting = {ledger, deployment, callers, workers};
  let code = 2;
  const end = async () => {
    callers.close();
    for (const worker of workers) worker.crash();
    await deployment.close();
    await ledger.close();
    process.exit(code);
  };
  const timer = setTimeout(() => {
    console.log('the case takes too long');
    void end();
  }, LIMIT_MS);
  try {
    await deployment.open();
    for (let n = 0; n < options.workers; n++) {
      const worker = new Worker({
        id: `w-${n}`,
        host: deployment.host(150 + n),
        port: deployment.controlPort + 5,
        zone: ZONES[n % ZONES.length],
        labels: ['a', `r-${Math.floor(n / 8)}`],
        capacity: {cpu: 16_000, memoryRequestMb: 32_768, gpu: 0},
        guards: true,
        controlAddresses: () => deployment.controlAddresses,
        observer: ledger,
        demandOf: options.demandOf ?? (() => ({cpu: 1_000})),
        ...options.worker?.(n),
      });
      workers.push(worker);
    }
    await deployment.configure(configuration(1, options));
    for (const worker of workers) await worker.start();
    await deployment.ready();
    await sleep(1_000);
    ledger.note('traffic-begins');
    await run(setting);
    ledger.finish();
    const {broken, counts} = ledger;
    const jobs = [...ledger.jobs.values()];
    const outcomes = {};
    for (const {outcome} of jobs)
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    ledger.note('result', {broken: broken.length, outcomes, ...counts});
    console.log(JSON.stringify({broken: broken.length, outcomes, ...counts}));
    for (const each of broken.slice(0, 5)) console.log(JSON.stringify(each));
    code = broken.length > 0 ? 1 : 0;
  } catch (err) {
    console.log('the case could not run', err);
  }
  clearTimeout(timer);
  await end();
}
