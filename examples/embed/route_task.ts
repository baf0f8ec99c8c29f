/** Chooses an upstream for a task by its expected end, without any I/O. */
import {
  CandidateIndex,
  ExpectedEndRouting,
  type RoutingDecision,
  RunTimeEstimator,
} from '@mustardferry/decisions';

const ONE_SLOT = {slots: 1, processors: 1, memoryMb: 512, accelerators: 0};
const WORKER = {slots: 8, processors: 16, memoryMb: 65_536, accelerators: 0};

/** Results that the estimator learns from. */
const SAMPLES = 300;

/** Routes one urgent task to one of two upstreams of different speed. */
export function routeTask(): RoutingDecision {
  const estimator = new RunTimeEstimator();
  const candidates = new CandidateIndex();
  const runMs = {'10.0.0.1:8000': 400, '10.0.0.2:8000': 50};
  for (const key of Object.keys(runMs)) {
    candidates.add({
      key,
      worker: key,
      rack: 'rack-1',
      capacity: WORKER,
      kinds: ['coverage-check'],
    });
    candidates.setCredits(key, 1);
  }
  for (let now = 0; now < SAMPLES; now++) {
    for (const [upstream, ms] of Object.entries(runMs)) {
      const result = {team: 'undertakers', kind: 'coverage-check', upstream};
      estimator.observe({...result, runMs: ms, endedAtMs: now}, now);
    }
  }
  for (const key of Object.keys(runMs)) {
    candidates.setSpeed(key, estimator.speedFactor(key), SAMPLES);
  }
  return new ExpectedEndRouting(estimator).chooseUpstream(
    {
      taskId: 'task-1',
      team: 'undertakers',
      kind: 'coverage-check',
      urgency: 'urgent',
      resources: ONE_SLOT,
      expectedRunMs: 100,
    },
    candidates,
    SAMPLES,
  );
}
