/**
 * Bundles the node program from `platform/` into a single file in `target/`.
 * It is built directly from the TypeScript sources: a restart loads one small
 * file, and the build writes no other output.
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

await build({
  entryPoints: ['platform/src/mustardlug_node.ts'],
  outfile: 'target/mustardlug-node.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  plugins: [workspaceSources],
  logLevel: 'warning',
});
