/**
 * @file Measures each step of the startup by the processor time of a process that exits after it. Run by hand after a
 * build: `npm run startup`.
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { reserveAddress, platformSettings } from '../test/standins/cluster.js';

/** Number of runs of each step, of which the median is printed. */
const RUNS = 9;

const folder = mkdtempSync(join(tmpdir(), 'startup-'));
const settings = join(folder, 'settings.json');
writeFileSync(
  settings,
  JSON.stringify(platformSettings('one', reserveAddress(), reserveAddress(), { address: reserveAddress() })),
);

/** Returns the processor time of one run in milliseconds, as the shell reports it. */
function run(args: readonly string[]): number {
  const script = `TIMEFORMAT='%U %S'; time "$@" >/dev/null`;
  const child = spawnSync('bash', ['-c', script, 'bash', process.execPath, ...args], { encoding: 'utf8' });
  const [user = 0, system = 0] = (child.stderr.trim().split('\n').at(-1) ?? '').split(' ').map(Number);
  return (user + system) * 1000;
}

const STEPS: readonly (readonly [string, readonly string[]])[] = [
  ['the engine alone', ['-e', '0']],
  ['and the program loaded (--version)', ['target/main.js', '--version']],
  ['and the settings read and checked (--check)', ['target/main.js', '--check', '--config', settings]],
];

for (const [step, args] of STEPS) {
  const times = Array.from({ length: RUNS }, () => run(args)).sort((a, b) => a - b);
  console.log(`${step.padEnd(48)} ${String(Math.round(times[Math.floor(RUNS / 2)] ?? 0)).padStart(5)} ms`);
}
console.log('`npm run load` prints the time to the first response as "healthy after".');
rmSync(folder, { recursive: true });
