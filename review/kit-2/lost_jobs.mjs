/** Finds accepted jobs that stay open while nothing of them runs. */
import {setTimeout as sleep} from 'node:timers/promises';

/** `finish_s` */
const FINISH_MS = 14_000;

/** Time in ms for which nothing of a lost job runs. */
const IDLE_MS = 3_000;

/** Jobs that were accepted and have not ended. */
async function findOpen({callers, ledger}) {
  const open = [];
  for (const job of ledger.jobs.values()) {
    if (job.outcome !== 'accepted') continue;
    const state = await callers.state(job);
    if (state !== 'completed' && state !== 'failed') open.push({job, state});
  }
  return open;
}

/**
 * Asks for all jobs after the end of the traffic. Those that are open count as
 * lost if nothing runs on any worker for a while.
 */
export async function judgeLostJobs(setting) {
  const {ledger} = setting;
  await sleep(FINISH_MS);
  const {started} = ledger.counts;
  const isIdle = [...ledger.active.values()].every(runs => runs.size === 0);
  const open = await findOpen(setting);
  await sleep(IDLE_MS);
  if (!isIdle || ledger.counts.started !== started) return;
  for (const {job, state} of open) {
    ledger.fault('LOST', {job: job.id, state});
  }
}
