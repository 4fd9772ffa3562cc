/**
 * @file The entry point of the built program: runs the bundle with the code cache that the build created
 * (`deploy/precompile.mjs`). It must also work without a cache: V8 rejects a cache that does not match the engine or
 * the bundle, and then compiles the bundle as usual.
 *
 * The cache exists because on 5.1 % of a core a start took most of ten seconds, nearly all of it compilation, and a
 * controller that is not running keeps users waiting. With the cache and the module stubs, `--version` went from 0.37
 * to 0.25 s of processor time; when the code that a leader runs was compiled too, it went from 0.18 to 0.14 s
 * (docs/results.md).
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

/** The bundle, wrapped in the function that Node.js puts around each CommonJS module. */
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundlePath, 'latin1')}\n})`;
const script = new Script(source, { filename: bundlePath, cachedData: readCodeCache() });
const runBundle = script.runInThisContext() as (...moduleScope: unknown[]) => void;
const bundleModule = { exports: {} };
runBundle(bundleModule.exports, createRequire(bundlePath), bundleModule, bundlePath, __dirname);

/** Creates a cache of all code that V8 has compiled so far. Called by the build. */
export const createCodeCache = (): Buffer => script.createCachedData();
