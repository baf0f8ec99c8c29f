import {SimulatedFileSystem} from '@mustardferry/storage';
import {expect} from 'chai';
import prand from 'pure-rand';

import {DiskLogStorage} from '../../src/storage_adapter/disk_log_storage.js';
import type {StoredLogContent} from '../../src/storage_adapter/stored_log.js';

/**
 * Expected content of the log after an operation. The test applies random
 * operations, injects disk failures and crashes, and reopens the log: it must
 * be in a state at or after the last acknowledged operation.
 */
interface Model {
  readonly term: number;
  /** Index and data of the last snapshot that replaced the entries. */
  readonly base: number;
  readonly tag: string;
  /** Index of the newest snapshot. */
  readonly snapshot: number;
  /** Commands of the entries from `base + 1` on. */
  readonly entries: readonly string[];
}

const EMPTY: Model = {term: 0, base: 0, tag: '', snapshot: 0, entries: []};
const FAILURES = ['sync', 'write', 'rename', 'syncFolder'] as const;

type Random = (below: number) => number;
type Operation = (log: DiskLogStorage<string>) => Promise<void>;

/**
 * Whether the restored log is in the state of the model. A snapshot that keeps
 * the suffix may be missing, because its entries are still stored.
 */
function isRestoredState(model: Model, found: StoredLogContent<string> | null) {
  if (found === null) return model.term === 0 && model.base === 0;
  const at = found.snapshot?.index ?? 0;
  if (found.term !== model.term || at < model.base || at > model.snapshot) {
    return false;
  }
  const tag = Buffer.from(found.snapshot?.data ?? []).toString();
  if (at === model.base && tag !== model.tag) return false;
  const commands = found.entries.map(entry => entry.commands[0]);
  const expected = model.entries.slice(at - model.base);
  return JSON.stringify(commands) === JSON.stringify(expected);
}

function chooseOperation(model: Model, random: Random): [Model, Operation] {
  const last = model.base + model.entries.length;
  const above = last - model.snapshot;
  const operationChoice = random(10);
  const unique = `${random(1_000_000_000)}`;
  const createSnapshot = (index: number, tag: string) => {
    return {index, term: 1, voters: [], data: Buffer.from(tag)};
  };
  if (operationChoice < 2) {
    const term = model.term + 1;
    return [{...model, term}, log => log.saveVote(term, 'i1')];
  }
  if (operationChoice < 4 && above > 0) {
    const at = model.snapshot + 1 + random(above);
    const snapshot = createSnapshot(at, 'kept');
    return [{...model, snapshot: at}, log => log.saveSnapshot(snapshot, true)];
  }
  if (operationChoice < 5 && above > 0) {
    const from = model.snapshot + 1 + random(above);
    const entries = model.entries.slice(0, from - 1 - model.base);
    return [{...model, entries}, log => log.truncateFrom(from)];
  }
  if (operationChoice < 6) {
    const at = model.snapshot + 1 + random(8);
    const replaced = {base: at, snapshot: at, tag: unique, entries: []};
    const snapshot = createSnapshot(at, unique);
    return [{...model, ...replaced}, log => log.saveSnapshot(snapshot, false)];
  }
  const entry = {index: last + 1, term: 1, commands: [unique], durable: true};
  const entries = [...model.entries, unique];
  return [{...model, entries}, log => log.append([entry])];
}

/** Runs operations until a crash; returns the states that it may leave. */
async function runOperations(
  files: SimulatedFileSystem,
  log: DiskLogStorage<string>,
  start: Model,
  random: Random,
): Promise<readonly Model[]> {
  const models = [start];
  let acknowledged = 0;
  const pending: Promise<void>[] = [];
  const count = random(14);
  const failAt = random(3 * count + 1);
  for (let i = 0; i < count; i++) {
    if (i === failAt) files.fail(FAILURES[random(4)] ?? 'sync', 'EIO');
    const [model, run] = chooseOperation(models.at(-1) ?? start, random);
    const position = models.push(model) - 1;
    const acknowledge = () => {
      acknowledged = Math.max(acknowledged, position);
    };
    pending.push(run(log).then(acknowledge, () => undefined));
    for (let turns = random(5); turns > 0; turns--) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }
  if (random(2) === 0) await Promise.all(pending);
  return models.slice(acknowledged);
}

describe('DiskLogStorage after crashes', () => {
  for (const seed of [1, 2, 3, 4]) {
    it(`keeps all acknowledged operations in order, seed ${seed}`, async () => {
      const generator = prand.xoroshiro128plus(seed);
      const random: Random = below =>
        prand.unsafeUniformIntDistribution(0, below - 1, generator);
      for (let run = 0; run < 150; run++) {
        let files = new SimulatedFileSystem();
        let possible: readonly Model[] = [EMPTY];
        for (let restart = 0; restart < 4; restart++) {
          const segmentBytes = 1 + random(400);
          const options = {files, folder: '/data/log', segmentBytes};
          const log = await DiskLogStorage.open<string>(options);
          const found = await log.load();
          const start = possible.find(model => isRestoredState(model, found));
          if (start === undefined) {
            const seen = JSON.stringify({found, possible});
            expect.fail(
              `seed ${seed}, run ${run}, restart ${restart}: ${seen}`,
            );
          }
          possible = await runOperations(files, log, start, random);
          files = files.restart(random(60));
        }
      }
    });
  }
});
