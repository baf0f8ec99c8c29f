/** Fixtures for tests of upstream sessions. */
import {getTaskKey, type TaskId} from '../../src/jobs/job_types.js';
import type {OpenTask, Run} from '../../src/owner/job_table_types.js';
import {RunProgress} from '../../src/owner/run_progress.js';
import type {SessionEvents} from '../../src/owner/session_types.js';
import type {UpstreamSession} from '../../src/owner/upstream_session.js';
import {step} from '../owner_harness.js';

/** Handlers that ignore all events of a session. */
export const NOOP_EVENTS: SessionEvents = {
  fenced: () => undefined,
  contactChanged: () => undefined,
  ended: () => Promise.resolve(true),
  runLost: () => undefined,
  startRefused: () => undefined,
  holdAnswered: () => undefined,
  runFound: () => undefined,
  otherProcess: () => undefined,
  superseded: () => undefined,
};

/** Creates the first run of a task of a job that isn't durable. */
export function createRun(session: UpstreamSession, id: TaskId): Run {
  const admitted = {durable: false, payload: ''};
  const job = {admitted, started: false};
  const task = {id, key: getTaskKey(id), step: step(1), job};
  return {
    task: task as unknown as OpenTask,
    number: 1,
    session,
    startedAt: performance.now(),
    phase: 'starting',
    confirmedAt: Infinity,
    stopAckedAt: Infinity,
    progress: new RunProgress(),
    measuredRunMs: null,
  };
}
