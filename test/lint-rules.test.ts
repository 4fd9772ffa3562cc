import { describe, it } from 'node:test';
import { RuleTester } from 'eslint';
import ts from 'typescript-eslint';
import { shortNames } from '../lint-rules/short-names.mjs';

RuleTester.describe = describe as typeof RuleTester.describe;
RuleTester.it = it as typeof RuleTester.it;
RuleTester.itOnly = it.only as typeof RuleTester.itOnly;

/** Returns the code of a function with `lines` lines and the given parameter. */
const functionOf = (lines: number, parameter: string): string =>
  [`function run(${parameter}) {`, ...Array.from({ length: lines - 2 }, () => '  go();'), '}'].join('\n');

const reported = (name: string, lines: number, maxLines = 3) => ({
  messageId: 'tooShort',
  data: { name, lines: String(lines), maxLines: String(maxLines) },
});

new RuleTester({ languageOptions: { parser: ts.parser } }).run('short-names', shortNames, {
  valid: [
    { name: 'one line', code: 'const ids = jobs.map((j) => j.id);' },
    { name: 'a scope of the maximum length', code: functionOf(3, 'j') },
    { name: 'a longer name', code: functionOf(9, 'job') },
    { name: 'the underscore', code: functionOf(9, '_') },
    { name: 'a field is not a variable', code: 'const point = {\n  x: 1,\n  y: 2,\n  z: 3,\n};' },
    {
      name: 'a type parameter',
      code: 'function first<T>(\n  all: T[],\n): T | undefined {\n  return all[0];\n}',
    },
    {
      name: 'a short block in a long function',
      code: 'function run() {\n  go();\n  if (x) { const y = x; }\n  go();\n}',
    },
    { name: 'the length is an option', code: functionOf(9, 'j'), options: [{ maxLines: 9 }] },
  ],
  invalid: [
    { name: 'a parameter', code: functionOf(4, 'j'), errors: [reported('j', 4)] },
    { name: 'a destructured parameter', code: functionOf(4, '{ id: i }'), errors: [reported('i', 4)] },
    { name: 'a parameter with a default', code: functionOf(4, 'n = 1'), errors: [reported('n', 4)] },
    { name: 'a variable of the module', code: 'const a = 1;\n\n\ngo(a);', errors: [reported('a', 4)] },
    {
      name: 'a loop, but not the short loop in it',
      code: 'for (const a of as) {\n  for (const b of bs) go(b);\n  go();\n  go(a);\n}',
      errors: [reported('a', 5)],
    },
    {
      name: 'a caught error',
      code: 'try { go(); } catch (e) {\n  go();\n  go();\n  go(e);\n}',
      errors: [reported('e', 5)],
    },
    {
      name: 'an arrow function within a short statement',
      code: 'run((s) => {\n  go();\n  go();\n  go(s);\n});',
      errors: [reported('s', 5)],
    },
    {
      name: 'the length is an option',
      code: functionOf(2, 'j'),
      options: [{ maxLines: 1 }],
      errors: [reported('j', 2, 1)],
    },
  ],
});
