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

function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, 999_999) / 1_000_000;
}

/** Plays a scenario on full machines, with or without zone recovery. */
export function runScenario(scenario: Scenario, withRecovery: boolean, seed: number): ScenarioResult {
  const world = new ZoneSimulation(MACHINES_PER_ZONE, withRecovery, randomOf(seed));
  const service = { kind: 'service', priority: 'production', spreadAcrossZones: true, imageGb: 4 } as const;
  for (const id of SERVICES) world.submit(id, { ...service, taskCount: REPLICAS, image: `img-${id}` });
  let jobs = 100;
  const flood = (count: number): void => {
    for (let n = 0; n < count; n++) {
      jobs += 1;
      const image = `img-${jobs % 5}`;
      world.submit(`req-${jobs}`, {
        taskCount: 8,
        priority: 'low',
        image,
        imageGb: 3,
        estimatedDuration: seconds(20),
      });
    }
  };
  flood(6);
  const steadily = (): void => {
    if (world.secondsElapsed % 10 === 0) flood(2);
  };
  world.run(WARM_UP_S, steadily);
  const wanted = SERVICES.size * REPLICAS;
  let lowest = wanted;
  const watch = (): void => {
    steadily();
    const running = [...SERVICES].reduce((sum, id) => sum + world.runningTasks(id), 0);
    lowest = Math.min(lowest, running);
  };
  const cutAt = world.secondsElapsed;
  let healedAt = world.secondsElapsed;
  for (let n = 0; n < scenario.partitions; n++) {
    world.partition('east');
    world.run(scenario.partitionS, watch);
    world.healPartition('east', scenario.machinesBack);
    healedAt = world.secondsElapsed;
    if (scenario.failoverAfterS !== null) {
      world.run(scenario.failoverAfterS, watch);
      world.startTerm();
    }
    world.run(scenario.pauseS, watch);
  }
  world.run(scenario.observedS, watch);
  return { simulation: world, lowestShare: lowest / wanted, partitionedAt: cutAt, healedAt };
}
