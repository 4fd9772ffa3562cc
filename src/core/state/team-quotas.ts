import type { JobSpec } from '../model/job.js';
import type { Team } from '../model/cluster-config.js';

/** What a team's tasks may hold anywhere, by its recorded intents. */
export interface ResourceUsage {
  cpus: number;
  gpus: number;
}

/** What each team's tasks hold, against the team's limit. */
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

  /** Whether `count` more tasks stay within the team's limit. 0 means no limit. */
  allows(spec: JobSpec, count = 1): boolean {
    const team = this.teams.get(spec.team);
    if (team === undefined) return false;
    const usage = this.usageOf(spec.team);
    const over = (used: number, each: number, max: number): boolean =>
      max > 0 && used + each * count > max + 1e-6;
    return !over(usage.cpus, spec.cpus, team.cpuQuota) && !over(usage.gpus, spec.gpus, team.gpuQuota);
  }
}

/** Whether a job as submitted could ever be inside its team's limit. */
export function fitsQuota(spec: JobSpec, teams: readonly Team[]): boolean {
  const team = teams.find((team) => team.name === spec.team);
  if (team === undefined) return false;
  const n = spec.kind === 'array' ? 1 : spec.taskCount;
  return (
    (team.cpuQuota <= 0 || spec.cpus * n <= team.cpuQuota + 1e-6) &&
    (team.gpuQuota <= 0 || spec.gpus * n <= team.gpuQuota + 1e-6)
  );
}
