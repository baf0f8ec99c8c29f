/**
 * Measures restart time and memory of the control log after many changes by
 * 190 teams, in two processes: `write FOLDER CHANGES snapshot|journal`, then
 * `restart FOLDER`. Run it with --expose-gc, so that memory in use is measured
 * after a garbage collection.
 */
import type {TeamPolicy} from '@mustardferry/model';
import {NodeFileSystem} from '@mustardferry/storage';

import type {AcceptAnswersCommand} from '../control/control_messages.js';
import {ControlState} from '../control/control_state.js';
import {DiskLogStorage} from '../storage_adapter/disk_log_storage.js';

const TEAM_COUNT = 190;
const BATCH_ENTRIES = 500;
const ANSWERS_BYTES = 1_500;

type ControlLog = DiskLogStorage<AcceptAnswersCommand>;

function createPolicy(team: string): TeamPolicy {
  const amounts = {slots: 8, processors: 8, memoryMb: 1_024, accelerators: 0};
  const kinds = ['posting', 'statement', 'coverage'].map(kind => ({
    kind,
    urgency: 'urgent' as const,
    repeatable: false,
    targetMs: 500,
    expectedRunMs: 100,
    resources: amounts,
    queueLimit: 1_000,
  }));
  return {
    team,
    sharePercent: 0.5,
    quota: amounts,
    wastedMessageCostMs: 10,
    retryBudgetPercent: 5,
    kinds,
  };
}

function createChange(index: number): AcceptAnswersCommand {
  const team = `team${index % TEAM_COUNT}`;
  return {
    type: 'accept-answers',
    team,
    text: `; change ${index}\n`.padEnd(ANSWERS_BYTES, 'x'),
    policy: createPolicy(team),
    baseRevision: Math.max(0, index - TEAM_COUNT),
    operator: 'benchmark',
    requestId: `request-${index}`,
    atMs: index,
  };
}

async function writeChanges(
  log: ControlLog,
  state: ControlState,
  changes: number,
): Promise<void> {
  for (let from = 1; from <= changes; from += BATCH_ENTRIES) {
    const count = Math.min(BATCH_ENTRIES, changes - from + 1);
    const entries = Array.from({length: count}, (_, i) => ({
      index: from + i,
      term: 1,
      commands: [createChange(from + i)],
      durable: true,
    }));
    await log.append(entries);
    for (const {commands, index} of entries) {
      for (const command of commands) state.apply(command, index);
    }
  }
}

/** Measures memory in use in MiB, after a garbage collection if exposed. */
function measureHeldMib(): number {
  globalThis.gc?.();
  const {heapUsed, external} = process.memoryUsage();
  return (heapUsed + external) / 1_048_576;
}

async function restoreState(folder: string): Promise<ControlState> {
  const files = new NodeFileSystem();
  const log: ControlLog = await DiskLogStorage.open({files, folder});
  const content = await log.load();
  const state = new ControlState();
  if (content?.snapshot) state.restore(content.snapshot.data);
  for (const {commands, index} of content?.entries ?? []) {
    for (const command of commands) state.apply(command, index);
  }
  await log.close();
  return state;
}

async function writeLog(folder: string, changes: number, snapshot: boolean) {
  const files = new NodeFileSystem();
  const log: ControlLog = await DiskLogStorage.open({files, folder});
  const state = new ControlState();
  const started = performance.now();
  await writeChanges(log, state, changes);
  const writtenMs = performance.now() - started;
  let bytes = 0;
  if (snapshot) {
    const data = state.snapshot();
    bytes = data.length;
    const at = {index: changes, term: 1, voters: [], data};
    await log.saveSnapshot(at, true);
  }
  await log.close();
  return {writtenMs, bytes};
}

const [, , phase, folder = '', count = '1000', mode = 'snapshot'] =
  process.argv;
if (phase === 'write') {
  const changes = Number(count);
  const {writtenMs, bytes} = await writeLog(
    folder,
    changes,
    mode === 'snapshot',
  );
  const cells = [
    changes,
    mode,
    writtenMs.toFixed(0),
    (bytes / 1_024).toFixed(0),
  ];
  console.log('| changes | stored as | write ms | snapshot KiB |');
  console.log(`| ${cells.join(' | ')} |`);
} else {
  const before = measureHeldMib();
  const started = performance.now();
  const state = await restoreState(folder);
  const restartMs = performance.now() - started;
  const held = measureHeldMib() - before;
  const rssMb = process.memoryUsage().rss / 1_048_576;
  const {revision} = state.policy;
  const cells = [
    revision,
    restartMs.toFixed(0),
    held.toFixed(1),
    rssMb.toFixed(0),
  ];
  console.log('| revision | restart ms | held MiB | process RSS MiB |');
  console.log(`| ${cells.join(' | ')} |`);
}
