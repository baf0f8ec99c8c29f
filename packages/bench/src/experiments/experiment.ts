/** One run of a scenario with one policy, from an empty deployment. */
import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';

import {MustardferryError} from '@mustardferry/model';

import {Cluster} from '../cluster/cluster.js';
import {policyNamed} from '../cluster/policies.js';
import type {LoadRequest} from '../load/load_process.js';
import type {JobOutcome} from '../load/outcomes.js';
import type {Scenario} from '../load/scenario.js';
import {buildTrace, dataCentreNames, traceWorkers} from '../load/trace.js';
import {judge} from '../measures/invariants.js';
import {type RunSummary, summarizeRun} from '../measures/summary.js';
import {FaultDirector} from './fault_director.js';

/** A run exceeded its time or an instance ended by itself. */
export class ExperimentError extends MustardferryError {
  readonly code = 'experiment';
}

/** Which run to make and where its files go. */
export interface ExperimentOptions {
  readonly scenario: Scenario;
  readonly policy: string;
  readonly folder: string;
  /** Called with the cluster, so that an interrupt can close it. */
  readonly onCluster: (cluster: Cluster) => void;
}

/** Time for start, later queries and clean-up, beside the load itself. */
const OVERHEAD_MS = 90_000;
const RETRY_DELAY_MS = 250;
/** Seconds that a client lets an instance hold a response. */
const WAIT_S = 20;

/** Makes a run; the cluster is closed in every case. */
export async function runExperiment(
  options: ExperimentOptions,
): Promise<RunSummary> {
  const {scenario, folder} = options;
  const {deployment} = scenario;
  await mkdir(folder, {recursive: true});
  const cluster = new Cluster({
    folder,
    workers: traceWorkers(scenario),
    users: scenario.load.users,
    policies: policyNamed(options.policy),
    dataCentres: dataCentreNames(scenario),
    instances: deployment.instances,
    betweenMs: deployment.between_ms,
    clientMs: deployment.client_ms,
    relayInside: deployment.relay_inside === 'yes',
  });
  options.onCluster(cluster);
  try {
    return await withTimeLimit(
      (scenario.run.duration_s + scenario.run.settle_s) * 1_000 + OVERHEAD_MS,
      runOn(cluster, options),
    );
  } finally {
    await cluster.close();
  }
}

async function runOn(
  cluster: Cluster,
  options: ExperimentOptions,
): Promise<RunSummary> {
  const {scenario, policy, folder} = options;
  const workers = traceWorkers(scenario);
  const jobs = buildTrace(scenario);
  await cluster.start();
  const load = cluster.role('load/load_process.ts');
  const director = new FaultDirector(cluster, scenario, workers);
  const faults = director.run();
  const answered = await load.call<JobOutcome[]>(
    'run',
    loadOf(options, cluster),
  );
  director.cancel();
  await faults;
  await cluster.injectRelay({fault: 'heal'});
  const outcomes = await load.call<JobOutcome[]>('queryAll', answered);
  const records = await cluster.records();
  const trouble = troubleOf(cluster, director);
  await writeFile(
    join(folder, 'trace.json'),
    JSON.stringify({jobs, outcomes, records, trouble}),
  );
  if (trouble.length > 0) throw new ExperimentError(trouble.join('; '));
  return summarizeRun({
    scenario: scenario.name,
    policy,
    seed: scenario.run.seed,
    roundTripMs: 2 * scenario.deployment.client_ms,
    durationMs: scenario.run.duration_s * 1_000,
    jobs,
    workers,
    outcomes,
    records,
    violations: judge(jobs, outcomes, records),
  });
}

function loadOf(options: ExperimentOptions, cluster: Cluster): LoadRequest {
  const {scenario} = options;
  const settleMs = scenario.run.settle_s * 1_000;
  return {
    scenario,
    client: {instances: cluster.clientAddresses, token: '', waitS: WAIT_S},
    generator: {
      settleMs,
      maxRetries: Math.ceil(settleMs / RETRY_DELAY_MS),
      retryDelayMs: RETRY_DELAY_MS,
    },
  };
}

function troubleOf(cluster: Cluster, director: FaultDirector): string[] {
  const ended = cluster.entries
    .filter(entry => entry.unexpectedEnds > 0)
    .map(entry => `${entry.options.name} ended by itself`);
  const hung = cluster.entries
    .filter(entry => entry.failedStops > 0)
    .map(entry => `${entry.options.name} failed a planned stop`);
  return [...director.errors, ...ended, ...hung];
}

/** Rejects when a run takes longer than it may. */
async function withTimeLimit<T>(limitMs: number, run: Promise<T>): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new ExperimentError(`longer than ${limitMs} ms`)),
      limitMs,
    );
  });
  try {
    return await Promise.race([run, limit]);
  } finally {
    clearTimeout(timer);
  }
}
