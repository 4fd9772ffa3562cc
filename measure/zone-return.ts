/** @file Zone loss and return in the simulation, with zone recovery off and on. */
import { checkHistory } from '../packages/zone-recovery/test/history-checker.js';
import {
  ONE_PARTITION,
  runScenario,
  SERVICES,
  type Scenario,
} from '../packages/zone-recovery/test/scenario.js';

/**
 * Simulates the loss and return of a zone with the scheduler core, with zone recovery off and on. Run by hand:
 * `npm run zone-return -- [SEEDS]`. Each cell is the median and the worst of all seeds.
 */
const [seeds = 8] = process.argv.slice(2).map(Number);

const SCENARIOS: readonly (readonly [string, Scenario])[] = [
  ['one partition of 40 s', ONE_PARTITION],
  ['three partitions, 40 s between', { ...ONE_PARTITION, partitions: 3, pauseS: 40 }],
  ['3 of 8 machines come back', { ...ONE_PARTITION, machinesBack: 3 }],
  ['a failover 12 s into the return', { ...ONE_PARTITION, failoverAfterS: 12 }],
];

interface Metric {
  readonly name: string;
  /** True if a higher value is better. */
  readonly higherIsBetter: boolean;
  readonly measure: (result: ReturnType<typeof runScenario>) => number;
}

const findingsOf = (result: ReturnType<typeof runScenario>): ReturnType<typeof checkHistory> =>
  checkHistory(result.simulation.history, SERVICES);

const METRICS: readonly Metric[] = [
  {
    name: 'slowest replica after lease, s',
    higherIsBetter: false,
    measure: (result) => findingsOf(result).replacedAfter.at(-1) ?? 0,
  },
  { name: 'lowest share of replicas', higherIsBetter: true, measure: (result) => result.lowestShare },
  { name: 'replicas evicted', higherIsBetter: false, measure: (result) => findingsOf(result).evicted.length },
  {
    name: 'tasks running twice',
    higherIsBetter: false,
    measure: (result) => findingsOf(result).duplicates.length,
  },
  {
    name: 'most fetches started in a second',
    higherIsBetter: false,
    measure: (result) => findingsOf(result).maxFetchesPerSecond,
  },
  {
    name: 'most starts in a second',
    higherIsBetter: false,
    measure: (result) => findingsOf(result).maxStartsPerSecond,
  },
  { name: 'tasks done', higherIsBetter: true, measure: (result) => findingsOf(result).finished },
  {
    name: 'tasks done after the return',
    higherIsBetter: true,
    measure: (result) =>
      result.simulation.history.filter(
        (entry) => entry.kind === 'end' && entry.done && entry.at > result.healedAt,
      ).length,
  },
];

function formatCell(values: readonly number[], higherIsBetter: boolean): string {
  const sorted = [...values].sort((a, b) => (higherIsBetter ? b - a : a - b));
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  const worst = sorted[sorted.length - 1] ?? 0;
  return `${formatNumber(median)} (${formatNumber(worst)})`;
}

const formatNumber = (value: number): string => (Number.isInteger(value) ? String(value) : value.toFixed(2));

for (const [name, scenario] of SCENARIOS) {
  const runs = [false, true].map((on) =>
    Array.from({ length: seeds }, (_, seed) => runScenario(scenario, on, seed + 1)),
  );
  console.log(`\n${name}: ${seeds} seeds, median (worst)`);
  console.log(`  ${''.padEnd(34)}${'off'.padEnd(18)}on`);
  for (const metric of METRICS) {
    const [off, on] = runs.map((results) => formatCell(results.map(metric.measure), metric.higherIsBetter));
    console.log(`  ${metric.name.padEnd(34)}${(off ?? '').padEnd(18)}${on ?? ''}`);
  }
}
