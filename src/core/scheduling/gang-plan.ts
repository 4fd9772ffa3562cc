/**
 * @file Chooses a machine for every task of a gang. It reserves on copies of the candidates, so that no capacity is
 * used unless the whole gang fits. The caller assigns the tasks.
 */
import type { Job, JobSpec } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { RESOURCE_EPSILON, type Resources, fits } from '../model/resources.js';
import { toSeconds } from '../model/time.js';
import { type Candidate, copyCandidate, reserveTask } from './candidates.js';
import type { SchedulingCycle } from './cycle-context.js';
import { candidatesIn, isMachineAllowed, isSpreadAllowed, zonesToPlan } from './placement-constraints.js';
import {
  type ScoredCandidate,
  type TieBreaker,
  imageFetchDelay,
  pickBest,
  scoreCandidate,
  updateScore,
} from './scoring.js';
import { tieBreakScore } from './tie-breaking.js';

/**
 * Upper bound on the time between the ends of a gang's first and last image fetch, as a share of the time that its
 * tasks wait for one another.
 */
const MAX_FETCH_SPREAD_SHARE = 0.6;

/** A machine for each task, in the order of the tasks, and the seconds until the last image is fetched. */
interface GangPlan {
  readonly machines: readonly Machine[];
  readonly lastFetchSeconds: number;
}

/**
 * Returns the machines for all tasks of the gang, or null if they do not fit. If the tasks must share a zone, each zone
 * is planned separately. The zone where the last image is fetched soonest is chosen, because the gang starts only then.
 */
export function planGang(
  cycle: SchedulingCycle,
  job: Job,
  candidates: readonly Candidate[],
): readonly Machine[] | null {
  const allowed = candidates.filter(
    ({ machine }) => isMachineAllowed(job.spec, machine) && !job.failuresByMachine.has(machine.name),
  );
  let best: GangPlan | null = null;
  for (const zone of zonesToPlan(job.spec, allowed)) {
    const plan = planWithAlignedFetches(cycle, job, candidatesIn(zone, allowed));
    if (plan !== null && (best === null || plan.lastFetchSeconds < best.lastFetchSeconds)) best = plan;
  }
  return best?.machines ?? null;
}

/**
 * Returns a plan in which the image fetches end at about the same time. Otherwise a task with a cached image would stop
 * waiting before the others have fetched theirs, and the whole attempt would fail. If there is no such plan, returns a
 * plan regardless of the fetches, because the fetched images help the next attempt. Returns null if the gang does not
 * fit.
 */
function planWithAlignedFetches(
  cycle: SchedulingCycle,
  job: Job,
  candidates: readonly Candidate[],
): GangPlan | null {
  const { settings, config } = cycle.state;
  const fetchSeconds = new Map(
    candidates.map((candidate) => [candidate.machine, imageFetchDelay(job.spec, candidate, settings)]),
  );
  const fetchSecondsOn = (machine: Machine): number => fetchSeconds.get(machine) ?? 0;
  const withLastFetch = (machines: readonly Machine[]): GangPlan => ({
    machines,
    lastFetchSeconds: Math.max(...machines.map(fetchSecondsOn)),
  });

  const machines = planTasks(cycle, job, candidates);
  if (machines === null) return null;
  const plan = withLastFetch(machines);
  const maxSpreadSeconds = toSeconds(config.gangStartTimeout) * MAX_FETCH_SPREAD_SHARE;
  const isAligned = (machine: Machine): boolean =>
    plan.lastFetchSeconds - fetchSecondsOn(machine) <= maxSpreadSeconds;
  if (machines.every(isAligned)) return plan;
  const aligned = planTasks(
    cycle,
    job,
    candidates.filter(({ machine }) => isAligned(machine)),
  );
  return aligned === null ? plan : withLastFetch(aligned);
}

/** Chooses machines one task at a time at the lowest cost. Returns null if not all tasks fit. */
function planTasks(
  { state }: SchedulingCycle,
  job: Job,
  candidates: readonly Candidate[],
): readonly Machine[] | null {
  const { spec } = job;
  if (taskCapacity(spec, candidates) < spec.taskCount) return null;
  const tieBreaker: TieBreaker = (candidate) => tieBreakScore(state, job, candidate);
  let scored = candidates.map((candidate) =>
    scoreCandidate(spec, copyCandidate(candidate), state.settings, tieBreaker),
  );
  const tasksByZone = new Map<string, number>();
  const machines: Machine[] = [];
  while (machines.length < spec.taskCount) {
    const chosen = pickBest(withinSpread(spec, scored, tasksByZone), state.settings);
    if (chosen === null) return null;
    const { candidate } = chosen;
    const { zone } = candidate.machine;
    reserveTask(candidate, spec);
    if (fits(spec, candidate.free) && fits(spec, candidate.projected))
      updateScore(chosen, spec, state.settings, tieBreaker);
    else scored = scored.filter((other) => other !== chosen);
    tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
    machines.push(candidate.machine);
  }
  return machines;
}

const withinSpread = (
  spec: JobSpec,
  scored: readonly ScoredCandidate[],
  tasksByZone: ReadonlyMap<string, number>,
): readonly ScoredCandidate[] =>
  spec.spreadAcrossZones
    ? scored.filter(({ candidate: { machine } }) => isSpreadAllowed(spec, tasksByZone.get(machine.zone) ?? 0))
    : scored;

/** Returns an upper bound on the tasks that fit the free capacity. Stops counting once the whole gang fits. */
function taskCapacity(spec: JobSpec, candidates: readonly Candidate[]): number {
  let count = 0;
  for (const { free } of candidates) {
    count += Math.floor(tasksThatFit(spec, free) + RESOURCE_EPSILON);
    if (count >= spec.taskCount) return count;
  }
  return count;
}

const tasksThatFit = (spec: JobSpec, free: Readonly<Resources>): number =>
  Math.min(
    spec.cpus > 0 ? free.cpus / spec.cpus : spec.taskCount,
    spec.gpus > 0 ? free.gpus / spec.gpus : spec.taskCount,
    spec.memory > 0 ? free.memory / spec.memory : spec.taskCount,
  );
