// The last step of the build: starts the program once, with nobody there to answer it, and keeps what the engine has
// compiled by then (target/program.cache). src/launch.ts starts the program from it.
import { request } from 'node:http';
import { createServer } from 'node:net';
import { createRequire } from 'node:module';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const target = join(import.meta.dirname ?? new URL('.', import.meta.url).pathname, '..', 'target');
const folder = mkdtempSync(join(tmpdir(), 'precompile-'));
const settings = join(folder, 'settings.json');

const freePort = () =>
  new Promise((resolve) => {
    const s = createServer();
    s.listen(0, '127.0.0.1', () => {
      const { port } = s.address();
      s.close(() => resolve(port));
    });
  });

const api = `127.0.0.1:${await freePort()}`;
const nobody = `127.0.0.1:${await freePort()}`;
writeFileSync(
  settings,
  JSON.stringify({
    label: 'precompile',
    area: 'a',
    api_addr: api,
    internal_addr: `127.0.0.1:${await freePort()}`,
    known: [],
    external: { cloud: nobody, state: nobody },
    facts: {
      zones: ['a'],
      teams: [],
      objectives: [],
      workers: { report_s: 1, lease_s: 10, gang_wait_s: 30, gang_peer_s: 8, cancel_s: 30 },
      state: { rps: 10, write_rps: 10, value_kb: 4, txn_ops: 8 },
      cloud: { rps: 1, list_lag_s: 4 },
      skew_ms: 5,
    },
  }),
);

const ask = (method, path) =>
  new Promise((resolve) => {
    const [host, port] = api.split(':');
    const req = request({ host, port, method, path, agent: false }, (res) => {
      res.resume();
      res.on('end', () => resolve(true));
    });
    req.on('error', () => resolve(false));
    req.end();
  });

process.env.LOG_LEVEL = 'error';
process.argv = [process.argv[0], join(target, 'main.js'), '--config', settings];
const { compiled } = createRequire(import.meta.url)(join(target, 'main.js'));
for (let n = 0; n < 100 && !(await ask('GET', '/healthz')); n++) await new Promise((r) => setTimeout(r, 20));
for (const [method, path] of [
  ['POST', '/work'],
  ['GET', '/work/req-1'],
  ['POST', '/work/req-1/withdraw'],
  ['POST', '/hello'],
])
  await ask(method, path);
writeFileSync(join(target, 'program.cache'), compiled());
rmSync(folder, { recursive: true });
process.exit(0);
