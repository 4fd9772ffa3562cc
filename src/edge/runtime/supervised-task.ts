/** @file Long-lived tasks that end with their owner and begin anew after an error. */
import { type Logger, warnRateLimited } from './logger.js';
import { Observable, Subscription, retry, timer } from 'rxjs';

/** The message of whatever was thrown. */
export const errorMessage = (e: unknown): string => (e instanceof Error ? e.message : String(e));

/** Whether the signal was given; a function, since the answer changes while one waits. */
export const isAborted = (signal: AbortSignal): boolean => signal.aborted;

/** Waits, or ends early (and quietly) when the signal is given. Callers look at the signal afterwards. */
export function sleep(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    const done = (): void => {
      clearTimeout(t);
      signal.removeEventListener('abort', done);
      resolve();
    };
    const t = setTimeout(done, ms);
    signal.addEventListener('abort', done);
  });
}

/**
 * A long-lived task as a subscription: unsubscribing aborts it, an error is logged and the task begins anew. It lives
 * as long as its owner holds the subscription.
 */
export function supervise(
  name: string,
  logger: Logger,
  body: (signal: AbortSignal) => Promise<void>,
): Subscription {
  return new Observable<never>((subscriber) => {
    const stop = new AbortController();
    body(stop.signal).then(
      () => subscriber.complete(),
      (e: unknown) => subscriber.error(e),
    );
    return () => stop.abort();
  })
    .pipe(
      retry({
        delay: (e) => {
          warnRateLimited(logger, { error: errorMessage(e) }, `task "${name}" failed and begins anew`);
          return timer(250);
        },
      }),
    )
    .subscribe();
}
