/** @file Processor time and memory of two controller processes under load and during a failover. */
import { spawn, type ChildProcess } from 'node:child_process';
import { Agent } from 'node:http';
import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { call, listen } from '../test/standins/http.js';
import { measurePeerLinkBytes } from './peer-link.js';
import {
  MACHINE_TYPE_BODY,
  reserveAddress,
  jobBody,
  platformSettings,
  waitFor,
} from '../test/standins/cluster.js';
import { StateStoreStandIn } from '../test/standins/state-store.js';
import { TaskHistory, WorkerStandIn } from '../test/standins/worker.js';

/**
 * Runs two controllers as real processes against stand-ins. Measures the startup, idle load, busy load and memory of the
 * leader and the standby, the processor time of the standby during a failover (by second, by function and by step of the
 * term's startup profile), and the memory of the link between them. Run by hand after a build:
 * `npm run load -- MACHINES HEARTBEAT_INTERVAL_S SECONDS [MEMORY_MB [SOCKETS]]`. Compare shares only, because absolute
 * times depend on the machine.
 */
const [machines = 60, heartbeatIntervalS = 1, seconds = 20, memoryMb = 0, sockets = 4000] = process.argv
  .slice(2)
  .map(Number);

const LEASE_S = 11;

const pause = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

interface ProcessUsage {
  readonly userMs: number;
  readonly systemMs: number;
  readonly rssMb: number;
}

