/** Measures appends per second and syncs per append on a real disk. */
import {mkdtemp, rm} from 'node:fs/promises';

import {NodeFileSystem} from '../file_system.js';
import {Journal} from '../journal.js';

const RUN_MS = 3_000;
const RECORD_BYTES = 200;
const WRITERS = [1, 10, 100];

async function writeUntil(journal: Journal, endMs: number): Promise<number[]> {
  const record = Buffer.alloc(RECORD_BYTES, 1);
  const latencies: number[] = [];
  while (performance.now() < endMs) {
    const before = performance.now();
    await journal.append([record]);
    latencies.push(performance.now() - before);
  }
  return latencies;
}

function quantile(sorted: readonly number[], part: number): number {
  return sorted[Math.floor((sorted.length - 1) * part)] ?? NaN;
}

async function measure(folder: string, writers: number): Promise<string> {
  const files = new NodeFileSystem();
  const journal = await Journal.open({files, folder: `${folder}/${writers}`});
  const start = performance.now();
  const all = await Promise.all(
    Array.from({length: writers}, () => writeUntil(journal, start + RUN_MS)),
  );
  const seconds = (performance.now() - start) / 1_000;
  const {appends, syncs} = journal.stats;
  await journal.close();
  const sorted = all.flat().sort((a, b) => a - b);
  const cells = [
    writers,
    (appends / seconds).toFixed(0),
    (syncs / appends).toFixed(4),
    quantile(sorted, 0.5).toFixed(2),
    quantile(sorted, 0.99).toFixed(2),
  ];
  return `| ${cells.join(' | ')} |`;
}

/** Base folder: the first argument, or the current folder. */
const folder = await mkdtemp(`${process.argv[2] ?? '.'}/group-commit-`);
try {
  console.log('| writers | appends/s | syncs/append | p50 ms | p99 ms |');
  console.log('| --- | --- | --- | --- | --- |');
  for (const writers of WRITERS) console.log(await measure(folder, writers));
} finally {
  await rm(folder, {recursive: true});
}
