/**
 * @file A burst of accepted jobs with the largest number of tasks that the protocol allows. The platform ends a process
 * that holds more memory than its limit, and starts it again. Without the disruption each job has 120 tasks.
 */
import { readFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { job, runCase, sleep, smallFacts } from '../stand-ins-2.mjs';

const JOBS = 70;
const WATCHED_S = 45;
const RESTART_S = 6;

/** Memory that the process holds for itself, in MB: without the pages of files, which are shared. */
function heldMb(pid) {
  try {
    return Number(/^RssAnon:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1024;
  } catch {
    return 0;
  }
}

/** The facts and the machine type of Peachtree's grid on smaller machines. */
const facts = {
  ...smallFacts(),
  zones: ['midtown', 'alpharetta', 'augusta'],
  teams: [{ name: 'desk-ops', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  workers: { report_s: 4, lease_s: 24, gang_wait_s: 30, gang_peer_s: 8, cancel_s: 49 },
  state: { rps: 100, write_rps: 18, value_kb: 4, txn_ops: 8 },
  cloud: { rps: 5, list_lag_s: 4 },
  limits: { core_share: 0.102, memory_mb: 165, max_sockets: 2000 },
};
const type = {
  ...{ label: 'atlanta-rack48', vcpus: 48, gpus: 4, memGb: 288, localGb: 150, fetchGbPerS: 1 },
  ...{ rate: 16.19, spotPrice: 4.43, bootS: 30, halls: facts.zones },
};

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  { facts, type, capacity: 2 },
  async (deployment, trouble, record) => {
    const highest = [0, 0, 0];
    const kills = [0, 0, 0];
    const platform = setInterval(() => {
      for (const { n, label, process: child } of deployment.nodes) {
        if (child === null) continue;
        const held = heldMb(child.pid);
        highest[n] = Math.max(highest[n], held);
        if (held <= facts.limits.memory_mb || child.wanted) continue;
        record.line(
          `${label} holds ${held.toFixed(0)} MB of ${facts.limits.memory_mb}: the platform ends it`,
        );
        kills[n] += 1;
        deployment.signal(n, 'SIGKILL');
        setTimeout(() => deployment.launch(n), RESTART_S * 1000);
      }
    }, 250);
    await deployment.start(1);
    if (!(await deployment.ready())) throw new Error('no leader answers the workers');
    for (let n = 0; n < JOBS; n++) {
      const spec = job(100 + n, {
        ...{
          docket: 'ticket-replay',
          desk: 'desk-ops',
          precedence: 'idle',
          tickets: trouble ? 100_000 : 120,
        },
        ...{ vcpus: 10, gpus: 1, memGb: 54, expectedS: 35, runS: 35 },
      });
      const status = await deployment.submit(spec);
      if (status !== 201 && status !== 200) throw new Error(`${spec.ref} got ${status}`);
      await sleep(150);
    }
    for (let second = 0; second < WATCHED_S; second += 3) {
      await sleep(3000);
      record.line(
        `held at most: ${highest.map((held) => held.toFixed(0)).join(' ')} MB; ended for memory: ${kills.join(' ')}; leader ${deployment.leader()}; starts ${deployment.history.starts}`,
      );
    }
    clearInterval(platform);
    const broken = kills.flatMap((count, n) =>
      count > 0 ? [`hearth-${n} was ended for memory ${count} times`] : [],
    );
    return [...broken, ...deployment.history.broken, ...deployment.ended];
  },
);
