/**
 * @file Determines from the assignments in the replica which images are probably cached on which machines. The result
 * is only a hint for the choice of a machine: an error in it costs one image fetch.
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
/**
 * Returns how long an assignment must have existed, in milliseconds, for its machine to have the image even after the
 * slowest likely fetch.
 */
const expectedFetchMs = (sizeGb: number, fetchGbPerS: number): number =>
  FETCH_STARTUP_MS + (1000 * FETCH_SAFETY_FACTOR * sizeGb) / fetchGbPerS;

/** An image or machine is no longer reported if no changed page has shown it in an assignment for this long. */
const RETENTION_MS = 20 * 60_000;

/** When an image was first and last seen assigned to a machine, in nanoseconds of the monotonic clock. */
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
 * Watches the pages of the replica while another controller is the leader. Heartbeats report to a leader only the
 * images of the tasks that are running; without this observer, a new leader would place tasks away from the machines
 * whose caches hold the images that they need.
 */
export class ImageCacheObserver {
  /** By machine name, in the order of the last sighting, oldest first. */
  private readonly byMachine = new Map<string, MachineImages>();

  constructor(
    private readonly stateStore: ReplicaEntries,
    private readonly logger: Logger,
    private readonly pageCache: DecodedPageCache,
    /** True while this controller is the leader: it receives the images with the heartbeats and observes nothing. */
    private readonly isLeader: () => boolean,
    private readonly clock: () => bigint = monotonicNow,
  ) {}

  /** Number of machines with at least one observed image. */
  get machineCount(): number {
    return this.byMachine.size;
  }

  /** Watches the replica until unsubscribed. */
  start(): Subscription {
    return this.stateStore.changes.subscribe((change) => this.onChange(change));
  }

  /** Returns the images that are probably cached now, given the machines' fetch rate. */
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
    for (const { jobId, record } of this.pageCache.assignedEntriesOf(page)) {
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
    // Reinserted at the end, so that the machines stay ordered by the last sighting.
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

  /**
   * Removes machines last seen too long ago. Entries are limited by age, not by number: a fleet may be of any size.
   */
  private removeExpired(now: bigint): void {
    for (const [machineName, { lastSeenAt }] of this.byMachine) {
      if (millisecondsBetween(lastSeenAt, now) < RETENTION_MS) return;
      this.byMachine.delete(machineName);
    }
  }
}

const millisecondsBetween = (from: bigint, to: bigint): number => Number(to - from) / 1e6;
