/** Type-checks each package's sources and tests, and the tests of the workspace. */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync} from 'node:fs';

let failed = false;
const folders = readdirSync('packages').map(name => `packages/${name}`);
for (const folder of [...folders, 'platform', 'tests']) {
  const project = `${folder}/tsconfig.json`;
  if (!existsSync(project)) continue;
  const result = spawnSync('npx', ['tsc', '-p', project], {stdio: 'inherit'});
  if (result.status !== 0) failed = true;
}
process.exit(failed ? 1 : 0);
