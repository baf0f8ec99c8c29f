/**
 * Kill test: rounds of `kill -9` of a random entry instance at a random moment
 * and its restart, half of them under load, with configuration changes
 * meanwhile. One deployment lives through all rounds.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import {must} from '@mustardferry/model';
import prand from 'pure-rand';

import {loadAnswers, withQueueLimit} from '../cluster/answers_files.js';
import {Cluster} from '../cluster/cluster.js';
import {applyAnswers, readConfig} from '../cluster/operator.js';
import {policyNamed} from '../cluster/policies.js';
import type {RoleProcess} from '../cluster/role_process.js';
import type {LoadRequest} from '../load/load_process.js';
import type {JobOutcome} from '../load/outcomes.js';
import {loadScenario, type Scenario} from '../load/scenario.js';
import {buildTrace, dataCentreNames, traceWorkers} from '../load/trace.js';
import {judge, type Violation} from '../measures/invariants.js';
import type {InterruptGuard} from './interrupts.js';

/** Name of the scenario and of its file. */
export const KILL_SCENARIO = 'kills';

/** Options of the kill test. */
export interface KillTestOptions {
  readonly rounds: number;
  readonly seed: number;
  readonly folder: string;
  readonly guard: InterruptGuard;
}

/** An accepted configuration must be in force everywhere by then. */
const IN_FORCE_LIMIT_MS = 14_000;
const READY_TIMEOUT_MS = 30_000;
const CHANGE_TIMEOUT_MS = 20_000;
const KILL_WITHIN_MS = 1_500;
const DOWN_AT_MOST_MS = 1_000;
/** Queue limits count the changes, so that a reverted change shows. */
const FIRST_QUEUE_LIMIT = 10_000;

/** One observed revert, late change or failed step. */
export interface KillFinding {
  readonly round: number;
  readonly what: 'reverted' | 'not-in-force' | 'step-failed';
  readonly detail: string;
}

interface KillState {
  readonly cluster: Cluster;
  readonly load: RoleProcess;
  readonly scenario: Scenario;
  readonly findings: KillFinding[];
  /** Highest revision seen at each instance and over all accepted changes. */
  readonly seen: Map<string, number>;
  readonly limits: Map<string, number>;
  acceptedRevision: number;
  changes: number;
  rounds: number;
  readonly finished: {scenario: Scenario; outcomes: JobOutcome[]}[];
}

/** Runs the rounds; resolves to whether nothing was violated. */
export async function runKillTest(options: KillTestOptions): Promise<boolean> {
  const scenario = loadScenario(KILL_SCENARIO);
  await mkdir(options.folder, {recursive: true});
  const cluster = new Cluster({
    folder: join(options.folder, 'run'),
    workers: traceWorkers(scenario),
    users: scenario.load.users,
    policies: policyNamed('this-version'),
    dataCentres: dataCentreNames(scenario),
    instances: scenario.deployment.instances,
    betweenMs: scenario.deployment.between_ms,
    clientMs: scenario.deployment.client_ms,
    relayInside: false,
  });
  options.guard.track(cluster);
  try {
    await cluster.start();
    const state: KillState = {
      cluster,
      load: cluster.role('load/load_process.ts'),
      scenario,
      findings: [],
      seen: new Map(),
      limits: new Map(),
      acceptedRevision: 0,
      changes: 0,
      rounds: 0,
      finished: [],
    };
    await runRounds(state, options);
    return await report(state, options);
  } finally {
    await cluster.close();
  }
}

async function runRounds(
  state: KillState,
  options: KillTestOptions,
): Promise<void> {
  for (let round = 0; round < options.rounds; round += 1) {
    const seed = options.seed * 100_000 + round;
    const rng = prand.xoroshiro128plus(seed);
    const draw = (limit: number) =>
      prand.unsafeUniformIntDistribution(0, limit - 1, rng);
    const victim = must(
      state.cluster.instances[draw(state.cluster.instances.length)],
      'no instance',
    );
    const reported = state.findings.length;
    const killAfterMs = draw(KILL_WITHIN_MS);
    const downMs = draw(DOWN_AT_MOST_MS);
    try {
      await Promise.all([
        round % 2 === 0 ? loadRound(state, seed) : undefined,
        changeAnswers(state, draw(6)),
        killAndRestart(state, victim.name, killAfterMs, downMs),
      ]);
      await checkConfigs(state, round);
    } catch (err) {
      const detail = `${victim.name}: ${String(err)}`;
      state.findings.push({round, what: 'step-failed', detail});
      // A process that did not come back would fail all further rounds.
      if (!state.cluster.entry(victim.name).running) break;
    }
    state.rounds = round + 1;
    const fresh = state.findings.slice(reported);
    for (const finding of fresh) console.error(JSON.stringify(finding));
    if (state.rounds % 10 === 0) {
      console.log(`${state.rounds} rounds, ${state.findings.length} findings`);
    }
  }
}

