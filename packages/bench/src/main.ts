/** `npm run bench -- SCENARIO`: runs a scenario with policies side by side. */
import {mkdir, writeFile} from 'node:fs/promises';
import {join, resolve} from 'node:path';

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

import {POLICIES} from './cluster/policies.js';
import {runExperiment} from './experiments/experiment.js';
import {InterruptGuard} from './experiments/interrupts.js';
import {KILL_SCENARIO, runKillTest} from './experiments/kill_test.js';
import {listScenarios, loadScenario, type Scenario} from './load/scenario.js';
import type {RunSummary} from './measures/summary.js';
import {htmlReport} from './report/html_report.js';
import {summaryTable} from './report/table.js';

const DEFAULT_OUT = 'out/bench';

/** The positional argument is declared in a command, which yargs doesn't type. */
type Positional = {readonly scenario?: string};

async function readArguments() {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run bench --')
    .usage('$0 [scenario]', 'Run a scenario with policies side by side', y =>
      y.positional('scenario', {type: 'string', describe: 'Name, see --list'}),
    )
    .options({
      list: {type: 'boolean', default: false, describe: 'List scenarios'},
      policies: {
        type: 'string',
        describe: `Comma-separated, of ${Object.keys(POLICIES).join(', ')}`,
      },
      seed: {type: 'number', describe: 'Replaces the seed of the file'},
      instances: {type: 'number', describe: 'Replaces the number of instances'},
      duration: {type: 'number', describe: 'Replaces the duration in seconds'},
      rounds: {type: 'number', default: 200, describe: 'Rounds of "kills"'},
      out: {type: 'string', default: DEFAULT_OUT, describe: 'Output folder'},
    })
    .strict()
    .parse();
  return args as typeof args & Positional;
}

type Arguments = Awaited<ReturnType<typeof readArguments>>;

function adjusted(scenario: Scenario, args: Arguments): Scenario {
  const {run, deployment} = scenario;
  return {
    ...scenario,
    run: {
      ...run,
      seed: args.seed ?? run.seed,
      duration_s: args.duration ?? run.duration_s,
    },
    deployment: {
      ...deployment,
      instances: args.instances ?? deployment.instances,
    },
  };
}

async function runScenario(
  name: string,
  args: Arguments,
  guard: InterruptGuard,
): Promise<boolean> {
  const scenario = adjusted(loadScenario(name), args);
  const judged = scenario.run.judge_timings === 'yes';
  // A run that is judged for correctness only needs no baseline.
  const defaults = judged ? Object.keys(POLICIES) : ['this-version'];
  const policies = args.policies?.split(',') ?? defaults;
  const runs: RunSummary[] = [];
  const out = resolve(args.out);
  for (const policy of policies) {
    const folder = join(out, name, policy);
    const onCluster = guard.track.bind(guard);
    runs.push(await runExperiment({scenario, policy, folder, onCluster}));
  }
  const title = `${name}: ${scenario.run.title}`;
  console.log(`${title} (seed ${scenario.run.seed})\n${summaryTable(runs)}`);
  await mkdir(join(out, name), {recursive: true});
  await writeFile(
    join(out, name, 'summary.json'),
    JSON.stringify(runs, undefined, 2),
  );
  await writeFile(
    join(out, name, 'report.html'),
    await htmlReport(title, runs),
  );
  for (const run of runs) {
    for (const violation of run.violations.slice(0, 20)) {
      console.error(`VIOLATION ${run.policy} ${JSON.stringify(violation)}`);
    }
  }
  return runs.every(run => run.violations.length === 0);
}

async function main(): Promise<number> {
  const args = await readArguments();
  const name = args.scenario ?? '';
  if (args.list || name === '') {
    console.log([...listScenarios(), KILL_SCENARIO].sort().join('\n'));
    return args.list ? 0 : 2;
  }
  const guard = new InterruptGuard();
  if (name !== KILL_SCENARIO) {
    return (await runScenario(name, args, guard)) ? 0 : 1;
  }
  const folder = resolve(args.out, name);
  const {rounds, seed = 1} = args;
  const ok = await runKillTest({rounds, seed, folder, guard});
  return ok ? 0 : 1;
}

process.exitCode = await main().catch(err => {
  console.error(err instanceof Error ? err.message : err);
  return 1;
});
