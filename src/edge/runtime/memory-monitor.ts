/**
 * @file Keeps the process below the memory limit of its settings, because exceeding the limit ends the process. All
 * deployments use the same start command, so it sets no heap limit, and the growth of the heap is bounded here,
 * according to the settings. Above `COLLECT_SHARE` of the limit, garbage is collected at once instead of when V8
 * decides to. If usage is then still above `SHED_SHARE`, user requests are refused until it falls.
 */
import { readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Subscription, interval } from 'rxjs';
import type { Logger } from './logger.js';

const COLLECT_SHARE = 0.8;
const SHED_SHARE = 0.9;
const CHECK_INTERVAL_MS = 500;
/**
 * A collection stops the process for some tens of milliseconds, so it is repeated only after usage has grown by this
 * share of the limit.
 */
const MIN_GROWTH_SHARE = 0.03;
/** How far the heap may grow between two collections, in percent of the memory that survived the last one. */
const HEAP_GROWING_PERCENT = 35;
const BYTES_PER_MB = 1024 * 1024;
/**
 * The program, its heap and its buffers take about half of this before the first request. A failover needs the
 * remainder.
 */
export const MIN_MEMORY_MB = 96;

/**
 * Returns the share of the resident memory that is private to the process. File pages, mainly the code of Node.js, are
 * shared, and the kernel reclaims them when memory is short. When they were counted, a controller with two fifths of
 * its memory left refused its users for the rest of the day. `statm` is the content of `/proc/self/statm`: size,
 * resident, shared, … in pages. Returns 1 if it cannot be parsed.
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

/**
 * Returns the action of a check, given the shares of the limit that are in use now and were in use after the last
 * collection.
 */
export function memoryAction(used: number, usedAfterCollection: number): 'collect' | 'shed' | 'none' {
  if (used >= COLLECT_SHARE && used >= usedAfterCollection + MIN_GROWTH_SHARE) return 'collect';
  return used >= SHED_SHARE ? 'shed' : 'none';
}

/** Collects garbage before the memory limit is reached, and reports when requests must be refused. */
export class MemoryMonitor {
  private usedAfterCollection = 0;
  private shedding = false;
  private collectGarbage: (() => void) | null = null;

  constructor(
    private readonly limitMb: number | null,
    private readonly logger: Logger,
  ) {}

  /** True if so little memory is left that requests must be refused, so that the process is not ended. */
  get underPressure(): boolean {
    return this.shedding;
  }

  start(): Subscription {
    if (this.limitMb === null) return new Subscription();
    setFlagsFromString(`--heap-growing-percent=${HEAP_GROWING_PERCENT}`);
    setFlagsFromString('--expose-gc');
    this.collectGarbage = runInNewContext('gc') as () => void;
    // Until the first full collection, V8 lets the heap grow to a size of its own choice.
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
