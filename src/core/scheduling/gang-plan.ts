/**
 * @file Chooses a machine for every task of a gang. It reserves on copies of the candidates: nothing is taken unless the
 * whole gang fits, and assigning is left to its caller.
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

/** Share of the time that a gang's tasks wait for one another by which their image fetches may end apart. */
const MAX_FETCH_SPREAD_SHARE = 0.6;

/** A machine for each task, in the order of the tasks, and the seconds until the last image is there. */
interface GangPlan {
  readonly machines: readonly Machine[];
  readonly lastFetchSeconds: number;
}

/**
 * The machines for all of the gang's tasks, or null. Where they must share a zone, each zone is tried by itself; the
 * gang starts when its last image is there, so that the zone where that is soonest is taken.
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
 * A plan whose images come at about the same time: a task with a cached image would give up before the others have
 * fetched theirs, and the whole attempt with it. If there is none, any plan: what is fetched helps the next attempt.
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

/** Chooses machines task by task at the least cost; null if not all tasks fit. */
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

/** How many of the tasks the free capacity could hold at most, counted only as far as the gang needs. */
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
