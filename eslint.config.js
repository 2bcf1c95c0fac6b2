/** Lint rules: Google TypeScript style, and restrictions on the imports of policy code. */

import {createRequire} from 'node:module';
import {defineConfig} from 'eslint/config';

const require = createRequire(import.meta.url);
const gts = require('gts');

/**
 * Packages with policy code, which receives clocks, random sources and network
 * clients as arguments, so that tests can run in virtual time.
 */
const POLICY_PACKAGES = [
  'membership',
  'routing',
  'scheduling',
  'jobs',
  'coordination',
];

/** I/O and logging modules that policy code must not import. */
const IO_MODULES = [
  'ws',
  'undici',
  'hono',
  'hono/*',
  'winston',
  'node:net',
  'node:http',
  'node:https',
  'node:fs',
  'node:child_process',
];

export default defineConfig([
  {ignores: ['**/dist/', '**/node_modules/', 'target/', 'journal/']},
  ...gts,
  {
    files: ['**/*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {console: 'readonly', process: 'readonly'},
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: ['./packages/*/tsconfig.json', './platform/tsconfig.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/explicit-member-accessibility': [
        'error',
        {accessibility: 'no-public'},
      ],
    },
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: {'@typescript-eslint/no-unused-expressions': 'off'},
  },
  {
    files: POLICY_PACKAGES.map(name => `packages/${name}/src/**/*.ts`),
    rules: {
      'no-restricted-imports': ['error', {patterns: IO_MODULES}],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'Date'],
    },
  },
]);