async function loadRound(state: KillState, seed: number): Promise<void> {
  const {run} = state.scenario;
  const scenario = {...state.scenario, run: {...run, seed}};
  const settleMs = run.settle_s * 1_000;
  const req: LoadRequest = {
    scenario,
    client: {instances: state.cluster.clientAddresses, token: '', waitS: 10},
    generator: {settleMs, maxRetries: 200, retryDelayMs: 200},
  };
  const outcomes = await state.load.call<JobOutcome[]>('run', req);
  state.finished.push({scenario, outcomes});
}

async function killAndRestart(
  state: KillState,
  name: string,
  afterMs: number,
  downMs: number,
): Promise<void> {
  const entry = state.cluster.entry(name);
  await sleep(afterMs);
  await entry.kill();
  await sleep(downMs);
  entry.start();
  await entry.ready(READY_TIMEOUT_MS);
}

async function changeAnswers(state: KillState, draw: number): Promise<void> {
  const files = loadAnswers(state.scenario.load.users);
  const {team, text} = must(files[draw % files.length], 'no answers');
  state.changes += 1;
  const limit = FIRST_QUEUE_LIMIT + state.changes;
  const addresses = state.cluster.instances.map(each => each.listen);
  const accepted = await applyAnswers(
    addresses,
    team,
    withQueueLimit(text, limit),
    CHANGE_TIMEOUT_MS,
  );
  state.limits.set(team, limit);
  state.acceptedRevision = Math.max(state.acceptedRevision, accepted.revision);
}

/** Waits until every instance has every accepted change; records reverts. */
async function checkConfigs(state: KillState, round: number): Promise<void> {
  const deadline = performance.now() + IN_FORCE_LIMIT_MS;
  for (const {name, listen} of state.cluster.instances) {
    for (;;) {
      const missing = await missingChange(state, name, listen, round);
      if (missing === '') break;
      if (performance.now() > deadline) {
        const detail = `${name}: ${missing}`;
        state.findings.push({round, what: 'not-in-force', detail});
        break;
      }
      await sleep(100);
    }
  }
}

/** What an instance lacks of the accepted changes; empty for nothing. */
async function missingChange(
  state: KillState,
  name: string,
  listen: string,
  round: number,
): Promise<string> {
  let policy;
  try {
    ({policy} = await readConfig(listen));
  } catch (err) {
    return String(err);
  }
  const before = state.seen.get(name) ?? 0;
  if (policy.revision < before) {
    const detail = `${name} went from revision ${before} to ${policy.revision}`;
    state.findings.push({round, what: 'reverted', detail});
  }
  state.seen.set(name, policy.revision);
  if (policy.revision < state.acceptedRevision) {
    return `revision ${policy.revision} of ${state.acceptedRevision}`;
  }
  for (const [team, limit] of state.limits) {
    const found = policy.teams.find(each => each.team === team);
    const actual = found?.kinds[0]?.queueLimit;
    if (actual !== limit) return `${team}: limit ${actual}, not ${limit}`;
  }
  return '';
}

async function report(
  state: KillState,
  options: KillTestOptions,
): Promise<boolean> {
  const records = await state.cluster.records();
  const violations: Violation[] = [];
  for (const {scenario, outcomes} of state.finished) {
    const queried = await state.load.call<JobOutcome[]>('queryAll', outcomes);
    violations.push(...judge(buildTrace(scenario), queried, records));
  }
  const {findings} = state;
  const starts = records.starts.length;
  const result = countsOf(state, options, violations, starts);
  await writeFile(
    join(options.folder, 'kills.json'),
    JSON.stringify({...result, findings, violations}, undefined, 2),
  );
  console.log(JSON.stringify(result, undefined, 2));
  for (const each of violations.slice(0, 20)) {
    console.error(JSON.stringify(each));
  }
  const completed = state.rounds === options.rounds;
  return violations.length === 0 && findings.length === 0 && completed;
}

function countsOf(
  state: KillState,
  options: KillTestOptions,
  violations: readonly Violation[],
  tasksStarted: number,
): Readonly<Record<string, number>> {
  const outcomes = state.finished.flatMap(each => each.outcomes);
  const count = (invariant: Violation['invariant']) =>
    violations.filter(each => each.invariant === invariant).length;
  const found = (what: KillFinding['what']) =>
    state.findings.filter(each => each.what === what).length;
  return {
    seed: options.seed,
    rounds: state.rounds,
    roundsWanted: options.rounds,
    loadedRounds: state.finished.length,
    jobs: outcomes.length,
    complete: outcomes.filter(each => each.result === 'complete').length,
    tasksStarted,
    changes: state.changes,
    doubledStarts: count('doubled-start'),
    lostSubmissions: count('lost-submission') + count('lost-answer'),
    violations: violations.length,
    reverted: found('reverted'),
    notInForce: found('not-in-force'),
    failedSteps: found('step-failed'),
  };
}
