/**
 * @file The entry point of the built program: runs the bundle with the code cache that the build made
 * (`deploy/precompile.mjs`). It must work without a cache too: one that does not fit the engine or the bundle is
 * refused by the engine, which then compiles the bundle as usual.
 *
 * Why there is a cache: on 5.1 % of a core a start took most of ten seconds, nearly all of it compiling, and a
 * controller that is not up keeps users waiting. With the cache and the module stubs `--version` went from 0.37 to
 * 0.25 s of processor time; with what a leader runs compiled too, from 0.18 to 0.14 s (docs/results.md).
 */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

const bundlePath = join(__dirname, 'program.js');
const codeCachePath = join(__dirname, 'program.cache');

function readCodeCache(): Buffer | undefined {
  try {
    return readFileSync(codeCachePath);
  } catch {
    return undefined;
  }
}

/** The bundle within the function that Node.js puts around each CommonJS module. */
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundlePath, 'latin1')}\n})`;
const script = new Script(source, { filename: bundlePath, cachedData: readCodeCache() });
const runBundle = script.runInThisContext() as (...moduleScope: unknown[]) => void;
const bundleModule = { exports: {} };
runBundle(bundleModule.exports, createRequire(bundlePath), bundleModule, bundlePath, __dirname);

/** For the build: a cache of all code that the engine has compiled by now. */
export const createCodeCache = (): Buffer => script.createCachedData();
