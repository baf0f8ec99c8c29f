/** Bundles the command line program into dist/mustardferry.cjs. */
import {build} from 'esbuild';

// Optional native accelerators; the JavaScript paths are used instead. They are
// replaced and not left external, as a require() of a missing module makes a
// single executable application print a warning at each start.
const OPTIONAL_MODULES =
  /^(msgpackr-extract|unix-dgram|bufferutil|utf-8-validate)$/;

const omitOptionalModules = {
  name: 'omit-optional-modules',
  setup(builder) {
    builder.onResolve({filter: OPTIONAL_MODULES}, ({path}) => ({
      path,
      namespace: 'omitted',
    }));
    builder.onLoad({filter: /.*/, namespace: 'omitted'}, ({path}) => ({
      contents: `throw new Error('${path} is not part of the bundle');`,
    }));
  },
};

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
  plugins: [omitOptionalModules],
  // Some ESM-only packages read import.meta.url, which CommonJS lacks.
  banner: {
    js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
  },
  define: {'import.meta.url': 'importMetaUrl'},
});
