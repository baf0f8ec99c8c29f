/** An operator with many routes changes them again and again. */
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

import {runCase, SERVICE, TROUBLE} from '../stand_ins/case.mjs';
import {configuration} from '../stand_ins/clients.mjs';

/** Routes besides the one of the clients, with and without the disruption. */
const ROUTES = TROUBLE ? 1_750 : 50;
const CHANGES_PER_S = 10;

/** Orders that an operator has in progress at once. */
const ORDERS = 8;
const PLAY_MS = 90_000;
const RESTART_AFTER_MS = 500;

/** Ends of a machine's processes in a day that are a fault, and machines. */
const ENDS = 3;
const MACHINES = 2;

const WORKERS = [1, 2].map(n => ({
  id: `w-${n}`,
  labels: ['a', `r1-${n}`],
  cpu: 4_000,
}));

async function play({deployment, record}) {
  const {members} = deployment;
  for (const member of members) restartWhenEnded(deployment, member, record);
  const until = performance.now() + PLAY_MS;
  let version = 10;
  const isOver = () =>
    performance.now() > until ||
    findCrashing(record, members).length >= MACHINES;
  const change = async () => {
    while (!isOver()) {
      const sentAt = performance.now();
      version += 3;
      await deployment.configure(largeConfiguration(version)).catch(() => {
        record.add('not-configured', {version});
      });
      const nextAt = sentAt + (1_000 * ORDERS) / CHANGES_PER_S;
      await sleep(Math.max(0, nextAt - performance.now()));
    }
  };
  const operators = Array.from({length: ORDERS}, change);
  while (!isOver()) await sleep(100);
  void Promise.all(operators);
  const crashing = findCrashing(record, members);
  if (crashing.length < MACHINES) return [];
  return crashing.map(
    ({name, ends}) => `${name} ended by itself ${ends.length} times`,
  );
}

function largeConfiguration(version) {
  const small = configuration(version, SERVICE);
  const [route] = small.routes;
  const others = Array.from({length: ROUTES}, (_, n) => ({
    ...route,
    name: `r-idle-${n}`,
    host: `idle-${n}.example`,
    timeoutMs: 1_000 + (version % 500),
  }));
  return {...small, routes: [route, ...others]};
}

/** The platform starts a process again that has ended. */
function restartWhenEnded(deployment, member, record) {
  member.child.once('exit', (code, signal) => {
    record.add('ended-by-itself', {name: member.name, code, signal});
    setTimeout(() => {
      deployment.start(member);
      restartWhenEnded(deployment, member, record);
    }, RESTART_AFTER_MS);
  });
}

function findCrashing(record, members) {
  const ends = record.of('ended-by-itself');
  return members
    .map(({name}) => ({name, ends: ends.filter(each => each.name === name)}))
    .filter(each => each.ends.length >= ENDS);
}

await runCase(import.meta.url, {workers: WORKERS, play});