/** Returns the processor time and memory of a process, as the kernel reports them. */
function readUsage(pid: number): ProcessUsage {
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

/** Returns the self time of each function in milliseconds, largest first. */
function selfTimes(profile: Profile): [string, number][] {
  const names = new Map(
    profile.nodes.map((n) => [
      n.id,
      `${n.callFrame.functionName || '(anonymous)'} ${n.callFrame.url.slice(-24)}`,
    ]),
  );
  const timeByFunction = new Map<string, number>();
  profile.samples.forEach((id, k) => {
    const name = names.get(id) ?? '';
    timeByFunction.set(name, (timeByFunction.get(name) ?? 0) + (profile.timeDeltas[k] ?? 0) / 1000);
  });
  return [...timeByFunction].filter(([name]) => !name.startsWith('(idle)')).sort((a, b) => b[1] - a[1]);
}

/** Ends a process with SIGTERM, so that it writes its profile, and waits for its exit. */
async function terminate(child: ChildProcess): Promise<void> {
  child.kill('SIGTERM');
  await new Promise((done) => child.once('exit', done));
}

/** Prints the profile in the folder and deletes its file. */
function printProfile(folder: string, description: string): void {
  const file = readdirSync(folder).find((f) => f.endsWith('.cpuprofile'));
  if (file === undefined) return;
  const rows = selfTimes(JSON.parse(readFileSync(join(folder, file), 'utf8')) as Profile);
  rmSync(join(folder, file));
  const totalMs = rows.reduce((sum, [, ms]) => sum + ms, 0);
  console.log(`largest self times ${description}, of ${totalMs.toFixed(0)} ms:`);
  for (const [name, ms] of rows.slice(0, 45))
    console.log(
      `${((100 * ms) / totalMs).toFixed(1).padStart(5)} %  ${ms.toFixed(0).padStart(6)} ms  ${name}`,
    );
}

/** Seconds for which the new leader is observed. */
const TAKEOVER_S = 20;
/** The startup profile is logged 20 s after the term starts, possibly some seconds after the previous leader's exit. */
const STARTUP_PROFILE_TIMEOUT_MS = 10_000;

const folder = mkdtempSync(join(tmpdir(), 'load-'));

/** A controller in its own process. */
class Controller {
  readonly api = reserveAddress();
  private child: ChildProcess | null = null;
  private readonly log: string[] = [];
  private lastUsage: ProcessUsage = { userMs: 0, systemMs: 0, rssMb: 0 };

  constructor(readonly label: string) {}

  get usage(): ProcessUsage {
    return readUsage(this.child?.pid ?? 0);
  }

  /** Starts the process and waits until it accepts requests. */
  async start(settings: unknown): Promise<void> {
    const file = join(folder, `${this.label}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const began = process.hrtime.bigint();
    this.child = spawn(
      process.execPath,
      ['--cpu-prof', `--cpu-prof-dir=${folder}`, 'target/main.js', '--config', file],
      { stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: 'info' } },
    );
    this.child.stderr?.on('data', (data: Buffer) => this.log.push(data.toString('utf8')));
    while ((await call(this.api, 'GET', '/healthz').catch(() => null))?.status !== 200) await pause(20);
    const { userMs, systemMs, rssMb } = this.usage;
    console.log(
      `${this.label}: healthy after ${Math.round(Number(process.hrtime.bigint() - began) / 1e6)} ms of wall time,`,
      `${userMs + systemMs} ms of processor time, ${rssMb.toFixed(1)} MB`,
    );
  }

  /** The startup profile that the controller logged, as JSON, or null if its term is not old enough for one. */
  get startupProfile(): string | null {
    const line = this.log
      .join('')
      .split('\n')
      .find((each) => each.includes('term startup profile'));
    return line === undefined ? null : JSON.stringify((JSON.parse(line) as { stepMs: unknown }).stepMs);
  }

  /** Returns the processor time since the last call as a share of a core, and the memory. */
  usageSinceLastCall(seconds: number): string {
    const { userMs, systemMs, rssMb } = this.usage;
    const cpuShare = (userMs + systemMs - this.lastUsage.userMs - this.lastUsage.systemMs) / (seconds * 1000);
    const kernelShare = (systemMs - this.lastUsage.systemMs) / (seconds * 1000);
    this.lastUsage = { userMs, systemMs, rssMb };
    return `${cpuShare.toFixed(3)} of a core (${kernelShare.toFixed(3)} in the kernel), ${rssMb.toFixed(1)} MB`;
  }

  /** Ends the process and prints its profile. */
  async end(description: string): Promise<void> {
    if (this.child === null) return;
    await terminate(this.child);
    printProfile(folder, description);
  }
}

async function startWorkers(controllers: readonly string[], history: TaskHistory): Promise<WorkerStandIn[]> {
  const workers: WorkerStandIn[] = [];
  for (let n = 0; n < machines; n++) {
    const zone = n % 2 === 0 ? 'east' : 'west';
    const name = `n-${String(n).padStart(6, '0')}`;
    const worker = new WorkerStandIn(name, zone, controllers, history, () => 20_000);
    worker.heartbeatIntervalMs = heartbeatIntervalS * 1000;
    worker.leaseMs = LEASE_S * 1000;
    worker.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await worker.start();
    workers.push(worker);
  }
  return workers;
}

const inventoryEntry = (worker: WorkerStandIn): unknown => ({
  ref: worker.name,
  endpoint: worker.address,
  build: 'big',
  hall: worker.zone,
  loaners: false,
  standing: 'running',
  ageS: 100,
});

/** Submits jobs at the start and then every second, for `seconds` seconds. */
async function submitLoad(api: string): Promise<void> {
  const jobs = Math.ceil(machines / 4);
  let next = 0;
  const submit = async (): Promise<void> => {
    const desk = next % 2 === 0 ? 'red' : 'blue';
    await call(api, 'POST', '/work', jobBody(`req-${next++}`, { tickets: 4, desk })).catch(() => null);
  };
  for (let n = 0; n < jobs; n++) await submit();
  for (let s = 0; s < seconds; s++) {
    await pause(1000);
    for (let n = 0; n < Math.ceil(jobs / 20); n++) await submit();
  }
}

async function main(): Promise<void> {
  const stateStore = new StateStoreStandIn({ txnOps: 12, valueBytes: 4096 });
  await stateStore.start();
  let workers: WorkerStandIn[] = [];
  const cloud = await listen((_method, url) =>
    url.pathname === '/flavors'
      ? { status: 200, body: { builds: [MACHINE_TYPE_BODY] } }
      : { status: 200, body: { rigs: workers.map(inventoryEntry), hasNext: false } },
  );
  const settingsOf = (controller: Controller): unknown => {
    const timing = { report_s: heartbeatIntervalS, lease_s: LEASE_S, cancel_s: 31 };
    const platform = platformSettings(controller.label, controller.api, cloud.address, stateStore, timing);
    const limits = memoryMb > 0 ? { core_share: 1, memory_mb: memoryMb, max_sockets: sockets } : undefined;
    const team = { cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 };
    const teams = ['red', 'blue'].map((name) => ({ name, ...team }));
    return { ...platform, facts: { ...platform.facts, teams, limits } };
  };
  const leader = new Controller('leader');
  const standby = new Controller('standby');
  await leader.start(settingsOf(leader));
  await pause(1500);
  await standby.start(settingsOf(standby));
  const history = new TaskHistory();
  workers = await startWorkers([leader.api, standby.api], history);
  await pause(4000);
  for (const controller of [leader, standby]) controller.usageSinceLastCall(1);
  await pause(5000);
  for (const controller of [leader, standby])
    console.log(`${controller.label} at rest with ${machines} machines: ${controller.usageSinceLastCall(5)}`);
  await submitLoad(leader.api);
  for (const controller of [leader, standby])
    console.log(`${controller.label} busy: ${controller.usageSinceLastCall(seconds)}`);
  console.log(`${history.startCount} tasks started, ${history.conflicts.length} of them twice`);
  await leader.end('of the leader');
  const bySecond: string[] = [];
  for (let s = 0; s < TAKEOVER_S; s++) {
    await pause(1000);
    bySecond.push(standby.usageSinceLastCall(1).split(' ')[0] ?? '');
  }
  console.log(`the standby, share of a core in each second after the leader's exit: ${bySecond.join(' ')}`);
  await waitFor(
    'the startup profile',
    () => Promise.resolve(standby.startupProfile),
    STARTUP_PROFILE_TIMEOUT_MS,
  ).catch(() => null);
  console.log(`the standby's first 20 s as leader, ms by step: ${standby.startupProfile ?? 'not logged'}`);
  await standby.end('of the standby');
  console.log(
    `two controllers' link: ${((await measurePeerLinkBytes()) / 1024).toFixed(1)} KB of heap, both ends`,
  );
  for (const worker of workers) worker.stop();
  cloud.close();
  stateStore.stop();
  rmSync(folder, { recursive: true });
}

void main().then(() => process.exit(0));
