/**
 * @file Which machines are likely to have which images cached, as the assignments in the replica show. Only a hint for
 * the choice of a machine: what is wrong here costs a fetch.
 */
import type { Subscription } from 'rxjs';
import { FinishedJobSummary } from '../../wire/finished-job-summary.js';
import { decodeJob } from '../../wire/job-record.js';
import { jobKey, parseKey } from '../../wire/keys.js';
import { monotonicNow } from '../runtime/clock.js';
import { warnRateLimited, type Logger } from '../runtime/logger.js';
import { errorMessage } from '../runtime/supervised-task.js';
import type { DecodedPageCache } from './decoded-page-cache.js';
import type { KeyChange, ReplicaEntries, ReplicaEntry } from './replica-view.js';

/** An image that a machine is likely to have cached. */
export interface ImageSighting {
  readonly machineName: string;
  readonly image: string;
  readonly sizeGb: number;
}

const FETCH_STARTUP_MS = 2000;
const FETCH_SAFETY_FACTOR = 1.5;
/** After an assignment has stood this long its machine has the image, at the slowest fetch that is likely. */
const expectedFetchMs = (sizeGb: number, fetchGbPerS: number): number =>
  FETCH_STARTUP_MS + (1000 * FETCH_SAFETY_FACTOR * sizeGb) / fetchGbPerS;

/** A machine to which nothing was assigned for so long is forgotten. */
const RETENTION_MS = 20 * 60_000;

/** When an image was first and last seen assigned to a machine, in nanoseconds of the steady clock. */
interface ImageRecord {
  readonly sizeGb: number;
  readonly firstSeenAt: bigint;
  lastSeenAt: bigint;
}

/** The images of one machine. */
interface MachineImages {
  readonly images: Map<string, ImageRecord>;
  lastSeenAt: bigint;
}

/**
 * Watches the pages of the replica while another controller leads. Heartbeats tell a leader only the images of what
 * runs now; without this a new leader would send work away from machines whose caches hold what it needs.
 */
export class ImageCacheObserver {
  /** Ordered by the last sighting, oldest first. */
  private readonly byMachine = new Map<string, MachineImages>();

  constructor(
    private readonly stateStore: ReplicaEntries,
    private readonly logger: Logger,
    private readonly pages: DecodedPageCache,
    /** A leader learns of images from the heartbeats. */
    private readonly isLeader: () => boolean,
    private readonly clock: () => bigint = monotonicNow,
  ) {}

  /** How many machines an image is known of. */
  get machineCount(): number {
    return this.byMachine.size;
  }

  /** Watches until unsubscribed. */
  start(): Subscription {
    return this.stateStore.changes.subscribe((change) => this.onChange(change));
  }

  /** The images that are likely cached now, given how fast machines fetch. */
  likelyCached(fetchGbPerS: number): ImageSighting[] {
    const sightings: ImageSighting[] = [];
    const now = this.clock();
    for (const [machineName, { images }] of this.byMachine)
      for (const [image, { sizeGb, firstSeenAt, lastSeenAt }] of images) {
        const fetched = millisecondsBetween(firstSeenAt, lastSeenAt) >= expectedFetchMs(sizeGb, fetchGbPerS);
        const recent = millisecondsBetween(lastSeenAt, now) < RETENTION_MS;
        if (fetched && recent) sightings.push({ machineName, image, sizeGb });
      }
    return sightings;
  }

  private onChange({ key, entry }: KeyChange): void {
    if (entry === null || this.isLeader() || parseKey(key).kind !== 'page') return;
    try {
      this.observe(entry);
    } catch (e) {
      warnRateLimited(this.logger, { key, error: errorMessage(e) }, 'malformed page in the state store');
    }
  }

  private observe(page: ReplicaEntry): void {
    const now = this.clock();
    for (const { jobId, record } of this.pages.entriesOf(page)) {
      if (record.assignments.length === 0) continue;
      const job = this.stateStore.replica.get(jobKey(jobId));
      if (job === undefined || job.value instanceof FinishedJobSummary) continue;
      const { image, imageGb } = decodeJob(job.value).spec;
      for (const { machineName } of record.assignments) this.record(machineName, image, imageGb, now);
    }
    this.removeExpired(now);
  }

  private record(machineName: string, image: string, sizeGb: number, now: bigint): void {
    const machine = this.byMachine.get(machineName) ?? {
      images: new Map<string, ImageRecord>(),
      lastSeenAt: now,
    };
    machine.lastSeenAt = now;
    // Inserted anew at the end, so that the order stays that of the last sighting.
    this.byMachine.delete(machineName);
    this.byMachine.set(machineName, machine);
    const existing = machine.images.get(image);
    if (existing !== undefined) {
      existing.lastSeenAt = now;
      return;
    }
    for (const [otherImage, { lastSeenAt }] of machine.images)
      if (millisecondsBetween(lastSeenAt, now) >= RETENTION_MS) machine.images.delete(otherImage);
    machine.images.set(image, { sizeGb, firstSeenAt: now, lastSeenAt: now });
  }

  /** What is kept is bounded by time, not by a number: a fleet may be of any size. */
  private removeExpired(now: bigint): void {
    for (const [machineName, { lastSeenAt }] of this.byMachine) {
      if (millisecondsBetween(lastSeenAt, now) < RETENTION_MS) return;
      this.byMachine.delete(machineName);
    }
  }
}

const millisecondsBetween = (from: bigint, to: bigint): number => Number(to - from) / 1e6;
