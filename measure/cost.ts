/** @file What events cost the scheduler as machines and tasks increase. */
import { SimulatedFleet } from '../test/standins/simulated-fleet.js';

/**
 * What events cost the scheduler as machines and tasks become more. Run by hand: `npm run cost`. Absolute times
 * depend on the machine, so what counts is each column's ratio to the smallest size, and the counts beside it.
 */
const micros = (n: number, f: (k: number) => void): number => {
  const began = process.hrtime.bigint();
  for (let k = 0; k < n; k++) f(k);
  return Number(process.hrtime.bigint() - began) / 1000 / n;
};

function measure(machines: number): Record<string, number> {
  const fleet = new SimulatedFleet(machines);
  fleet.sendHeartbeats();
  fleet.sendHeartbeats();
  const tasks = machines * 4;
  const array = { cpus: 10, gpus: 1, memory: 54, taskCount: 40, priority: 'low' as const };
  let id = 0;
  const out: Record<string, number> = { machines, tasks };
  const fill = Math.ceil(tasks / 40) - 1;
  out['place one array'] = micros(fill, () => {
    fleet.submit(`req-${++id}`, array);
    fleet.advance(0.3);
    fleet.handle({ kind: 'tick' });
  });
  fleet.commit();
  out['changes, a placed task'] = fleet.operations / (fill * 40);
  fleet.sendHeartbeats();
  fleet.sendHeartbeats();
  out['report'] = micros(2000, (k) =>
    fleet.handle({ kind: 'heartbeat', heartbeat: fleet.nextHeartbeat(k % machines) }),
  );
  out['report and answer'] = micros(2000, (k) => fleet.sendHeartbeat(k % machines));
  for (let k = 0; k < 20; k++) fleet.submit(`req-${++id}`, array);
  fleet.advance(0.3);
  fleet.handle({ kind: 'tick' });
  out['pass, 20 arrays blocked'] = micros(10, () => {
    fleet.advance(0.3);
    fleet.handle({ kind: 'tick' });
  });
  for (let k = 0; k < 20; k++)
    fleet.submit(`req-${++id}`, {
      ...array,
      priority: 'normal',
      kind: 'gang',
      taskCount: 4,
      singleZone: true,
    });
  out['pass, and 20 gangs'] = micros(10, () => {
    fleet.advance(0.3);
    fleet.handle({ kind: 'tick' });
  });
  fleet.operations = 0;
  fleet.commits = 0;
  let ended = 0;
  out['exit, pass and commit'] = micros(200, (k) => {
    if (fleet.finishOneTask((k * 7) % machines)) ended += 1;
    fleet.sendHeartbeat((k * 7) % machines);
    fleet.advance(0.03);
    if (k % 8 === 7) {
      fleet.handle({ kind: 'tick' });
      fleet.commit();
    }
  });
  out['changes, an ended task'] = fleet.operations / ended;
  out['tick'] = micros(100, () => {
    fleet.advance(0.1);
    fleet.handle({ kind: 'tick' });
  });
  out['takeover'] = micros(1, () => fleet.startTerm());
  return out;
}

const sizes = process.argv.slice(2).map(Number);
for (const n of sizes.length > 0 ? sizes : [50]) measure(n); // warms the code up
const rows = (sizes.length > 0 ? sizes : [50, 200, 1000]).map(measure);
const first = rows[0] ?? {};
for (const key of Object.keys(first)) {
  const cells = rows.map((r) => {
    const v = r[key] ?? 0;
    const ratio = v / (first[key] ?? 1);
    return key === 'machines' || key === 'tasks'
      ? String(v)
      : `${v.toFixed(v < 1 ? 3 : 0)} (x${ratio.toFixed(1)})`;
  });
  console.log(key.padEnd(28), ...cells.map((c) => c.padStart(18)));
}
