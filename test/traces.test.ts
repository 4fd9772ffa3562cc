/** @file Runs each trace of `test/traces`. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { TraceRunner } from './trace-runner.js';

const folder = join(__dirname, 'traces');

for (const file of readdirSync(folder).filter((name) => name.endsWith('.trace')))
  test(`trace ${file}`, () => new TraceRunner().run(readFileSync(join(folder, file), 'utf8'), file));
