/** @file Room kept together, and machines emptied, for gangs that have waited long. */
import { pendingSeconds } from '../jobs/deadline-slack.js';
import type { ClusterState } from '../state/cluster-state.js';
import { NO_GANG_CAPACITY } from '../model/pending-reasons.js';
import type { Job } from '../model/job.js';
import type { Machine } from '../model/machine.js';
import { type Candidate, isMachineAllowed } from './scoring.js';
import { type SchedulingSnapshot, type PreemptionPlan, reserve, zoneOptions } from './preemption.js';
import { type Timestamp, toSeconds } from '../model/time.js';
import { zoneAdmits } from './zone-availability.js';

/**
 * Seconds after which free room is kept together for a gang, after which machines are emptied for it, and after which
 * it gets what is free ahead of all but production: work inside guarantees would take every machine that it waits for.
 */
const HOLD_AFTER_S = 10;

const EMPTY_AFTER_S = 75;

const FIRST_AFTER_S = 120;

/** Chooses the gang that machines are emptied for: of those that lack room, the one that has waited longest. */
export function chooseStarvedGang(state: ClusterState, now: Timestamp): void {
  let longest: Job | null = null;
  for (const id of state.jobs.pending) {
    const job = state.jobs.byId.get(id);
    if (job === undefined || job.spec.kind !== 'gang' || job.pendingReason !== NO_GANG_CAPACITY) continue;
    if (longest === null || pendingSeconds(job, now) > pendingSeconds(longest, now)) longest = job;
  }
  const waited = longest === null ? 0 : pendingSeconds(longest, now);
  if (longest === null || waited < EMPTY_AFTER_S) {
    state.scheduling.starvedGang = null;
    return;
  }
  const id = longest.spec.id;
  const machines =
    state.scheduling.starvedGang?.job === id ? state.scheduling.starvedGang.machines : new Set<string>();
  state.scheduling.starvedGang = { job: id, machines, prioritized: waited >= FIRST_AFTER_S };
}

/**
 * A gang that has waited and may stop nothing: what is free for it in its best zone is kept together, or small work
 * would go on taking every piece. Where that alone does not come to enough, since small tasks keep its machines from
 * ever becoming free, those that will be empty soonest take nothing new. Only the first gang of a pass, and the one that
 * has waited longest, hold room, so that little stands idle.
 */
export function reserveForGang(
  state: ClusterState,
  job: Job,
  snapshot: SchedulingSnapshot,
  free: ReadonlyMap<string | null, readonly PreemptionPlan[]>,
  want: number,
  now: Timestamp,
): void {
  const starved = state.scheduling.starvedGang?.job === job.spec.id ? state.scheduling.starvedGang : null;
  if (
    starved === null &&
    (state.scheduling.gangHoldingCapacity !== null || pendingSeconds(job, now) < HOLD_AFTER_S)
  )
    return;
  state.scheduling.gangHoldingCapacity ??= job.spec.id;
  const open = snapshot.candidates.filter(
    (candidate) =>
      isMachineAllowed(job.spec, candidate.machine) &&
      zoneAdmits(state, job, candidate.machine, now) &&
      !job.failuresByMachine.has(candidate.machine.name),
  );
  let best: Plan | null = null;
  for (const zone of zoneOptions(job, open)) {
    const plan = planEmpty(state, job, open, zone, free.get(zone) ?? [], want, now);
    if (
      best === null ||
      plan.missing < best.missing ||
      (plan.missing === best.missing && plan.last < best.last)
    )
      best = plan;
  }
  if (best === null) return;
  for (const offer of best.free) reserve(state, job, offer, 1);
  if (starved === null) return;
  for (const at of best.empty) reserve(state, job, { candidate: at, victims: [], cost: 0 }, 1);
  starved.machines = new Set(best.empty.map((candidate) => candidate.machine.name));
}

/** Where a waiting gang's tasks could go in one zone: what is free, and machines to be emptied, once for each task. */
interface Plan {
  readonly free: readonly PreemptionPlan[];
  readonly empty: readonly Candidate[];
  /** Tasks for which not even that is enough, and the seconds until the last machine should be empty. */
  readonly missing: number;
  readonly last: number;
}

function planEmpty(
  state: ClusterState,
  job: Job,
  open: readonly Candidate[],
  zone: string | null,
  free: readonly PreemptionPlan[],
  want: number,
  now: Timestamp,
): Plan {
  const rows: { c: Candidate; left: number; each: number }[] = [];
  const kept =
    state.scheduling.starvedGang?.job === job.spec.id ? state.scheduling.starvedGang.machines : null;
  const taken = new Set(free.map((offer) => offer.candidate));
  for (const candidate of open) {
    if ((zone !== null && candidate.machine.zone !== zone) || taken.has(candidate)) continue;
    const left = emptyIn(state, candidate.machine, now);
    const each = timesIn(job, candidate);
    // Those chosen before stay chosen, or each pass would begin anew with others.
    if (left !== null && each > 0)
      rows.push({ c: candidate, left: kept?.has(candidate.machine.name) === true ? 0 : left, each });
  }
  rows.sort((a, b) => a.left - b.left || (a.c.machine.name < b.c.machine.name ? -1 : 1));
  const empty: Candidate[] = [];
  let last = 0;
  for (const row of rows)
    for (let n = 0; n < row.each && free.length + empty.length < want; n++) {
      empty.push(row.c);
      last = Math.max(last, row.left);
    }
  return { free, empty, missing: want - free.length - empty.length, last };
}

/** How many of the job's tasks the machine holds when it is empty. */
function timesIn(job: Job, { type }: Candidate): number {
  const { cpus, gpus, memory } = job.spec;
  const times = (whole: number, part: number): number =>
    part > 0 ? Math.floor(whole / part + 1e-6) : Infinity;
  return Math.min(
    times(type.cpus, cpus),
    times(type.gpus, gpus),
    times(type.memory, memory),
    job.spec.taskCount,
  );
}

/** Seconds until a machine should be empty; null: replicas stay for good. */
function emptyIn(state: ClusterState, machine: Machine, now: Timestamp): number | null {
  let left = 0;
  for (const assignment of machine.assignments.values()) {
    const job = state.jobs.byId.get(assignment.jobId);
    if (job === undefined) continue;
    if (job.spec.kind === 'service') return null;
    const ran = assignment.runningSince === null ? 0 : toSeconds(now.monotonic - assignment.runningSince);
    left = Math.max(
      left,
      assignment.stopRequest === null ? Math.max(toSeconds(job.spec.estimatedDuration) - ran, 1) : 0,
    );
  }
  return left;
}
