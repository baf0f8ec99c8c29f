/** Bundles the command line program into dist/mustardferry.cjs. */
import {bundle} from './bundle.mjs';

await bundle({
  entryPoint: 'packages/cli/src/main.ts',
  outfile: 'dist/mustardferry.cjs',
});
