import { readdirSync } from 'node:fs';
import js from '@eslint/js';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import importX from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import ts from 'typescript-eslint';
import { shortNames } from './lint-rules/short-names.mjs';

/* ---- Settings that change with the sources ---- */

/**
 * The folders to which the strict rules apply (sizes, complexity, names of one letter, typed errors, file comments).
 * Tests and tools are exempt, because a scenario is read from top to bottom and may be long.
 */
const STRICT_FOLDERS = ['src', 'packages/*/src'];

/**
 * The layers of the sources: a folder or file may import itself and the entries of earlier rows of its list. Entries of
 * one row may not import each other. An entry that is in no row may import only itself.
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

/** Paths (relative to the root) that a folder may import besides its own layers. */
const ALSO_ALLOWED = {
  'src/core': [],
  'src/wire': ['src/core/model'],
  // `packages`: config/feature-loader imports the types of the features that it loads.
  'src/edge': ['src/core', 'src/wire', 'packages'],
  // A feature implements interfaces of the core's model.
  'packages/zone-recovery/src': ['src/core/model'],
};

/** Maximum lines of a function, without blank lines and comments. */
const MAX_FUNCTION_LINES = 40;

/** Maximum lines of a file, with blank lines and comments. */
const MAX_FILE_LINES = 250;

/**
 * Maximum cyclomatic complexity of a function. When the bound was set, nine functions exceeded it (17 to 36), and twenty
 * were between 13 and 15.
 */
const MAX_COMPLEXITY = 15;

/** Maximum lines of the scope of a name of one letter. */
const MAX_LINES_OF_SHORT_NAMES = 3;

/* ---- The ESLint configuration made from these settings ---- */

/** One zone of `import-x/no-restricted-paths`: of this repository, files in `target` may import only `target` and `allowed`. */
function zone(target, allowed, message) {
  return { target: `./${target}`, from: '.', except: ['node_modules', target, ...allowed], message };
}

/** The zones of a folder with layers, including its entries that are in no layer. */
function layerZones(folder, rows) {
  const listed = rows.flat();
  const zones = rows.flatMap((row, index) => {
    const lower = rows.slice(0, index).flat();
    const allowed = [...lower.map((entry) => `${folder}/${entry}`), ...ALSO_ALLOWED[folder]];
    const message = `${folder}/{${row.join()}} may import ${allowed.join(', ') || 'nothing outside itself'}.`;
    return row.map((entry) => zone(`${folder}/${entry}`, allowed, message));
  });
  const unlisted = readdirSync(new URL(folder, import.meta.url)).filter((entry) => !listed.includes(entry));
  const message = `This file is in no row of LAYERS (eslint.config.mjs): add it to a row.`;
  return [...zones, ...unlisted.map((entry) => zone(`${folder}/${entry}`, [], message))];
}

const importZones = Object.entries(ALSO_ALLOWED).flatMap(([folder, allowed]) =>
  LAYERS[folder]
    ? layerZones(folder, LAYERS[folder])
    : [zone(folder, allowed, `${folder} may import ${allowed.join(', ')}.`)],
);

export default ts.config(
  { ignores: ['target/', 'node_modules/'] },
  // A disable directive that suppresses nothing is obsolete and would hide the next mistake.
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
      // Log lines and messages contain many counts and amounts, and the text of a number is unambiguous.
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      // The test runner itself waits for its tests.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['test', 'describe', 'it'], package: 'node:test' },
          ],
        },
      ],
      // This code base uses `() => void doIt()` and `return void reject()` as short forms of an early return.
      '@typescript-eslint/no-confusing-void-expression': 'off',
      // With types imported as types, the remaining imports are those that a file needs at run time.
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
      // Cycles are checked by dependency-cruiser (`npm run cycles`), which also finds those made by types alone.
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
          message: 'Use a subclass of Error with fields and a cause: callers distinguish errors by class.',
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
      // The core receives events and the time as parameters. It must not access clocks, files or sockets.
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
