import { spawn, type ChildProcess } from 'node:child_process';
import { Agent } from 'node:http';
import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { call, listen } from '../test/standins/http.js';
import { ownAddress, job, platform } from '../test/standins/site.js';
import { StateStandIn } from '../test/standins/state.js';
import { Watch, WorkerStandIn } from '../test/standins/worker.js';

/**
 * One controller as a real process against our stand-ins: what its start, its steady work and its memory come to. Run by
 * hand after a build: `npm run load -- MACHINES REPORT_S SECONDS [MEMORY_MB]`. The shares count; absolute times depend
 * on the machine.
 */
const [machines = 60, reportS = 1, seconds = 20, memoryMb = 0] = process.argv.slice(2).map(Number);

const TYPE = {
  label: 'big',
  vcpus: 8,
  gpus: 2,
  memGb: 64,
  localGb: 100,
  fetchGbPerS: 1,
  rate: 10,
  spotPrice: 4,
  bootS: 30,
  halls: ['east', 'west'],
};

const pause = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

interface Held {
  readonly userMs: number;
  readonly systemMs: number;
  readonly rssMb: number;
}

/** What a process has used and holds, as the kernel counts it. */
function heldBy(pid: number): Held {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return {
    userMs: Number(fields[11]) * 10,
    systemMs: Number(fields[12]) * 10,
    rssMb: (Number(fields[21]) * 4096) / 2 ** 20,
  };
}

