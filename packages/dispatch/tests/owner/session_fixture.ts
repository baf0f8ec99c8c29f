/** What tests of a session need besides it. */
import {getTaskKey, type TaskId} from '../../src/jobs/job_types.js';
import type {BoardTask, Run} from '../../src/owner/board_types.js';
import {RunProgress} from '../../src/owner/run_progress.js';
import type {SessionEvents} from '../../src/owner/session_types.js';
import type {UpstreamSession} from '../../src/owner/upstream_session.js';
import {step} from '../owner_harness.js';

/** Takes all that a session reports, and does nothing. */
export const NO_EVENTS: SessionEvents = {
  fenced: () => undefined,
  contactChanged: () => undefined,
  ended: () => Promise.resolve(true),
  runLost: () => undefined,
  startRefused: () => undefined,
  progressed: () => undefined,
  foundRun: () => undefined,
  otherLife: () => undefined,
  superseded: () => undefined,
};

/** A first run of a task whose job isn't durable. */
export function createRun(session: UpstreamSession, id: TaskId): Run {
  const admitted = {durable: false, payload: ''};
  const job = {admitted, started: false};
  const task = {id, key: getTaskKey(id), step: step(1), job};
  return {
    task: task as unknown as BoardTask,
    number: 1,
    session,
    startedAt: performance.now(),
    phase: 'starting',
    confirmedAt: Infinity,
    stopAckedAt: Infinity,
    progress: new RunProgress(),
    ranMs: null,
  };
}
