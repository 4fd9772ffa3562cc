import type { Subscription } from 'rxjs';
import { EndedJob, jobKey, parseKey, readJob } from '../wire/records.js';
import { millisSince, steady } from './clock.js';
import { messageOf } from './supervised-task.js';
import { warnSparsely, type Log } from './log.js';
import type { DecodedPages } from './decoded-pages.js';
import type { Entry, Store } from './store.js';

/** An image that a machine is likely to have cached. */
export interface ImageSeen {
  readonly machine: string;
  readonly image: string;
  readonly gb: number;
}

/** A place that has stood so long on a machine has its image, at the slowest fetch that is likely. */
const fetchedAfterMs = (gb: number, gbPerS: number): number => 2000 + (1500 * gb) / gbPerS;
const FORGET_MS = 20 * 60_000;
const MOST_MACHINES = 4000;

/**
 * Which machines have had which images, as the followed pages show it. Reports tell an owner only the images of what
 * runs now; a new owner would otherwise send work away from machines whose caches hold what it needs. It only steers
 * the choice of a place: what is wrong here costs a fetch.
 */
export class ImagesSeen {
  private readonly byMachine = new Map<string, Map<string, { gb: number; first: bigint; last: bigint }>>();

  constructor(
    private readonly store: Store,
    private readonly log: Log,
    private readonly pages: DecodedPages,
    /** A leader hears of images from the workers themselves. */
    private readonly leading: () => boolean,
  ) {}

  start(): Subscription {
    return this.store.changes.subscribe((change) => {
      if (change.entry === null || this.leading() || parseKey(change.key).kind !== 'page') return;
      try {
        this.take(change.entry);
      } catch (e) {
        warnSparsely(this.log, { key: change.key, error: messageOf(e) }, 'a page cannot be read');
      }
    });
  }

  /** What is likely cached now, given how fast machines fetch. */
  likely(gbPerS: number): ImageSeen[] {
    const out: ImageSeen[] = [];
    for (const [machine, images] of this.byMachine)
      for (const [image, s] of images)
        if (Number(s.last - s.first) / 1e6 >= fetchedAfterMs(s.gb, gbPerS) && millisSince(s.last) < FORGET_MS)
          out.push({ machine, image, gb: s.gb });
    return out;
  }

  private take(page: Entry): void {
    const now = steady();
    for (const entry of this.pages.of(page)) {
      if (entry.record.intents.length === 0) continue;
      const job = this.store.copy.get(jobKey(entry.job));
      if (job === undefined || job.value instanceof EndedJob) continue;
      const { image, imageGb } = readJob(job.value).spec;
      for (const i of entry.record.intents) {
        let images = this.byMachine.get(i.machine);
        if (images === undefined) {
          // Names come in the order of creation: the first are the oldest and most likely gone.
          if (this.byMachine.size >= MOST_MACHINES)
            this.byMachine.delete(this.byMachine.keys().next().value ?? '');
          images = new Map();
          this.byMachine.set(i.machine, images);
        }
        const seen = images.get(image);
        if (seen === undefined) images.set(image, { gb: imageGb, first: now, last: now });
        else seen.last = now;
      }
    }
  }
}
