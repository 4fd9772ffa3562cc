/** Without a current copy for this long a controller no longer asks for users, whatever the others say. */
const HEALTH_MS = 15_000;
/** If another controller has one, it is ours alone that is missing, and users are better served there. */
const ALONE_MS = 3000;

export interface Condition {
  /** Jobs can be taken and looked up at all. */
  readonly ready: boolean;
  /** How old the copy of the state service is. */
  readonly copyMs: number;
  /** We lead, and are late with what workers ask. */
  readonly behind: boolean;
  /** Another controller was lately answered by the state service: it can serve users. */
  readonly othersServe: boolean;
}

/**
 * Whether users should come here. The leader alone answers workers: while it is behind with that, and whenever the copy
 * is old here alone, users are better served by the others. Where no other serves them, going away would only keep
 * users out for longer.
 */
export function isHealthy(c: Condition): boolean {
  if (!c.ready) return false;
  if (c.othersServe) return !c.behind && c.copyMs < ALONE_MS;
  return c.copyMs < HEALTH_MS;
}
