import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import ts from 'typescript-eslint';

export default ts.config(
  { ignores: ['target/', 'node_modules/'] },
  js.configs.recommended,
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
    },
  },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    plugins: { jsdoc },
    rules: {
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
    files: ['deploy/**/*.mjs'],
    languageOptions: {
      globals: { Buffer: 'readonly', URL: 'readonly', process: 'readonly', setTimeout: 'readonly' },
    },
  },
  {
    files: ['src/core/**/*.ts', 'packages/zone-recovery/src/**/*.ts'],
    rules: {
      // The core takes what happened and when; it must reach no clock, file or socket by itself.
      'no-restricted-imports': ['error', { patterns: ['node:*', 'rxjs*', 'express', 'pino', '../edge/*'] }],
      'no-restricted-globals': ['error', 'process', 'setTimeout', 'setInterval', 'fetch'],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now' },
        { object: 'Math', property: 'random' },
      ],
    },
  },
);
