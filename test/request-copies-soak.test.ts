/**
 * @file A whole service whose answered requests arrive again, on every link: calls to workers, transactions, submissions,
 * cancellations and status queries. Short and seeded here; `SOAK_S=600 SOAK_SEED=7` runs it for longer by hand.
 */
import assert from 'node:assert/strict';
import { after, test, type TestContext } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { RequestCopies } from './simulation/request-copies.js';
import { jobBody, waitUntil } from './standins/cluster.js';
import { call } from './standins/http.js';
import { startTestService, stopTestServices, type TestService } from './standins/service.js';

const DURATION_S = Number(process.env['SOAK_S'] ?? 25);
const SEED = Number(process.env['SOAK_SEED'] ?? 1);

/** Copies follow their request this much sooner than in the simulation. */
const DELAY_FACTOR = 0.1;

/** A cancelled task is gone after this time, in seconds. */
const CANCEL_S = 5;

/** GPUs that the team may use; each task takes one. */
const TEAM_GPUS = 4;

const SUBMISSION_INTERVAL_MS = 300;
const SHORT_TASK_MS = 200;

const WORKERS = { lease_s: 1.5, cancel_s: CANCEL_S };

/** The kinds of jobs, in turn. The tasks of the first end by themselves; jobs of all others are cancelled. */
const SHORT_JOB = { shape: 'batch', tickets: 2 };
const JOB_KINDS = [
  SHORT_JOB,
  { shape: 'ensemble', tickets: 2, expectedS: 600 },
  { shape: 'batch', tickets: 1, expectedS: 600 },
  { shape: 'service', tickets: 1, expectedS: 0 },
];

const jobIdOf = (task: string): string => task.split('/')[0] ?? '';

/** Returns what the job's submission says besides the defaults. */
const kindOf = (id: string): Record<string, unknown> =>
  JOB_KINDS[Number(id.slice('req-'.length)) % JOB_KINDS.length] ?? SHORT_JOB;

after(stopTestServices);

/** The load and the copies of one run. */
class CopiesSoak {
  readonly copies: RequestCopies;
  readonly violations: string[] = [];
  submittedCount = 0;
  private readonly cancelledAt = new Map<string, bigint>();
  private readonly generator = xoroshiro128plus(SEED);
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly service: TestService) {
    this.copies = new RequestCopies(SEED, (delayS, run) => this.later(delayS * DELAY_FACTOR, run));
    const { cluster, stateStore, history } = service;
    for (const worker of cluster.workers)
      worker.onAnsweredCall = (answered) =>
        this.copies.deliverUntilRefused(() => worker.receiveCopy(answered));
    stateStore.onCommitted = (body) =>
      this.copies.deliverOnce(() => {
        if (stateStore.commit(body).status === 200)
          this.violations.push(`committed twice: ${JSON.stringify(body)}`);
      });
    history.onStart = (task) => this.checkStart(task);
  }

  /** Submits a job and, if its tasks do not end by themselves, cancels it later. */
  async runJob(): Promise<void> {
    const id = `req-${++this.submittedCount}`;
    const body = jobBody(id, kindOf(id));
    const submitted = await this.callUntilAnswered('/work', body);
    assert.ok(submitted === 'pending' || submitted === 'running' || submitted === 'done');
    this.copies.deliverOnce(() => void this.callUntilAnswered('/work', body));
    if (kindOf(id) === SHORT_JOB) return;
    await delay(500 + this.randomBelow(2000));
    await this.callUntilAnswered(`/work/${id}/withdraw`, {});
    this.cancelledAt.set(id, process.hrtime.bigint());
    this.copies.deliverOnce(() => void this.checkCancelled(id));
  }

  /** Gives a machine a preemption notice for a while, so that its tasks move. */
  async moveTasks(): Promise<void> {
    const { workers } = this.service.cluster;
    const worker = workers[this.randomBelow(workers.length)];
    if (worker === undefined) return;
    worker.preemptionNoticeS = 3;
    await delay(1500);
    worker.preemptionNoticeS = null;
  }

  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
  }

  private async checkCancelled(id: string): Promise<void> {
    const repeated = await this.callUntilAnswered(`/work/${id}/withdraw`, {});
    if (repeated !== 'cancelled') this.violations.push(`${id} went back to ${String(repeated)}`);
  }

  private checkStart(task: string): void {
    const cancelledAt = this.cancelledAt.get(jobIdOf(task));
    const limitNs = BigInt(CANCEL_S) * 1_000_000_000n;
    if (cancelledAt !== undefined && process.hrtime.bigint() - cancelledAt > limitNs)
      this.violations.push(`${task} started after its cancellation`);
    if (this.service.history.running.size > TEAM_GPUS) this.violations.push(`${task} exceeds the quota`);
  }

  /** Sends a user's request to a controller until it is answered. Returns the job's status. */
  private async callUntilAnswered(path: string, body: unknown): Promise<unknown> {
    for (;;) {
      const api = this.service.apis[this.randomBelow(this.service.apis.length)] ?? '';
      const answer = await call(api, 'POST', path, body).catch(() => null);
      if (answer !== null && answer.status < 300) return answer.body['standing'];
      await delay(200);
    }
  }

  private later(delayS: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, delayS * 1000);
    this.timers.add(timer);
  }

  private randomBelow(n: number): number {
    return uniformInt(this.generator, 0, n - 1);
  }
}

/** Submits jobs and moves tasks for the duration of the run. */
async function runLoad(soak: CopiesSoak): Promise<void> {
  const until = process.hrtime.bigint() + BigInt(DURATION_S) * 1_000_000_000n;
  for (let n = 0; process.hrtime.bigint() < until; n++) {
    void soak.runJob();
    if (n % 10 === 9) void soak.moveTasks();
    await delay(SUBMISSION_INTERVAL_MS);
  }
}

const title = `copies of answered requests on every link change nothing, ${DURATION_S} s, seed ${SEED}`;

test(title, { timeout: (DURATION_S + 30) * 1000 }, async (context: TestContext) => {
  const service = await startTestService({
    controllers: 2,
    taskDurationMs: (task) => (kindOf(jobIdOf(task)) === SHORT_JOB ? SHORT_TASK_MS : null),
    workers: WORKERS,
  });
  const soak = new CopiesSoak(service);
  await runLoad(soak);
  const violations = (): string[] => [...service.history.conflicts, ...soak.violations];
  assert.deepEqual(violations(), []);
  await waitUntil('some copies were refused', () => soak.copies.refusedCount > 10, 20_000);
  soak.stop();
  context.diagnostic(
    `${soak.submittedCount} jobs, ${service.history.startCount} starts, ` +
      `${soak.copies.acceptedCount} copies accepted, ${soak.copies.refusedCount} refused`,
  );
  assert.deepEqual(violations(), []);
});
