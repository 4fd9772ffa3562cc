/** @file Scenarios of zone loss and return in the simulation. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { seconds } from '../../../src/core/model/time.js';
import { ZoneSimulation } from './zone-simulation.js';

/** The services of every scenario; the rest of the work is arrays that fill all machines. */
export const SERVICES: ReadonlySet<string> = new Set(['req-1', 'req-2', 'req-3', 'req-4']);
export const REPLICAS = 4;
const MACHINES_PER_ZONE = 8;
const WARM_UP_S = 60;

/** What happens to a zone. */
export interface Scenario {
  /** So many times the zone is cut, and heard again after so long. */
  readonly partitions: number;
  readonly partitionS: number;
  readonly pauseS: number;
  /** So many of its machines come back. */
  readonly machinesBack: number;
  /** Seconds after each return at which another leader takes over; null: none does. */
  readonly failoverAfterS: number | null;
  /** How long the end is looked at. */
  readonly observedS: number;
}

/** One cut of a lease and more, and a whole return. */
export const ONE_PARTITION: Scenario = {
  partitions: 1,
  partitionS: 40,
  pauseS: 0,
  machinesBack: Infinity,
  failoverAfterS: null,
  observedS: 150,
};

/** What is measured beside the machines' record. */
export interface ScenarioResult {
  readonly simulation: ZoneSimulation;
  /** The lowest share of replicas that ran in any second after the first minute. */
  readonly lowestShare: number;
  /** When the first cut began and the last one ended. */
  readonly partitionedAt: number;
  readonly healedAt: number;
}

function randomSource(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, 999_999) / 1_000_000;
}

/** Plays a scenario on full machines, with or without zone recovery. */
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
