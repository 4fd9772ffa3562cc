/** Wakes a loop that has nothing to do; a wake that comes early is not lost. */
export class WakeSignal {
  private pending = false;
  private waiting: (() => void) | null = null;

  wake(): void {
    this.pending = true;
    this.waiting?.();
  }

  async wait(ms: number, signal: AbortSignal): Promise<void> {
    if (!this.pending && !signal.aborted) {
      await new Promise<void>((resolve) => {
        const done = (): void => {
          clearTimeout(t);
          signal.removeEventListener('abort', done);
          this.waiting = null;
          resolve();
        };
        const t = setTimeout(done, ms);
        signal.addEventListener('abort', done);
        this.waiting = done;
      });
    }
    this.pending = false;
  }
}
