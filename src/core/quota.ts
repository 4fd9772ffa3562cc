import type { Spec, Team } from './model.js';

/** What a team's tasks may hold anywhere, by its recorded intents. */
export interface Usage {
  cpus: number;
  gpus: number;
}

/** What each team's tasks hold, against the team's limit. */
export class Quota {
  private readonly usage = new Map<string, Usage>();
  private readonly teams: ReadonlyMap<string, Team>;

  constructor(teams: readonly Team[]) {
    this.teams = new Map(teams.map((team) => [team.name, team]));
  }

  of(team: string): Usage {
    let usage = this.usage.get(team);
    if (usage === undefined) {
      usage = { cpus: 0, gpus: 0 };
      this.usage.set(team, usage);
    }
    return usage;
  }

  take(spec: Spec): void {
    const usage = this.of(spec.team);
    usage.cpus += spec.cpus;
    usage.gpus += spec.gpus;
  }

  release(spec: Spec): void {
    const usage = this.of(spec.team);
    usage.cpus -= spec.cpus;
    usage.gpus -= spec.gpus;
  }

  /** Whether `count` more tasks stay within the team's limit. 0 means no limit. */
  allows(spec: Spec, count = 1): boolean {
    const team = this.teams.get(spec.team);
    if (team === undefined) return false;
    const usage = this.of(spec.team);
    const over = (used: number, each: number, max: number): boolean =>
      max > 0 && used + each * count > max + 1e-6;
    return !over(usage.cpus, spec.cpus, team.cpusMax) && !over(usage.gpus, spec.gpus, team.gpusMax);
  }
}

/** Whether a job as submitted could ever be inside its team's limit. */
export function everWithinLimit(spec: Spec, teams: readonly Team[]): boolean {
  const team = teams.find((team) => team.name === spec.team);
  if (team === undefined) return false;
  const n = spec.kind === 'array' ? 1 : spec.tasks;
  return (
    (team.cpusMax <= 0 || spec.cpus * n <= team.cpusMax + 1e-6) &&
    (team.gpusMax <= 0 || spec.gpus * n <= team.gpusMax + 1e-6)
  );
}
