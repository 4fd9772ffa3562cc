/**
 * @file Delivers copies of requests that were answered: any number of them, at any later time, until the receiver refuses
 * them. It has a generator of its own, so that runs without copies keep their sequences.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Longest time between two copies of a request, in tenths of a second: six worker leases. */
const MAX_DELAY_TENTHS = 600;

/** One in this many copies follows its request within a second. */
const SOON_SHARE = 3;

/** One in this many starts is refused by its worker. */
const REFUSAL_SHARE = 12;

/** One in this many heartbeats is delivered again. */
const HEARTBEAT_SHARE = 6;

/** Separates the generator's sequence from that of the simulation with the same seed. */
const SEED_OFFSET = 100_003;

/** The copies of one run. */
export class RequestCopies {
  /** Number of copies of answered calls to workers that their worker accepted. */
  acceptedCount = 0;
  /** Number of copies of answered calls to workers that their worker refused. */
  refusedCount = 0;
  private readonly generator;

  constructor(
    seed: number,
    /** Runs an action after a delay in seconds. */
    private readonly schedule: (delayS: number, run: () => void) => void,
  ) {
    this.generator = xoroshiro128plus(seed + SEED_OFFSET);
  }

  /** Delivers copies of a call, one after the other, until one is refused. */
  deliverUntilRefused(deliver: () => boolean): void {
    this.schedule(this.delayS(), () => {
      if (!deliver()) {
        this.refusedCount += 1;
        return;
      }
      this.acceptedCount += 1;
      this.deliverUntilRefused(deliver);
    });
  }

  /** Delivers one copy. */
  deliverOnce(deliver: () => void): void {
    this.schedule(this.delayS(), deliver);
  }

  /** Delivers any number of copies of some of the messages; none of them is refused. */
  deliverSometimes(deliver: () => void): void {
    if (this.randomBelow(HEARTBEAT_SHARE) !== 0) return;
    this.schedule(this.delayS(), () => {
      deliver();
      this.deliverSometimes(deliver);
    });
  }

  /** Whether a worker refuses the next start. */
  refusesStart(): boolean {
    return this.randomBelow(REFUSAL_SHARE) === 0;
  }

  private delayS(): number {
    const isSoon = this.randomBelow(SOON_SHARE) === 0;
    return (1 + this.randomBelow(isSoon ? 10 : MAX_DELAY_TENTHS)) / 10;
  }

  private randomBelow(n: number): number {
    return uniformInt(this.generator, 0, n - 1);
  }
}
