/**
 * Builds dist/mustardferry from dist/mustardferry.cjs as a single executable
 * application: a copy of the running Node.js with the bundle as a resource.
 */
import {spawnSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';

import {inject} from 'postject';

const BUNDLE = 'dist/mustardferry.cjs';
const BLOB = 'dist/sea_preparation.blob';
const CONFIG = 'dist/sea_config.json';
const TARGET = 'dist/mustardferry';
// Written to another name first, as a running binary can't be overwritten.
const TEMPORARY = 'dist/mustardferry.new';

// Marker in the Node.js executable, from the Node.js documentation on single
// executable applications.
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

writeFileSync(
  CONFIG,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
    // A snapshot or code cache would tie the blob to the building machine.
    useSnapshot: false,
    useCodeCache: false,
  }),
);
const prepared = spawnSync(
  process.execPath,
  ['--experimental-sea-config', CONFIG],
  {stdio: ['ignore', 'ignore', 'inherit']},
);
if (prepared.status !== 0) process.exit(1);

copyFileSync(process.execPath, TEMPORARY);
chmodSync(TEMPORARY, 0o755);
await inject(TEMPORARY, 'NODE_SEA_BLOB', readFileSync(BLOB), {
  sentinelFuse: SENTINEL_FUSE,
});
renameSync(TEMPORARY, TARGET);
for (const file of [CONFIG, BLOB]) rmSync(file);
console.log(`built ${TARGET}`);
