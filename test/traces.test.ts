import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { Player } from './trace-runner.js';

const folder = join(__dirname, 'traces');

for (const file of readdirSync(folder).filter((f) => f.endsWith('.trace')))
  test(`trace ${file}`, () => new Player().play(readFileSync(join(folder, file), 'utf8'), file));
