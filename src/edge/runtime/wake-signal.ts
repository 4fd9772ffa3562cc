/** @file Lets a background loop wait until it is woken because there is work. */

/** Wakes one waiting loop. If no loop is waiting, the next wait ends at once. */
export class WakeSignal {
  private pending = false;
  private endWait: (() => void) | null = null;

  wake(): void {
    this.pending = true;
    this.endWait?.();
  }

  /** Waits to be woken, but for at most `ms` milliseconds and only until the signal is aborted. */
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
