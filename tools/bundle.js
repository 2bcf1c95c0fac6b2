/**
 * Bundles the node program from `platform/` into two files in `target/`: the entry
 * point, which sets the first signal handler, and the program that it loads.
 * They are built directly from the TypeScript sources: a restart loads few small
 * files, and the build writes no other output.
 */

import {existsSync} from 'node:fs';
import {join} from 'node:path';
import {build} from 'esbuild';

const SCOPE = /^@mustardlug\/([^/]+)\/(.+)$/;

/** Resolves imports of workspace packages to their TypeScript sources. */
const workspaceSources = {
  name: 'workspace-sources',
  setup(context) {
    context.onResolve({filter: SCOPE}, ({path}) => {
      const [, packageName, modulePath] = SCOPE.exec(path);
      const file = join('packages', packageName, 'src', `${modulePath}.ts`);
      if (!existsSync(file)) return {errors: [{text: `no module ${path}`}]};
      return {path: join(process.cwd(), file)};
    });
  },
};

const PROGRAM_MODULE = './node_program.js';
const PROGRAM_FILE = './mustardlug-node-program.cjs';

/** Leaves the program out of the bundle of the entry point, which loads it when it runs. */
const separateProgram = {
  name: 'separate-program',
  setup(context) {
    context.onResolve({filter: /node_program\.js$/}, ({path}) =>
      path === PROGRAM_MODULE
        ? {path: PROGRAM_FILE, external: true}
        : undefined,
    );
  },
};

async function bundle(entryPoint, outputFile) {
  await build({
    entryPoints: [entryPoint],
    outfile: outputFile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // `require` needs less time than the loader of ES modules.
    supported: {'dynamic-import': false},
    minify: true,
    keepNames: true,
    plugins: [workspaceSources, separateProgram],
    logLevel: 'warning',
  });
}

await bundle('platform/src/node_program.ts', join('target', PROGRAM_FILE));
await bundle('platform/src/mustardlug_node.ts', 'target/mustardlug-node.cjs');
