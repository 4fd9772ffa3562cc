/** @file The wait of a background loop that is woken when there is something to do. */

/** Wakes one waiting loop; a wake that comes while nothing waits ends the next wait at once. */
export class WakeSignal {
  private pending = false;
  private endWait: (() => void) | null = null;

  wake(): void {
    this.pending = true;
    this.endWait?.();
  }

  /** Waits for a wake, but no longer than `ms` and not once the signal is aborted. */
  async wait(ms: number, signal: AbortSignal): Promise<void> {
    if (!this.pending && !signal.aborted) await this.waitForWake(ms, signal);
    this.pending = false;
  }

  private waitForWake(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timeout);
        signal.removeEventListener('abort', end);
        this.endWait = null;
        resolve();
      };
      const timeout = setTimeout(end, ms);
      signal.addEventListener('abort', end);
      this.endWait = end;
    });
  }
}
