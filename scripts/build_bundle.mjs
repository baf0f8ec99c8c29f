/** Bundles the command line program into dist/mustardferry.cjs. */
import {build} from 'esbuild';

await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'dist/mustardferry.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  sourcemap: 'inline',
  sourcesContent: false,
  logLevel: 'warning',
  // Optional native accelerators; the JavaScript paths are used instead.
  external: ['msgpackr-extract', 'unix-dgram', 'bufferutil', 'utf-8-validate'],
  // Some ESM-only packages read import.meta.url, which CommonJS lacks.
  banner: {
    js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
  },
  define: {'import.meta.url': 'importMetaUrl'},
});
