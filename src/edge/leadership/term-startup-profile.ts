import type { Event } from '../../core/events.js';
import type { Logger } from '../runtime/logger.js';

/** What the beginning of a term is spent on, step by step. */
export type TermStep =
  'loading' | 'reports' | 'passes' | 'direct calls' | 'commits' | 'machine list' | 'ticks';

const STEPS: Record<Event['kind'], TermStep> = {
  'job-changed': 'loading',
  'job-finished': 'loading',
  'page-loaded': 'loading',
  'load-completed': 'loading',
  'images-observed': 'loading',
  heartbeat: 'reports',
  'commands-answered': 'direct calls',
  'transaction-committed': 'commits',
  'leadership-confirmed': 'ticks',
  'token-advanced': 'ticks',
  tick: 'ticks',
  'machine-types': 'machine list',
  'instance-inventory': 'machine list',
  'scale-out-started': 'machine list',
  'scale-out-answered': 'machine list',
  'scale-in-answered': 'machine list',
};

/** The first part of a term, in which all that a takeover brings is done. */
const PROFILED = 20_000_000_000n;

/** The step to which an event belongs. */
export const stepOf = (event: Event): TermStep => STEPS[event.kind];

/** Adds up what each step of a term's first seconds took, and tells it once in the log. */
export class TermStartupProfile {
  private readonly spent = new Map<TermStep, bigint>();
  private told = false;

  constructor(
    private readonly began: bigint,
    private readonly logger: Logger,
  ) {}

  /** Still adding up: afterwards nothing need be measured. */
  get active(): boolean {
    return !this.told;
  }

  add(step: TermStep, span: bigint): void {
    this.spent.set(step, (this.spent.get(step) ?? 0n) + span);
  }

  /** Tells the sums once the time is over. */
  tellWhenOver(now: bigint): void {
    if (this.told || now - this.began < PROFILED) return;
    this.told = true;
    const steps = [...this.spent].sort(([, a], [, b]) => (a < b ? 1 : -1));
    const ms = Object.fromEntries(steps.map(([step, span]) => [step, Math.round(Number(span) / 1e6)]));
    this.logger.info({ ms }, 'what the first 20 s of the term took, by step');
    this.spent.clear();
  }
}
