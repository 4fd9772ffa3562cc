import * as z from 'zod';

/** Shapes of what comes in, in the words of the interfaces. Unknown fields are dropped. */
/** More than any amount or duration can be: beyond it a span in nanoseconds would not be a number any more. */
export const MOST_AMOUNT = 1e9;
const amount = z.number().nonnegative().max(MOST_AMOUNT);
const count = z.union([z.number().int().nonnegative(), z.bigint().nonnegative().transform(Number)]);
const orNull = <T extends z.ZodType>(t: T) => t.nullish().transform((v) => v ?? null);

/** The form of job ids. */
export const JOB_ID = /^req-[0-9]{1,18}$/;

/** A submission. */
export const submission = z.object({
  ref: z.string().regex(JOB_ID),
  docket: z.string().min(1).max(200),
  desk: z.string().min(1).max(200),
  shape: z.enum(['batch', 'ensemble', 'service']),
  precedence: z.enum(['prod', 'high', 'normal', 'idle']),
  tickets: z.number().int().min(1).max(100_000),
  vcpus: amount,
  gpus: amount,
  memGb: amount,
  bundle: z.string().min(1).max(200),
  pullGb: amount,
  builds: orNull(z.array(z.string().min(1).max(200)).min(1).max(64)),
  hall: orNull(z.string().min(1).max(200)),
  oneZone: z.boolean(),
  spread: z.boolean(),
  loaners: z.boolean(),
  expectedS: amount,
  snapshotEveryS: amount,
  snapshotS: amount,
  dueS: orNull(amount),
  awaits: orNull(z.array(z.string().regex(JOB_ID))),
});

const ticketName = z.string().regex(/^.{1,200}\/[0-9]{1,9}$/);

/** A worker's report. */
export const hello = z.object({
  rig: z.string().min(1),
  endpoint: z.string().min(1),
  build: z.string(),
  hall: z.string(),
  loaners: z.boolean(),
  shift: count,
  tick: count,
  baton: count,
  recallS: orNull(amount),
  tickets: z.array(
    z.object({
      ticket: ticketName,
      try: count,
      standing: z.enum(['pulling', 'gathering', 'running', 'saving', 'exited']),
      cause: orNull(z.string()),
      saved: orNull(z.boolean()),
    }),
  ),
});

/** The cloud's machine types. */
export const flavors = z.object({
  builds: z.array(
    z.object({
      label: z.string(),
      vcpus: amount,
      gpus: amount,
      memGb: amount,
      localGb: amount,
      fetchGbPerS: amount,
      rate: amount,
      spotPrice: amount,
      bootS: amount,
      halls: z.array(z.string()),
    }),
  ),
});

/** A part of the cloud's list. */
export const machineList = z.object({
  rigs: z.array(
    z.object({
      ref: z.string(),
      endpoint: z.string(),
      build: z.string(),
      hall: z.string(),
      loaners: z.boolean(),
      standing: z.enum(['booting', 'running', 'failed']),
      ageS: amount,
    }),
  ),
  hasNext: z.boolean(),
});

/** The answer to a rental. */
export const rented = z.object({ rigs: z.array(z.string()) });
/** The answer to a transaction that was carried out. */
export const revision = z.object({ ledgerRev: count });
/** The answer to a lease request. */
export const permit = z.object({ permit: count });
/** The answer to a transaction whose guards failed. */
export const conflict = z.object({ failed: z.array(z.string()), ledgerRev: count });
/** The answer to reading one key. */
export const stored = z.object({ value: z.unknown(), stamp: count });
/** A key with its value. */
export const item = z.object({ key: z.string(), value: z.unknown(), stamp: count });
/** A part of a range of keys. */
export const page = z.object({ items: z.array(item), hasNext: z.boolean(), ledgerRev: count });
/** Changes since a revision. */
export const news = z.object({
  ledgerRev: count,
  news: z.array(
    z.object({
      write: z.string().optional(),
      delete: z.string().optional(),
      value: z.unknown().optional(),
      stamp: count,
    }),
  ),
});
