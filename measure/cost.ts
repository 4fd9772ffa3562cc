/**
 * @file Measures what events cost the scheduler with increasing numbers of machines and tasks. Run by hand:
 * `npm run cost`. Absolute times depend on the machine, so compare the ratio of each column to the smallest size, and the
 * counts.
 */
import { SimulatedFleet } from '../test/standins/simulated-fleet.js';

/** Returns the mean duration of `run` in microseconds. */
const averageMicros = (iterations: number, run: (k: number) => void): number => {
  const startedAt = process.hrtime.bigint();
  for (let k = 0; k < iterations; k++) run(k);
  return Number(process.hrtime.bigint() - startedAt) / 1000 / iterations;
};

function measure(machines: number): Record<string, number> {
  const fleet = new SimulatedFleet(machines);
  fleet.sendHeartbeats();
  fleet.sendHeartbeats();
  const tasks = machines * 4;
  const array = { cpus: 10, gpus: 1, memory: 54, taskCount: 40, priority: 'low' as const };
  let jobNumber = 0;
  const results: Record<string, number> = { machines, tasks };
  const arrayCount = Math.ceil(tasks / 40) - 1;
  results['assign one array'] = averageMicros(arrayCount, () => {
    fleet.submit(`req-${++jobNumber}`, array);
    fleet.advance(0.3);
    fleet.handle({ kind: 'tick' });
  });
  fleet.commit();
  results['operations, a task assigned'] = fleet.operations / (arrayCount * 40);
  fleet.sendHeartbeats();
  fleet.sendHeartbeats();
  results['heartbeat'] = averageMicros(2000, (k) =>
    fleet.handle({ kind: 'heartbeat', heartbeat: fleet.nextHeartbeat(k % machines) }),
  );
  results['heartbeat and response'] = averageMicros(2000, (k) => fleet.sendHeartbeat(k % machines));
  for (let k = 0; k < 20; k++) fleet.submit(`req-${++jobNumber}`, array);
  fleet.advance(0.3);
  fleet.handle({ kind: 'tick' });
  results['cycle, 20 arrays blocked'] = averageMicros(10, () => {
    fleet.advance(0.3);
    fleet.handle({ kind: 'tick' });
  });
  for (let k = 0; k < 20; k++)
    fleet.submit(`req-${++jobNumber}`, {
      ...array,
      priority: 'normal',
      kind: 'gang',
      taskCount: 4,
      singleZone: true,
    });
  results['cycle, and 20 gangs'] = averageMicros(10, () => {
    fleet.advance(0.3);
    fleet.handle({ kind: 'tick' });
  });
  fleet.operations = 0;
  fleet.commits = 0;
  let finishedTasks = 0;
  results['exit, cycle and commit'] = averageMicros(200, (k) => {
    if (fleet.finishOneTask((k * 7) % machines)) finishedTasks += 1;
    fleet.sendHeartbeat((k * 7) % machines);
    fleet.advance(0.03);
    if (k % 8 === 7) {
      fleet.handle({ kind: 'tick' });
      fleet.commit();
    }
  });
  results['operations, a task finished'] = fleet.operations / finishedTasks;
  results['tick'] = averageMicros(100, () => {
    fleet.advance(0.1);
    fleet.handle({ kind: 'tick' });
  });
  results['failover'] = averageMicros(1, () => fleet.startTerm());
  return results;
}

const sizes = process.argv.slice(2).map(Number);
for (const n of sizes.length > 0 ? sizes : [50]) measure(n); // lets the engine compile the code
const rows = (sizes.length > 0 ? sizes : [50, 200, 1000]).map(measure);
const first = rows[0] ?? {};
for (const key of Object.keys(first)) {
  const cells = rows.map((row) => {
    const value = row[key] ?? 0;
    const ratio = value / (first[key] ?? 1);
    return key === 'machines' || key === 'tasks'
      ? String(value)
      : `${value.toFixed(value < 1 ? 3 : 0)} (x${ratio.toFixed(1)})`;
  });
  console.log(key.padEnd(28), ...cells.map((c) => c.padStart(18)));
}
