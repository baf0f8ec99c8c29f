/** Type-checks every package's sources and tests together, without output. */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync} from 'node:fs';

let failed = false;
for (const name of readdirSync('packages')) {
  const project = `packages/${name}/tsconfig.json`;
  if (!existsSync(project)) continue;
  const result = spawnSync('npx', ['tsc', '-p', project], {stdio: 'inherit'});
  if (result.status !== 0) failed = true;
}
process.exit(failed ? 1 : 0);
