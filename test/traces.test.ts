/** @file Runs each trace of `test/traces`. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { TraceRunner } from './trace-runner.js';

const folder = join(__dirname, 'traces');

/** Traces that fail for a fault that is not fixed yet: see KNOWN-RED.txt. */
const isKnownRed = (file: string): boolean => file.startsWith('late-start-');

for (const file of readdirSync(folder).filter((name) => name.endsWith('.trace')))
  test(`trace ${file}`, { todo: isKnownRed(file) && 'KNOWN-RED.txt, 1' }, () =>
    new TraceRunner().run(readFileSync(join(folder, file), 'utf8'), file),
  );
