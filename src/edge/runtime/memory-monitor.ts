/**
 * @file Keeps the process below the memory limit of its settings; exceeding it ends the process. One start command
 * serves every deployment, so it sets no heap limit: the heap's growth is bounded here, by the settings. Above
 * `COLLECT_SHARE` of the limit garbage is collected at once instead of when the engine decides to; if what is left is
 * still above `SHED_SHARE`, users' requests are refused until it falls.
 */
import { readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Subscription, interval } from 'rxjs';
import type { Logger } from './logger.js';

const COLLECT_SHARE = 0.8;
const SHED_SHARE = 0.9;
const CHECK_INTERVAL_MS = 500;
/** A collection stops everything for some tens of milliseconds: it is repeated only after this growth. */
const MIN_GROWTH_SHARE = 0.03;
/** How far the heap may grow between two collections, in percent of what survived the last. */
const HEAP_GROWING_PERCENT = 35;
const BYTES_PER_MB = 1024 * 1024;
/** The program, its heap and its buffers take about half of this before the first request; a failover needs the rest. */
export const MIN_MEMORY_MB = 96;

/**
 * The part of the resident memory that is the process's own. File pages, the engine's code above all, are shared and
 * reclaimed by the kernel when memory is short. Counting them had a controller with two fifths of its memory left
 * refuse its users for the rest of the day. `statm`: size, resident, shared, … in pages.
 */
export function privateShare(statm: string): number {
  const [, resident = NaN, shared = NaN] = statm.split(' ').map(Number);
  const share = (resident - shared) / resident;
  return share > 0 && share <= 1 ? share : 1;
}

function privateBytes(): number {
  const resident = process.memoryUsage.rss();
  try {
    return resident * privateShare(readFileSync('/proc/self/statm', 'latin1'));
  } catch {
    return resident;
  }
}

/** What a check leads to, by the shares of the limit that are used now and were used after the last collection. */
export function memoryAction(used: number, usedAfterCollection: number): 'collect' | 'shed' | 'none' {
  if (used >= COLLECT_SHARE && used >= usedAfterCollection + MIN_GROWTH_SHARE) return 'collect';
  return used >= SHED_SHARE ? 'shed' : 'none';
}

/** Collects garbage in time, and says when requests are to be refused. */
export class MemoryMonitor {
  private usedAfterCollection = 0;
  private shedding = false;
  private collectGarbage: (() => void) | null = null;

  constructor(
    private readonly limitMb: number | null,
    private readonly logger: Logger,
  ) {}

  /** So little memory is left that requests are better refused than the process ended. */
  get underPressure(): boolean {
    return this.shedding;
  }

  start(): Subscription {
    if (this.limitMb === null) return new Subscription();
    setFlagsFromString(`--heap-growing-percent=${HEAP_GROWING_PERCENT}`);
    setFlagsFromString('--expose-gc');
    this.collectGarbage = runInNewContext('gc') as () => void;
    // Until the first full collection the engine lets the heap grow to a size of its own choosing.
    this.collectGarbage();
    return interval(CHECK_INTERVAL_MS).subscribe(() => this.check());
  }

  private usedShare(): number {
    return privateBytes() / BYTES_PER_MB / (this.limitMb ?? Infinity);
  }

  private check(): void {
    const used = this.usedShare();
    this.usedAfterCollection = Math.min(this.usedAfterCollection, used);
    let action = memoryAction(used, this.usedAfterCollection);
    if (action === 'collect') {
      this.collectGarbage?.();
      this.usedAfterCollection = this.usedShare();
      action = memoryAction(this.usedAfterCollection, this.usedAfterCollection);
      this.logger.debug({ usedShare: this.usedAfterCollection }, 'garbage collected');
    }
    this.setShedding(action === 'shed');
  }

  private setShedding(shedding: boolean): void {
    if (shedding !== this.shedding)
      this.logger.warn(
        { usedShare: this.usedShare() },
        shedding ? 'memory pressure, refusing requests' : 'memory pressure over',
      );
    this.shedding = shedding;
  }
}
