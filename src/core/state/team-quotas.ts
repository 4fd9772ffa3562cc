/** @file Resource usage of each team's tasks, compared with the team's quota. */
import type { JobSpec } from '../model/job.js';
import type { Team } from '../model/cluster-config.js';

/** Tolerance of comparisons, because fractions of CPUs and GPUs add up with rounding errors. */
const EPSILON = 1e-6;

/** Whether usage is within a quota; 0 means no quota. */
const isWithinQuota = (usage: number, quota: number): boolean => quota <= 0 || usage <= quota + EPSILON;

/** Resources that a team's tasks may use on all machines, according to their assignments. */
export interface ResourceUsage {
  cpus: number;
  gpus: number;
}

/** CPU and GPU usage of all teams. Each assignment acquires its resources once and releases them once when it ends. */
export class TeamQuotas {
  private readonly usage = new Map<string, ResourceUsage>();
  private readonly teams: ReadonlyMap<string, Team>;

  constructor(teams: readonly Team[]) {
    this.teams = new Map(teams.map((team) => [team.name, team]));
  }

  usageOf(team: string): ResourceUsage {
    let usage = this.usage.get(team);
    if (usage === undefined) {
      usage = { cpus: 0, gpus: 0 };
      this.usage.set(team, usage);
    }
    return usage;
  }

  acquire(spec: JobSpec): void {
    const usage = this.usageOf(spec.team);
    usage.cpus += spec.cpus;
    usage.gpus += spec.gpus;
  }

  release(spec: JobSpec): void {
    const usage = this.usageOf(spec.team);
    usage.cpus -= spec.cpus;
    usage.gpus -= spec.gpus;
  }

  /** Whether `count` more tasks of the job fit the team's quota. A team that is not configured may run no tasks. */
  allows(spec: JobSpec, count = 1): boolean {
    const team = this.teams.get(spec.team);
    if (team === undefined) return false;
    const usage = this.usageOf(spec.team);
    return (
      isWithinQuota(usage.cpus + spec.cpus * count, team.cpuQuota) &&
      isWithinQuota(usage.gpus + spec.gpus * count, team.gpuQuota)
    );
  }
}

/** Whether a submitted job could ever run within its team's quota. Tasks of an array may run one at a time. */
export function fitsQuota(spec: JobSpec, teams: readonly Team[]): boolean {
  const team = teams.find((team) => team.name === spec.team);
  if (team === undefined) return false;
  const minTaskCount = spec.kind === 'array' ? 1 : spec.taskCount;
  return (
    isWithinQuota(spec.cpus * minTaskCount, team.cpuQuota) &&
    isWithinQuota(spec.gpus * minTaskCount, team.gpuQuota)
  );
}
