/**
 * `npm run demo`: three data centres of two entry instances run the jobs of
 * both users while one instance is killed and one upstream leaves.
 */
import {resolve} from 'node:path';

import {runExperiment} from './experiments/experiment.js';
import {InterruptGuard} from './experiments/interrupts.js';
import {loadScenario} from './load/scenario.js';
import type {Violation} from './measures/invariants.js';
import type {RunSummary} from './measures/summary.js';
import {alignColumns} from './report/table.js';

const FOLDER = 'out/demo';

function percent(part: number): string {
  return `${(100 * part).toFixed(2)}%`;
}

function describe(run: RunSummary): string {
  const count = (invariant: Violation['invariant']) =>
    run.violations.filter(each => each.invariant === invariant).length;
  const kinds = run.kinds.map(kind => [
    `  ${kind.team}/${kind.kind}`,
    `${kind.complete}/${kind.jobs}`,
    kind.slowdown.mean.toFixed(2),
    kind.slowdown.p50.toFixed(2),
    kind.slowdown.p99.toFixed(2),
  ]);
  return `
Response time divided by the ideal:
${alignColumns([['  kind', 'answered', 'mean', 'p50', 'p99'], ...kinds])}

answered:              ${run.urgent.complete} of ${run.urgent.jobs} jobs
tasks started:         ${run.tasksStarted}
doubled:               ${count('doubled-start') + count('second-start-by-resubmission')}
lost:                  ${count('lost-answer') + count('lost-submission')}
partial or crossed:    ${count('partial-answer') + count('wrong-caller')}
false not-run:         ${count('false-not-run')}
response time / ideal: ${run.urgent.slowdown.mean.toFixed(2)} mean
wasted messages:       ${percent(run.waste.total)} of starts ${JSON.stringify(run.waste.byCause)}
other outcomes:        ${JSON.stringify(run.codes)}`;
}

async function main(): Promise<number> {
  const scenario = loadScenario('demo');
  const guard = new InterruptGuard();
  console.log(
    `Three data centres, ${scenario.deployment.instances} entry instances, ` +
      `${scenario.deployment.workers} stand-in workers, answers of both users ` +
      '(each with half of its shares, as they share one deployment).\n' +
      'Instance e2 is killed after 4 s and restarted 1 s later; ' +
      'upstream w5 leaves after 5 s.',
  );
  const run = await runExperiment({
    scenario,
    policy: 'this-version',
    folder: resolve(FOLDER),
    onCluster: cluster => guard.track(cluster),
  });
  console.log(describe(run));
  // Jobs that ran on the killed instance's epoch may end as `unknown`, if they
  // must never repeat; anything else left unanswered is a fault.
  const allowed = run.results['unknown'] ?? 0;
  const answered = run.urgent.complete + allowed === run.urgent.jobs;
  for (const each of run.violations.slice(0, 20))
    console.error(JSON.stringify(each));
  return answered && run.violations.length === 0 ? 0 : 1;
}

process.exitCode = await main().catch(err => {
  console.error(err instanceof Error ? err.message : err);
  return 1;
});
