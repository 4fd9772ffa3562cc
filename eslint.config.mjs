import js from '@eslint/js';
import ts from 'typescript-eslint';

export default ts.config(
  { ignores: ['target/', 'node_modules/'] },
  js.configs.recommended,
  ...ts.configs.recommended,
  {
    files: ['src/core/**/*.ts'],
    rules: {
      // The core takes what happened and when; it must reach no clock, file or socket by itself.
      'no-restricted-imports': ['error', { patterns: ['node:*', 'rxjs*', 'express', 'pino', '../edge/*'] }],
      'no-restricted-globals': ['error', 'process', 'setTimeout', 'setInterval', 'fetch'],
      'no-restricted-properties': ['error', { object: 'Date', property: 'now' }, { object: 'Math', property: 'random' }],
    },
  },
);
