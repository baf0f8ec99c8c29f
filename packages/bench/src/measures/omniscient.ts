/**
 * Response times of a scheduler that knows the future run times and sees all
 * workers at once, without message delays inside the system. It is list
 * scheduling: tasks in order of arrival, each on the slot that ends it first.
 * This approximates the lower bound; an optimal schedule may be better, since
 * list scheduling neither reorders jobs nor keeps a fast slot free.
 */
import {must} from '@mustardferry/model';

import type {TraceJob, TraceWorker} from '../load/trace.js';

/** Response time in milliseconds of each job, by index, with the round trip. */
export function omniscientResponses(
  jobs: readonly TraceJob[],
  workers: readonly TraceWorker[],
  roundTripMs: number,
): number[] {
  const slots = workers.map(worker => ({
    speed: worker.speed,
    freeAt: Array.from({length: worker.slots}, () => 0),
  }));
  return jobs.map(job => {
    let jobEndsAt = job.atMs;
    const longestFirst = [...job.tasks].sort((a, b) => b.runMs - a.runMs);
    for (const task of longestFirst) {
      let best = {endsAt: Infinity, worker: 0, slot: 0};
      slots.forEach(({speed, freeAt}, worker) => {
        const earliest = Math.min(...freeAt);
        const endsAt = Math.max(job.atMs, earliest) + task.runMs / speed;
        if (endsAt >= best.endsAt) return;
        best = {endsAt, worker, slot: freeAt.indexOf(earliest)};
      });
      must(slots[best.worker], 'no worker').freeAt[best.slot] = best.endsAt;
      jobEndsAt = Math.max(jobEndsAt, best.endsAt);
    }
    return jobEndsAt - job.atMs + roundTripMs;
  });
}

/** Round trip plus the longest task on an idle worker of the highest speed. */
export function idealResponse(
  job: TraceJob,
  workers: readonly TraceWorker[],
  roundTripMs: number,
): number {
  const fastest = Math.max(...workers.map(worker => worker.speed));
  const longest = Math.max(...job.tasks.map(task => task.runMs));
  return roundTripMs + longest / fastest;
}
