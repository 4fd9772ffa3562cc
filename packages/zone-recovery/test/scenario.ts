/** @file Scenarios of zone loss and return in the simulation. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { seconds } from '../../../src/core/model/time.js';
import { ZoneSimulation } from './zone-simulation.js';

/** The services of every scenario. All other jobs are arrays, which fill all machines. */
export const SERVICES: ReadonlySet<string> = new Set(['req-1', 'req-2', 'req-3', 'req-4']);
export const REPLICAS = 4;
const MACHINES_PER_ZONE = 8;
const WARM_UP_S = 60;

/** The partitions of a zone and what happens after them. */
export interface Scenario {
  /** Number of partitions. */
  readonly partitions: number;
  /** Duration of each partition in seconds. */
  readonly partitionS: number;
  /** Seconds after each partition, and after its failover if there is one, before the scenario continues. */
  readonly pauseS: number;
  /** Number of machines of the zone that are reachable again after a partition. */
  readonly machinesBack: number;
  /** Seconds from the end of each partition to a failover, or null for no failover. */
  readonly failoverAfterS: number | null;
  /** Seconds of observation after the last partition. */
  readonly observedS: number;
}

/** One partition of more than a worker lease, and the return of all machines. */
export const ONE_PARTITION: Scenario = {
  partitions: 1,
  partitionS: 40,
  pauseS: 0,
  machinesBack: Infinity,
  failoverAfterS: null,
  observedS: 150,
};

/** The simulation after a scenario, and what was measured besides its history. */
export interface ScenarioResult {
  readonly simulation: ZoneSimulation;
  /** Lowest share of the service replicas that ran in any second after the first minute. */
  readonly lowestShare: number;
  /** Start of the first partition in seconds. */
  readonly partitionedAt: number;
  /** End of the last partition in seconds. */
  readonly healedAt: number;
}

function randomSource(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, 999_999) / 1_000_000;
}

/** Runs a scenario on fully loaded machines, with or without zone recovery. */
export function runScenario(scenario: Scenario, withRecovery: boolean, seed: number): ScenarioResult {
  const simulation = new ZoneSimulation(MACHINES_PER_ZONE, withRecovery, randomSource(seed));
  const service = { kind: 'service', priority: 'production', spreadAcrossZones: true, imageGb: 4 } as const;
  for (const id of SERVICES) simulation.submit(id, { ...service, taskCount: REPLICAS, image: `img-${id}` });
  let jobNumber = 100;
  const submitJobs = (count: number): void => {
    for (let n = 0; n < count; n++) {
      jobNumber += 1;
      const image = `img-${jobNumber % 5}`;
      simulation.submit(`req-${jobNumber}`, {
        taskCount: 8,
        priority: 'low',
        image,
        imageGb: 3,
        estimatedDuration: seconds(20),
      });
    }
  };
  submitJobs(6);
  const submitPeriodically = (): void => {
    if (simulation.secondsElapsed % 10 === 0) submitJobs(2);
  };
  simulation.run(WARM_UP_S, submitPeriodically);
  const wantedReplicas = SERVICES.size * REPLICAS;
  let lowestRunning = wantedReplicas;
  const onSecond = (): void => {
    submitPeriodically();
    const running = [...SERVICES].reduce((sum, id) => sum + simulation.runningTasks(id), 0);
    lowestRunning = Math.min(lowestRunning, running);
  };
  const partitionedAt = simulation.secondsElapsed;
  let healedAt = simulation.secondsElapsed;
  for (let n = 0; n < scenario.partitions; n++) {
    simulation.partition('east');
    simulation.run(scenario.partitionS, onSecond);
    simulation.healPartition('east', scenario.machinesBack);
    healedAt = simulation.secondsElapsed;
    if (scenario.failoverAfterS !== null) {
      simulation.run(scenario.failoverAfterS, onSecond);
      simulation.startTerm();
    }
    simulation.run(scenario.pauseS, onSecond);
  }
  simulation.run(scenario.observedS, onSecond);
  return { simulation, lowestShare: lowestRunning / wantedReplicas, partitionedAt, healedAt };
}
