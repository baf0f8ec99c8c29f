/** Finds accepted jobs of which nothing runs although there is capacity. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

/** `finish_s` */
const FINISH_MS = 14_000;

/** Time in ms that is watched, and the time without a run that is a break. */
const WATCHED_MS = 8_000;
const IDLE_MS = 3_000;

const SAMPLE_MS = 100;

/** Share of the capacity in use. */
function useOf(workers) {
  let used = 0;
  let capacity = 0;
  for (const worker of workers) {
    used += worker.used();
    capacity += worker.capacity.cpu;
  }
  return used / capacity;
}

function hasRuns({active}, job) {
  const runs = job.tasks.map(task => active.get(`${job.id}.${task}`));
  return runs.some(each => each && each.size > 0);
}

/**
 * Watches the open jobs after the end of the traffic. A job is lost if nothing
 * of it runs for 3 s while under half of the capacity is in use, and the half
 * that is free holds all of its tasks twice over.
 */
export async function judgeIdleJobs({ledger, callers, workers}) {
  await sleep(FINISH_MS);
  const busyAt = new Map();
  const open = [...ledger.jobs.values()].filter(
    ({outcome}) => outcome === 'accepted',
  );
  for (const job of open) {
    job.tasks = job.steps.flatMap(({count}, step) =>
      Array.from({length: count}, (_, index) => `0.${step}.${index}`),
    );
  }
  ledger.onStarted = (_worker, task) =>
    busyAt.set(ledger.jobOf(task), performance.now());
  const from = performance.now();
  const idle = new Set();
  while (performance.now() < from + WATCHED_MS) {
    const now = performance.now();
    const isFull = useOf(workers) >= 0.5;
    for (const job of open) {
      if (isFull || hasRuns(ledger, job)) busyAt.set(job, now);
      if (now - (busyAt.get(job) ?? from) >= IDLE_MS) idle.add(job);
    }
    await sleep(SAMPLE_MS);
  }
  for (const job of idle) {
    const state = await callers.state(job);
    if (state === 'completed' || state === 'failed') continue;
    ledger.fault('LOST', {job: job.id, state});
  }
}
