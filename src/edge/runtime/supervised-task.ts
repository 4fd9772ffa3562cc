/** @file Background tasks that end with a subscription and are restarted after an error, and what they wait with. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Subscription } from 'rxjs';
import { Observable, retry, timer } from 'rxjs';
import { type Logger, warnRateLimited } from './logger.js';

const RESTART_DELAY_MS = 250;

/** The message of whatever was thrown. */
export const errorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** Whether the signal is aborted; a function, since the type checker takes the property for one that cannot change. */
export const isAborted = (signal: AbortSignal): boolean => signal.aborted;

/** Waits; resolves early when the signal is aborted, so callers check the signal afterwards. */
export async function sleep(ms: number, signal: AbortSignal): Promise<void> {
  try {
    await delay(ms, undefined, { signal });
  } catch (error) {
    if (!isAborted(signal)) throw error;
  }
}

/**
 * Runs a background task until unsubscribed from, which aborts its signal. An error is logged under the task's name and
 * the task restarted after a delay.
 */
export function supervise(
  name: string,
  logger: Logger,
  run: (signal: AbortSignal) => Promise<void>,
): Subscription {
  return new Observable<never>((subscriber) => {
    const abort = new AbortController();
    run(abort.signal).then(
      () => subscriber.complete(),
      (error: unknown) => subscriber.error(error),
    );
    return () => abort.abort();
  })
    .pipe(
      retry({
        delay: (error) => {
          const fields = { task: name, error: errorMessage(error) };
          warnRateLimited(logger, fields, 'background task failed', `background task failed: ${name}`);
          return timer(RESTART_DELAY_MS);
        },
      }),
    )
    .subscribe();
}
