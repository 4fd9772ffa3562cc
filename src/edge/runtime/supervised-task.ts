/** @file Background tasks that are stopped by unsubscribing and restarted after an error, and helpers for them. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Subscription } from 'rxjs';
import { Observable, retry, timer } from 'rxjs';
import { type Logger, warnRateLimited } from './logger.js';

const RESTART_DELAY_MS = 250;

/** Returns the message of any thrown value. */
export const errorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/**
 * Returns whether the signal is aborted. This is a function because the type checker assumes that the property never
 * changes.
 */
export const isAborted = (signal: AbortSignal): boolean => signal.aborted;

/**
 * Waits for `ms` milliseconds. Resolves early when the signal is aborted, so callers must check the signal afterwards.
 */
export async function sleep(ms: number, signal: AbortSignal): Promise<void> {
  try {
    await delay(ms, undefined, { signal });
  } catch (error) {
    if (!isAborted(signal)) throw error;
  }
}

/**
 * Runs a background task until unsubscribed from, which aborts the task's signal. An error is logged with the task's
 * name, and the task is restarted after a delay.
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
