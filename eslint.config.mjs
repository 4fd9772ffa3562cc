import { readdirSync } from 'node:fs';
import js from '@eslint/js';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import importX from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import ts from 'typescript-eslint';
import { shortNames } from './lint-rules/short-names.mjs';

/* ---- What is meant to be changed with the sources ---- */

/**
 * The folders that the strict rules (sizes, names of one letter, typed errors, file comments) hold for. Tests and tools
 * are freer: a scenario is read from top to bottom and may be long.
 */
const STRICT_FOLDERS = ['src', 'packages/*/src'];

/**
 * The order of the sources: a folder or file may import what stands in an earlier row of its list, and itself. Entries
 * of one row don't know one another. What is in no row may import nothing.
 */
const LAYERS = {
  'src/core': [
    ['model'],
    ['state'],
    ['machines'],
    ['records'],
    ['assignments'],
    ['jobs'],
    ['commands'],
    ['reconciliation'],
    ['scheduling'],
    ['capacity'],
    ['persistence'],
    ['periodic'],
    ['cluster-scheduler.ts'],
  ],
  'src/edge': [
    ['runtime'],
    ['config'],
    ['net'],
    ['state-store'],
    ['workers', 'cloud', 'peers'],
    ['leadership'],
    ['http'],
    ['service.ts'],
  ],
};

/** What a folder may import besides its own layers, as paths below the root. */
const ALSO_ALLOWED = {
  'src/core': [],
  'src/wire': ['src/core/model'],
  // `packages`: config/feature-loader knows the types of the features that it loads.
  'src/edge': ['src/core', 'src/wire', 'packages'],
  // A feature answers the questions that the core asks, in the core's terms.
  'packages/zone-recovery/src': ['src/core/model'],
};

/** Lines of a function without blank ones and comments. */
const MAX_FUNCTION_LINES = 40;

/** Lines of a file, all of them counted. */
const MAX_FILE_LINES = 250;

/**
 * Ways through a function (cyclomatic complexity). When the bound was set, nine functions had more (17 to 36), and twenty
 * lay between 13 and 15.
 */
const MAX_COMPLEXITY = 15;

/** Lines that a name of one letter may be known over. */
const MAX_LINES_OF_SHORT_NAMES = 3;

/* ---- From here on: how it is told to the linter ---- */

/** One zone of `import-x/no-restricted-paths`: files at `target` may import nothing of ours but `allowed`. */
function zone(target, allowed, message) {
  return { target: `./${target}`, from: '.', except: ['node_modules', target, ...allowed], message };
}

/** The zones of a folder whose entries stand in layers, entries that stand in none included. */
function layerZones(folder, rows) {
  const listed = rows.flat();
  const zones = rows.flatMap((row, index) => {
    const lower = rows.slice(0, index).flat();
    const allowed = [...lower.map((entry) => `${folder}/${entry}`), ...ALSO_ALLOWED[folder]];
    const message = `${folder}/{${row.join()}} may import ${allowed.join(', ') || 'nothing outside itself'}.`;
    return row.map((entry) => zone(`${folder}/${entry}`, allowed, message));
  });
  const unlisted = readdirSync(new URL(folder, import.meta.url)).filter((entry) => !listed.includes(entry));
  const message = `This file is in no row of LAYERS (eslint.config.mjs): give it its place.`;
  return [...zones, ...unlisted.map((entry) => zone(`${folder}/${entry}`, [], message))];
}

const importZones = Object.entries(ALSO_ALLOWED).flatMap(([folder, allowed]) =>
  LAYERS[folder]
    ? layerZones(folder, LAYERS[folder])
    : [zone(folder, allowed, `${folder} may import ${allowed.join(', ')}.`)],
);

export default ts.config(
  { ignores: ['target/', 'node_modules/'] },
  // A directive that silences nothing is a leftover and would hide the next mistake.
  { linterOptions: { reportUnusedDisableDirectives: 'error' } },
  js.configs.recommended,
  {
    rules: {
      'prefer-const': 'error',
      'object-shorthand': 'error',
      'no-useless-rename': 'error',
      'no-useless-return': 'error',
      'no-else-return': 'error',
      'no-lonely-if': 'error',
      'no-unneeded-ternary': 'error',
      'no-nested-ternary': 'error',
      'prefer-template': 'error',
      'no-var': 'error',
      eqeqeq: 'error',
    },
  },
  {
    files: ['**/*.ts'],
    extends: [...ts.configs.strictTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      // Counts and amounts are told in log lines and messages everywhere; numbers have one obvious text.
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      // The test runner itself waits for the tests that it is given.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['test', 'describe', 'it'], package: 'node:test' },
          ],
        },
      ],
      // `() => void doIt()` and `return void reject()` are the short forms of this code base for early ends.
      '@typescript-eslint/no-confusing-void-expression': 'off',
      // Types that are only types are imported as such: what is left says what a file needs when it runs.
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    plugins: { 'import-x': importX, jsdoc },
    settings: {
      'import-x/resolver-next': [createTypeScriptImportResolver({ project: 'tsconfig.json' })],
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
    },
    rules: {
      // Cycles are dependency-cruiser's part (`npm run cycles`): it also sees those that only types make.
      'import-x/no-restricted-paths': ['error', { basePath: import.meta.dirname, zones: importZones }],
      'import-x/no-self-import': 'error',
      'import-x/no-duplicates': 'error',
      'import-x/first': 'error',
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
          enableFixer: false,
        },
      ],
    },
  },
  {
    files: STRICT_FOLDERS.map((folder) => `${folder}/**/*.ts`),
    plugins: { jsdoc, local: { rules: { 'short-names': shortNames } } },
    rules: {
      'max-lines-per-function': [
        'error',
        { max: MAX_FUNCTION_LINES, skipBlankLines: true, skipComments: true },
      ],
      'max-lines': ['error', { max: MAX_FILE_LINES }],
      complexity: ['error', { max: MAX_COMPLEXITY }],
      'local/short-names': ['error', { maxLines: MAX_LINES_OF_SHORT_NAMES }],
      'no-restricted-syntax': [
        'error',
        {
          selector: ':matches(NewExpression, CallExpression)[callee.name="Error"]',
          message:
            'Use a class of its own (extends Error) with fields and a cause: callers tell errors by class.',
        },
      ],
      'jsdoc/require-file-overview': [
        'error',
        { tags: { file: { initialCommentsOnly: true, mustExist: true, preventDuplicates: true } } },
      ],
    },
  },
  {
    files: ['deploy/**/*.mjs'],
    languageOptions: {
      globals: { Buffer: 'readonly', URL: 'readonly', process: 'readonly', setTimeout: 'readonly' },
    },
  },
  {
    files: ['*.mjs', '.*.mjs', 'lint-rules/*.mjs'],
    languageOptions: { globals: { URL: 'readonly' } },
  },
  {
    files: ['src/core/**/*.ts', 'packages/zone-recovery/src/**/*.ts'],
    rules: {
      // The core takes what happened and when; it must reach no clock, file or socket by itself.
      'no-restricted-imports': [
        'error',
        { patterns: ['node:*', 'rxjs*', 'express', 'pino', '**/edge/**', '**/wire/**'] },
      ],
      'no-restricted-globals': ['error', 'process', 'setTimeout', 'setInterval', 'fetch'],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now' },
        { object: 'Math', property: 'random' },
      ],
    },
  },
);