interface Profile {
  readonly nodes: readonly {
    readonly id: number;
    readonly callFrame: { readonly functionName: string; readonly url: string };
    readonly children?: readonly number[];
  }[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

/** The time spent in each function itself, largest first. */
function shares(p: Profile): [string, number][] {
  const names = new Map(
    p.nodes.map((n) => [n.id, `${n.callFrame.functionName || '(anonymous)'} ${n.callFrame.url.slice(-24)}`]),
  );
  const own = new Map<string, number>();
  p.samples.forEach((id, k) => {
    const name = names.get(id) ?? '';
    own.set(name, (own.get(name) ?? 0) + (p.timeDeltas[k] ?? 0) / 1000);
  });
  return [...own].filter(([name]) => !name.startsWith('(idle)')).sort((a, b) => b[1] - a[1]);
}

/** Ends a process in the way in which it writes its profile. */
async function over(child: ChildProcess): Promise<void> {
  child.kill('SIGTERM');
  await new Promise((done) => child.once('exit', done));
}

/** Tells what the profile in the folder says, and takes it away. */
function tell(folder: string, what: string): void {
  const file = readdirSync(folder).find((f) => f.endsWith('.cpuprofile'));
  if (file === undefined) return;
  const rows = shares(JSON.parse(readFileSync(join(folder, file), 'utf8')) as Profile);
  rmSync(join(folder, file));
  const all = rows.reduce((sum, [, ms]) => sum + ms, 0);
  console.log(`largest ${what}, of ${all.toFixed(0)} ms:`);
  for (const [name, ms] of rows.slice(0, 45))
    console.log(`${((100 * ms) / all).toFixed(1).padStart(5)} %  ${ms.toFixed(0).padStart(6)} ms  ${name}`);
}

/** How long the second process is looked at. */
const TAKEOVER_S = 12;

async function main(): Promise<void> {
  const state = new StateStandIn({ txnOps: 12, valueBytes: 4096 });
  await state.start();
  const api = ownAddress();
  const workers: WorkerStandIn[] = [];
  const cloud = await listen((_m, url) =>
    url.pathname === '/flavors'
      ? { status: 200, body: { builds: [TYPE] } }
      : {
          status: 200,
          body: {
            rigs: workers.map((worker) => ({
              ref: worker.name,
              endpoint: worker.addr,
              build: 'big',
              hall: worker.zone,
              loaners: false,
              standing: 'running',
              ageS: 100,
            })),
            hasNext: false,
          },
        },
  );
  const folder = mkdtempSync(join(tmpdir(), 'load-'));
  const p = platform('one', api, cloud.addr, state, { report_s: reportS, lease_s: 11, cancel_s: 31 });
  const limits = memoryMb > 0 ? { core_share: 1, memory_mb: memoryMb, max_sockets: 4000 } : undefined;
  const teams = [
    { name: 'red', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    { name: 'blue', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
  ];
  writeFileSync(
    join(folder, 'settings.json'),
    JSON.stringify({ ...p, facts: { ...p.facts, teams, limits } }),
  );
  const begin = async (): Promise<ChildProcess> => {
    const child = spawn(
      process.execPath,
      ['--cpu-prof', `--cpu-prof-dir=${folder}`, 'target/main.js', '--config', join(folder, 'settings.json')],
      { stdio: ['ignore', 'ignore', 'inherit'], env: { ...process.env, LOG_LEVEL: 'info' } },
    );
    for (;;) {
      const r = await call(api, 'GET', '/healthz').catch(() => null);
      if (r?.status === 200) return child;
      await pause(20);
    }
  };
  const began = process.hrtime.bigint();
  let child = await begin();
  let pid = child.pid ?? 0;
  const started = heldBy(pid);
  console.log(
    `start: healthy after ${Number(process.hrtime.bigint() - began) / 1e6} ms of wall time,`,
    `${started.userMs + started.systemMs} ms of processor time, ${started.rssMb.toFixed(1)} MB`,
  );
  const watch = new Watch();
  for (let n = 0; n < machines; n++) {
    const worker = new WorkerStandIn(
      `n-${String(n).padStart(6, '0')}`,
      n % 2 === 0 ? 'east' : 'west',
      [api],
      watch,
      () => 20_000,
    );
    worker.everyMs = reportS * 1000;
    worker.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await worker.start();
    workers.push(worker);
  }
  await pause(4000);
  const rest = heldBy(pid);
  await pause(5000);
  const rested = heldBy(pid);
  console.log(
    `at rest with ${machines} machines: ${((rested.userMs + rested.systemMs - rest.userMs - rest.systemMs) / 5000).toFixed(3)} of a core,`,
    `${rested.rssMb.toFixed(1)} MB`,
  );
  const jobs = Math.ceil(machines / 4);
  for (let n = 0; n < jobs; n++)
    await call(api, 'POST', '/work', job(`req-${n}`, { tickets: 4, desk: n % 2 ? 'red' : 'blue' }));
  let peak = 0;
  const busy = heldBy(pid);
  let next = jobs;
  for (let s = 0; s < seconds; s++) {
    await pause(1000);
    peak = Math.max(peak, heldBy(pid).rssMb);
    for (let n = 0; n < Math.ceil(jobs / 20); n++)
      await call(api, 'POST', '/work', job(`req-${next++}`, { tickets: 4 })).catch(() => null);
  }
  const end = heldBy(pid);
  console.log(
    `busy: ${((end.userMs + end.systemMs - busy.userMs - busy.systemMs) / (seconds * 1000)).toFixed(3)} of a core`,
    `(${((end.systemMs - busy.systemMs) / (seconds * 1000)).toFixed(3)} in the kernel), at most ${peak.toFixed(1)} MB,`,
    `${watch.starts} tasks started, ${watch.broken.length} twice`,
  );
  await over(child);
  tell(folder, 'of the first process');
  // The same machines and tasks once more, for a process that has nothing compiled and nothing connected yet.
  child = await begin();
  pid = child.pid ?? 0;
  let last = heldBy(pid);
  const bySecond: string[] = [];
  for (let s = 0; s < TAKEOVER_S; s++) {
    await pause(1000);
    const now = heldBy(pid);
    bySecond.push(((now.userMs + now.systemMs - last.userMs - last.systemMs) / 1000).toFixed(2));
    last = now;
  }
  console.log(`after a takeover, of a core by the second: ${bySecond.join(' ')}`);
  await over(child);
  tell(folder, 'of the takeover');
  for (const worker of workers) worker.stop();
  cloud.close();
  state.stop();
  rmSync(folder, { recursive: true });
}

void main().then(() => process.exit(0));
