/**
 * @file Measures how the first seconds of a term are spent, because after a failover all heartbeats, records and
 * requests come at once. It owns the sums per step; it does not read the clock itself.
 */
import type { Event } from '../../core/model/events.js';
import type { Logger } from '../runtime/logger.js';

/** A kind of work at the start of a term. */
export type TermStep =
  'loading' | 'heartbeats' | 'schedulingCycles' | 'commandAnswers' | 'commits' | 'cloud' | 'ticks';

const STEP_OF_EVENT: Record<Event['kind'], TermStep> = {
  'job-changed': 'loading',
  'job-finished': 'loading',
  'page-loaded': 'loading',
  'load-completed': 'loading',
  'images-observed': 'loading',
  heartbeat: 'heartbeats',
  'commands-answered': 'commandAnswers',
  'transaction-committed': 'commits',
  'leadership-confirmed': 'ticks',
  'token-advanced': 'ticks',
  tick: 'ticks',
  'machine-types': 'cloud',
  'instance-inventory': 'cloud',
  'scale-out-started': 'cloud',
  'scale-out-answered': 'cloud',
  'scale-in-answered': 'cloud',
};

/** The profiled span from the start of a term, in nanoseconds: at its end, the work of a failover is done. */
const PROFILED_SPAN_NS = 20_000_000_000n;

/** The step to which an event belongs. */
export const stepOf = (event: Event): TermStep => STEP_OF_EVENT[event.kind];

/** Adds up the time spent in each step during a term's first seconds, and logs the sums once. */
export class TermStartupProfile {
  private readonly spans = new Map<TermStep, bigint>();
  private logged = false;

  constructor(
    private readonly startedAt: bigint,
    private readonly logger: Logger,
  ) {}

  /** True until the sums are logged; afterwards nothing needs to be measured. */
  get active(): boolean {
    return !this.logged;
  }

  /** Adds a time span in nanoseconds to a step. */
  add(step: TermStep, span: bigint): void {
    this.spans.set(step, (this.spans.get(step) ?? 0n) + span);
  }

  /** Logs the sums once the profiled span has elapsed. */
  logOnceElapsed(now: bigint): void {
    if (this.logged || now - this.startedAt < PROFILED_SPAN_NS) return;
    this.logged = true;
    const longestFirst = [...this.spans].sort(([, a], [, b]) => (a < b ? 1 : -1));
    const stepMs = Object.fromEntries(
      longestFirst.map(([step, span]) => [step, Math.round(Number(span) / 1e6)]),
    );
    this.logger.info({ stepMs }, 'term startup profile');
    this.spans.clear();
  }
}
