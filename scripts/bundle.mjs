/** Bundles one entry point and its dependencies into a CommonJS file. */
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

/**
 * `minify` leaves out the source map, too: it would be parsed at each start.
 * Resolves with the modules of the bundle and their imports, by path.
 */
export async function bundle({entryPoint, outfile, minify = false}) {
  const {metafile} = await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    metafile: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    conditions: ['source'],
    minifySyntax: minify,
    minifyWhitespace: minify,
    sourcemap: minify ? false : 'inline',
    sourcesContent: false,
    logLevel: 'warning',
    plugins: [omitOptionalModules],
    // Some ESM-only packages read import.meta.url, which CommonJS lacks.
    banner: {
      js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
    },
    define: {'import.meta.url': 'importMetaUrl'},
  });
  return metafile.inputs;
}
