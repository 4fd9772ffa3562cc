// The last step of the build: starts the program once against stand-ins (rehearsal.mjs), lets it lead and place a few
// jobs, and keeps what the engine has compiled by then (target/program.cache). src/launch.ts starts the program from it.
import { createServer } from 'node:net';
import { createRequire } from 'node:module';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Worker, ask, cloud, stateService } from './rehearsal.mjs';

const REHEARSAL_MS = 2500;

const target = join(import.meta.dirname ?? new URL('.', import.meta.url).pathname, '..', 'target');
const folder = mkdtempSync(join(tmpdir(), 'precompile-'));
const settings = join(folder, 'settings.json');
const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const freePort = () =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const api = `127.0.0.1:${await freePort()}`;
const worker = new Worker();
await worker.start(api);
writeFileSync(
  settings,
  JSON.stringify({
    label: 'precompile',
    area: 'a',
    api_addr: api,
    internal_addr: `127.0.0.1:${await freePort()}`,
    known: [],
    external: { cloud: await cloud(worker), state: await stateService() },
    facts: {
      zones: ['a'],
      teams: [{ name: 'team', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
      objectives: [{ kind: 'wait', class: 'array', within_s: 10, share: 0.9 }],
      workers: { report_s: 1, lease_s: 10, gang_wait_s: 30, gang_peer_s: 8, cancel_s: 30 },
      state: { rps: 100, write_rps: 100, value_kb: 4, txn_ops: 8 },
      cloud: { rps: 5, list_lag_s: 4 },
      skew_ms: 5,
    },
  }),
);

const job = (number, shape, precedence, tickets) => ({
  ref: `req-${number}`,
  docket: shape,
  desk: 'team',
  shape,
  precedence,
  tickets,
  vcpus: 1,
  gpus: 1,
  memGb: 1,
  bundle: 'image',
  pullGb: 1,
  builds: null,
  hall: null,
  oneZone: shape === 'ensemble',
  spread: false,
  loaners: true,
  expectedS: 1,
  snapshotEveryS: 1,
  snapshotS: 0,
  dueS: null,
});

process.env.LOG_LEVEL = 'error';
process.argv = [process.argv[0], join(target, 'main.js'), '--config', settings];
const { compiled } = createRequire(import.meta.url)(join(target, 'main.js'));
for (let n = 0; n < 100 && (await ask(api, 'GET', '/healthz'))?.status !== 200; n++) await pause(20);
const jobs = [
  job(1, 'batch', 'idle', 6),
  job(2, 'ensemble', 'normal', 2),
  job(3, 'service', 'prod', 4),
  job(4, 'ensemble', 'high', 3),
];
for (const each of jobs) await ask(api, 'POST', '/work', each);
for (const each of jobs) await ask(api, 'GET', `/work/${each.ref}`);
await pause(REHEARSAL_MS / 2);
await ask(api, 'POST', '/work/req-3/withdraw');
await pause(REHEARSAL_MS / 2);
writeFileSync(join(target, 'program.cache'), compiled());
rmSync(folder, { recursive: true });
process.exit(0);
