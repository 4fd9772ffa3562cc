import type { Subscription } from 'rxjs';
import { FinishedJobSummary, jobKey, parseKey, decodeJob } from '../../wire/records.js';
import { monotonicNow } from '../runtime/clock.js';
import { errorMessage } from '../runtime/supervised-task.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';
import type { DecodedPageCache } from './decoded-page-cache.js';
import type { ReplicaEntry, StateStore } from './state-store.js';

/** An image that a machine is likely to have cached. */
export interface ImageSighting {
  readonly machineName: string;
  readonly image: string;
  readonly sizeGb: number;
}

/** A place that has stood so long on a machine has its image, at the slowest fetch that is likely. */
const fetchedAfterMs = (gb: number, gbPerS: number): number => 2000 + (1500 * gb) / gbPerS;
/** Nothing is said of a machine on which no place was recorded for so long. */
const FORGET_MS = 20 * 60_000;

/** When an image was first and last seen recorded on a machine. */
interface Sighting {
  readonly gb: number;
  readonly first: bigint;
  last: bigint;
}

/** The images of one machine. */
interface MachineImages {
  readonly images: Map<string, Sighting>;
  lastSeen: bigint;
}

/**
 * Which machines have had which images, as the followed pages show it. Reports tell an owner only the images of what
 * runs now; a new owner would otherwise send work away from machines whose caches hold what it needs. It only steers
 * the choice of a place: what is wrong here costs a fetch.
 */
export class ImageCacheObserver {
  /** The machine seen longest ago comes first. */
  private readonly byMachine = new Map<string, MachineImages>();

  constructor(
    private readonly stateStore: StateStore,
    private readonly logger: Logger,
    private readonly pages: DecodedPageCache,
    /** A leader hears of images from the workers themselves. */
    private readonly leading: () => boolean,
    private readonly clock: () => bigint = monotonicNow,
  ) {}

  /** How many machines something is known of. */
  get machineCount(): number {
    return this.byMachine.size;
  }

  start(): Subscription {
    return this.stateStore.changes.subscribe((change) => {
      if (change.entry === null || this.leading() || parseKey(change.key).kind !== 'page') return;
      try {
        this.take(change.entry);
      } catch (e) {
        warnRateLimited(this.logger, { key: change.key, error: errorMessage(e) }, 'a page cannot be read');
      }
    });
  }

  /** What is likely cached now, given how fast machines fetch. */
  likelyCached(gbPerS: number): ImageSighting[] {
    const out: ImageSighting[] = [];
    const now = this.clock();
    for (const [machine, { images }] of this.byMachine)
      for (const [image, { gb, first, last }] of images)
        if (millisBetween(first, last) >= fetchedAfterMs(gb, gbPerS) && millisBetween(last, now) < FORGET_MS)
          out.push({ machineName: machine, image, sizeGb: gb });
    return out;
  }

  private take(page: ReplicaEntry): void {
    const now = this.clock();
    for (const entry of this.pages.of(page)) {
      if (entry.record.assignments.length === 0) continue;
      const job = this.stateStore.replica.get(jobKey(entry.jobId));
      if (job === undefined || job.value instanceof FinishedJobSummary) continue;
      const { image, imageGb } = decodeJob(job.value).spec;
      for (const assignment of entry.record.assignments)
        this.see(assignment.machineName, image, imageGb, now);
    }
    this.forgetOld(now);
  }

  private see(machine: string, image: string, gb: number, now: bigint): void {
    const known = this.byMachine.get(machine) ?? { images: new Map<string, Sighting>(), lastSeen: now };
    known.lastSeen = now;
    // Put at the end anew, so that the order stays that of the last sighting.
    this.byMachine.delete(machine);
    this.byMachine.set(machine, known);
    const sighting = known.images.get(image);
    if (sighting !== undefined) {
      sighting.last = now;
      return;
    }
    for (const [other, { last }] of known.images)
      if (millisBetween(last, now) >= FORGET_MS) known.images.delete(other);
    known.images.set(image, { gb, first: now, last: now });
  }

  /** What is kept is bounded by time, not by a number: a fleet may be of any size. */
  private forgetOld(now: bigint): void {
    for (const [machine, { lastSeen }] of this.byMachine) {
      if (millisBetween(lastSeen, now) < FORGET_MS) return;
      this.byMachine.delete(machine);
    }
  }
}

const millisBetween = (from: bigint, to: bigint): number => Number(to - from) / 1e6;
