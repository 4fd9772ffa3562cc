import { readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Subscription, interval } from 'rxjs';
import type { Logger } from './logger.js';

/**
 * The settings say how much memory a controller may hold; going over ends it. One start command serves every
 * deployment, so no heap limit stands there: the heap's growth is bounded here, by what is asked for. Above `COLLECT`
 * of the limit garbage is collected at once instead of when the engine thinks fit; if what is left is still above
 * `SHED`, users are refused until it falls.
 */
const COLLECT = 0.8;
const SHED = 0.9;
const LOOK_MS = 500;
/** A collection stops everything for some tens of milliseconds: it is made again only if much has come since. */
const GROWN = 0.03;
/** How far the heap may grow between two collections, in percent of what lived through the last. */
const GROWING_PERCENT = 35;
/** The program, its heap and its buffers hold about half of this before the first request; a takeover needs the rest. */
export const MIN_MEMORY_MB = 96;

/**
 * What a process holds for itself, of what is resident: pages of files, the engine's own code above all, are shared and
 * given back by the kernel when it is short. Counting them had a controller with two fifths of its memory left refuse
 * its users for the rest of the day. `statm`: size, resident, shared, … in pages.
 */
export function privateShare(statm: string): number {
  const [, resident = NaN, shared = NaN] = statm.split(' ').map(Number);
  const own = (resident - shared) / resident;
  return own > 0 && own <= 1 ? own : 1;
}

function heldBytes(): number {
  const resident = process.memoryUsage.rss();
  try {
    return resident * privateShare(readFileSync('/proc/self/statm', 'latin1'));
  } catch {
    return resident;
  }
}

/** What is to be done at a look, by the shares of the limit that are held now and were held after the last collection. */
export function memoryAction(held: number, afterLast: number): 'collect' | 'shed' | 'rest' {
  if (held >= COLLECT && held >= afterLast + GROWN) return 'collect';
  return held >= SHED ? 'shed' : 'rest';
}

/** Keeps the process below its memory limit. */
export class MemoryMonitor {
  private afterLast = 0;
  private shedding = false;
  private collect: (() => void) | null = null;

  constructor(
    private readonly limitMb: number | null,
    private readonly logger: Logger,
  ) {}

  /** So little is left that users are better refused than the process ended. */
  get underPressure(): boolean {
    return this.shedding;
  }

  start(): Subscription {
    if (this.limitMb === null) return new Subscription();
    setFlagsFromString(`--heap-growing-percent=${GROWING_PERCENT}`);
    setFlagsFromString('--expose-gc');
    this.collect = runInNewContext('gc') as () => void;
    // Until the first full collection the engine lets the heap grow to a size of its own choosing.
    this.collect();
    return interval(LOOK_MS).subscribe(() => this.look());
  }

  private held(): number {
    return heldBytes() / 1024 / 1024 / (this.limitMb ?? Infinity);
  }

  private look(): void {
    const held = this.held();
    this.afterLast = Math.min(this.afterLast, held);
    let step = memoryAction(held, this.afterLast);
    if (step === 'collect') {
      this.collect?.();
      this.afterLast = this.held();
      step = memoryAction(this.afterLast, this.afterLast);
      this.logger.debug({ share: this.afterLast }, 'memory collected');
    }
    const shed = step === 'shed';
    if (shed !== this.shedding) {
      this.logger.warn(
        { share: this.held() },
        shed ? 'short of memory: users are refused' : 'memory is enough again',
      );
    }
    this.shedding = shed;
  }
}
