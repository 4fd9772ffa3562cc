import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

/**
 * Starts the program from what the build compiled ahead. On a small share of a core compiling takes most of a start,
 * and a controller that is away keeps users waiting. A cache that does not fit the engine or the program is refused by
 * the engine, and the program is compiled as it always was.
 */
const program = join(__dirname, 'program.js');

function cached(): Buffer | undefined {
  try {
    return readFileSync(join(__dirname, 'program.cache'));
  } catch {
    return undefined;
  }
}

const text = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, 'latin1')}\n})`;
const script = new Script(text, { filename: program, cachedData: cached() });
const run = script.runInThisContext() as (...args: unknown[]) => void;
const made = { exports: {} };
run(made.exports, createRequire(program), made, program, __dirname);

/** For the build: what is compiled by now. */
export const compiled = (): Buffer => script.createCachedData();
