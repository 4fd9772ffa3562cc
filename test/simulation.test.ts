import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ClusterScheduler } from '../src/core/cluster-scheduler.js';
import type { Event } from '../src/core/events.js';
import type { JobRecord } from '../src/core/model/job.js';
import type { Heartbeat, ReportedTask } from '../src/core/model/heartbeat.js';
import type { Transaction } from '../src/core/persistence/transactions.js';
import type { PageEntry } from '../src/core/records/record-pages.js';
import {
  mayAcknowledgeHeartbeats,
  previousLeadersDeadlineFrom,
} from '../src/core/state/leadership-timing.js';
import { seconds, toSeconds, type Timestamp } from '../src/core/model/time.js';
import type { Effect } from '../src/core/model/effects.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import { DEFAULT_SETTINGS } from '../src/edge/config/operator-settings.js';
import { CLUSTER_CONFIG, MACHINE_TYPE, jobSpec } from './fixtures/cluster-config.js';

interface Worker {
  name: string;
  session: number;
  seq: number;
  token: number;
  /** When the last answered report was sent. */
  renewed: number;
  cut: boolean;
  /** Its reports arrive, answers and commands do not. */
  deaf: boolean;
  /** Its reports reach nobody, commands arrive. */
  mute: boolean;
  /** It stands still until then, and what is sent to it waits. */
  hangs: number;
  held: Map<string, ReportedTask & { ends: number }>;
}

/** A small world round the core: late, lost and doubled messages, sessions that end, takeovers, cancellations. */
class Chaos {
  private readonly source;
  private at = 1000;
  private scheduler: ClusterScheduler;
  /** Whether there was an owner before. */
  private begun = false;
  /** The owner before, cut from the state service and the others, but not from its workers. */
  private former: ClusterScheduler | null = null;
  /** The token of the part's present owner, as the store has it. */
  private part = 0;
  private rev = 1;
  private readonly workers: Worker[] = [];
  private readonly jobs = new Map<string, { record: JobRecord; stamp: number; cancelled: number | null }>();
  private readonly pages = new Map<number, { entries: readonly PageEntry[]; stamp: number }>();
  private readonly mail: { due: number; run: () => void }[] = [];
  private busy = false;
  starts = 0;
  /** Dependencies of tasks that started. */
  dependentStarts = 0;
  done = 0;
  /** Copies of transactions that came after newer ones, and reports answered by an owner that was cut off. */
  copies = 0;
  answeredByFormer = 0;

  constructor(
    seed: number,
    private readonly takeoverEvery: number,
    private readonly late: boolean,
    private readonly dependent: boolean,
  ) {
    this.source = xoroshiro128plus(seed);
    for (let n = 0; n < 5; n++)
      this.workers.push({
        name: `m${n}`,
        session: 1,
        seq: 0,
        token: 0,
        renewed: this.at,
        cut: false,
        deaf: false,
        mute: false,
        hangs: 0,
        held: new Map(),
      });
    this.scheduler = this.newOwner();
  }

  private pick(n: number): number {
    return uniformInt(this.source, 0, n - 1);
  }

  private now(): Timestamp {
    return { monotonic: seconds(this.at), wall: new Date(Date.UTC(2030, 0, 1) + this.at * 1000) };
  }

  /** A new term: a higher token, and everything known comes from what was committed. */
  private newOwner(): ClusterScheduler {
    const began = this.now().monotonic;
    const token = ++this.rev;
    this.part = token;
    const scheduler = new ClusterScheduler(CLUSTER_CONFIG, DEFAULT_SETTINGS, {
      fencingToken: token,
      startedAt: began,
      confirmedAt: began,
      previousLeadersDeadline: previousLeadersDeadlineFrom(CLUSTER_CONFIG, began),
    });
    // Half of the owners that lose the part do not know it yet and go on answering.
    this.former = this.begun && this.pick(2) === 0 ? this.scheduler : null;
    this.begun = true;
    this.scheduler = scheduler;
    this.busy = false;
    this.event({ kind: 'machine-types', types: [MACHINE_TYPE] });
    for (const [id, j] of this.jobs)
      this.event({ kind: 'job-changed', id, record: j.record, modRevision: j.stamp });
    for (const [id, p] of this.pages)
      this.event({ kind: 'page-loaded', id, entries: p.entries, modRevision: p.stamp });
    return scheduler;
  }

  private event(event: Event): void {
    for (const effect of this.scheduler.handle(event, this.now())) this.effect(effect);
    this.commit();
  }

  private later(most: number, run: () => void): void {
    this.mail.push({ due: this.at + this.pick(Math.max(1, Math.round(most * 10))) / 10, run });
  }

  private effect(effect: Effect, scheduler = this.scheduler): void {
    if (effect.kind === 'superseded' && scheduler === this.former) this.former = null;
    if (effect.kind === 'advance-token' && scheduler === this.scheduler) {
      this.later(0.5, () => {
        if (scheduler !== this.scheduler) return;
        this.part = ++this.rev;
        this.event({ kind: 'token-advanced', fencingToken: this.part });
      });
    }
    if (effect.kind !== 'send-commands') return;
    const token = scheduler.state.term.fencingToken;
    const worker = this.workers.find((worker) => worker.name === effect.machineName);
    assert.ok(worker !== undefined);
    const tell = (outcome: 'executed' | 'refused' | 'unknown', heartbeat: Heartbeat | null): void => {
      if (scheduler !== this.scheduler) return;
      this.event({
        kind: 'commands-answered',
        machineName: effect.machineName,
        agentEpoch: effect.agentEpoch,
        fencingToken: token,
        commands: effect.commands,
        outcome,
        heartbeat,
      });
    };
    const arrive = (): boolean => {
      // Also a machine that stood still finds its lease over before it takes anything in.
      this.endLease(worker);
      const ok = token >= worker.token && effect.agentEpoch === worker.session;
      if (ok) this.take(worker, token, effect.commands);
      return ok;
    };
    // What is sent to a machine that stands still is carried out when it goes on.
    const resumes = Math.max(0, worker.hangs - this.at);
    // One in five is given up on and may arrive up to a minute later, or never.
    if (this.pick(5) === 0 || worker.cut || worker.deaf || resumes > 1) {
      this.later(1, () => tell('unknown', null));
      if (resumes > 1) this.mail.push({ due: worker.hangs, run: arrive });
      else if (!worker.deaf && this.pick(3) > 0) this.later(60, () => arrive());
    } else
      this.later(0.3, () => {
        const ok = arrive();
        tell(ok ? 'executed' : 'refused', this.report(worker));
      });
  }

  private endLease(worker: Worker): void {
    if (this.at - worker.renewed <= toSeconds(CLUSTER_CONFIG.workerLease)) return;
    worker.held.clear();
    worker.session += 1;
    worker.seq = 0;
    worker.renewed = this.at;
  }

  private take(worker: Worker, token: number, commands: readonly WorkerCommand[]): void {
    if (token < worker.token) return;
    worker.token = token;
    for (const command of commands) {
      const key = `${command.jobId}/${command.taskIndex}#${command.attempt}`;
      const held = worker.held.get(key);
      if (command.op === 'start' && held === undefined) this.start(worker, command, key);
      if (command.op === 'stop' && held !== undefined && held.state !== 'exited')
        worker.held.set(key, { ...held, state: 'exited', exitReason: 'stopped' });
      if (command.op === 'forget' && held?.state === 'exited') worker.held.delete(key);
    }
  }

  private start(worker: Worker, command: WorkerCommand, key: string): void {
    this.starts += 1;
    for (const id of this.jobs.get(command.jobId)?.record.spec.dependencies ?? []) {
      this.dependentStarts += 1;
      assert.equal(this.jobs.get(id)?.record.status, 'done', `${key} starts too early: ${id} is not done`);
    }
    const recorded = this.entries(command.jobId).flatMap((entry) => entry.record.assignments);
    assert.ok(
      recorded.some(
        (i) =>
          i.taskIndex === command.taskIndex && i.attempt === command.attempt && i.machineName === worker.name,
      ),
      `${key} starts on ${worker.name} without a recorded place`,
    );
    for (const other of this.workers)
      for (const t of other.held.values())
        assert.ok(
          t.state === 'exited' || t.jobId !== command.jobId || t.taskIndex !== command.taskIndex,
          `${command.jobId}/${command.taskIndex} starts on ${worker.name} while on ${other.name}`,
        );
    const task = {
      jobId: command.jobId,
      taskIndex: command.taskIndex,
      attempt: command.attempt,
      state: 'running' as const,
      exitReason: null,
      checkpointed: false,
    };
    worker.held.set(key, { ...task, ends: this.at + 2 + this.pick(15) });
  }

  private entries(job: string): PageEntry[] {
    return [...this.pages.values()].flatMap((p) => p.entries.filter((entry) => entry.jobId === job));
  }

  private report(worker: Worker): Heartbeat {
    worker.seq += 1;
    const tasks = [...worker.held.values()].map(
      ({ jobId: job, taskIndex: task, attempt, state, exitReason: why, checkpointed: saved }) => ({
        jobId: job,
        taskIndex: task,
        attempt,
        state,
        exitReason: why,
        checkpointed: saved,
      }),
    );
    return {
      machineName: worker.name,
      endpoint: `${worker.name}:1`,
      type: 'big',
      zone: worker.name < 'm3' ? 'east' : 'west',
      spot: false,
      agentEpoch: worker.session,
      sequence: worker.seq,
      fencingToken: worker.token,
      preemptionNotice: null,
      tasks,
    };
  }

  private hello(worker: Worker): void {
    const heartbeat = this.report(worker);
    const sent = this.at;
    if (worker.mute) return;
    // A report that is held back arrives late and its answer is dropped; it may also come twice.
    if (worker.cut || this.pick(12) === 0)
      return this.later(40, () => this.event({ kind: 'heartbeat', heartbeat }));
    if (this.pick(8) === 0) this.later(40, () => this.event({ kind: 'heartbeat', heartbeat }));
    // Workers stay with the owner they have for as long as it answers.
    const answer = this.byFormer(heartbeat) ?? this.byOwner(heartbeat);
    if (
      worker.deaf ||
      this.pick(12) === 0 ||
      answer.token < worker.token ||
      heartbeat.agentEpoch !== worker.session
    )
      return;
    worker.renewed = sent;
    this.take(worker, answer.token, answer.orders);
  }

  private byOwner(heartbeat: Heartbeat): { token: number; orders: WorkerCommand[] } {
    this.event({ kind: 'heartbeat', heartbeat });
    return {
      token: this.scheduler.state.term.fencingToken,
      orders: this.scheduler.answerHeartbeat(heartbeat, this.now()),
    };
  }

  private byFormer(heartbeat: Heartbeat): { token: number; orders: WorkerCommand[] } | null {
    const former = this.former;
    if (former === null) return null;
    if (!mayAcknowledgeHeartbeats(CLUSTER_CONFIG, former.state.term.confirmedAt, this.now().monotonic)) {
      this.former = null;
      return null;
    }
    for (const effect of former.handle({ kind: 'heartbeat', heartbeat }, this.now()))
      this.effect(effect, former);
    if (this.former === null) return null;
    this.answeredByFormer += 1;
    return { token: former.state.term.fencingToken, orders: former.answerHeartbeat(heartbeat, this.now()) };
  }

  private commit(): void {
    if (this.busy) return;
    const transaction = this.scheduler.nextTransaction(this.now());
    if (transaction === null) return;
    this.busy = true;
    this.send(transaction, this.scheduler, false);
  }

  /** One in six has no answer: it was carried out, or comes seconds later, after newer ones; it is sent again. */
  private send(transaction: Transaction, scheduler: ClusterScheduler, doubtful: boolean): void {
    const fate = this.pick(6) === 0 ? this.pick(2) : 2;
    if (fate === 0)
      this.later(12, () => {
        this.copies += 1;
        this.carryOut(transaction);
      });
    this.later(0.3, () => {
      const stamp = fate === 0 ? null : this.carryOut(transaction);
      if (scheduler !== this.scheduler) return;
      if (fate < 2) return this.later(1.5, () => this.send(transaction, scheduler, true));
      this.busy = false;
      // A page has one writer: one that moved on was moved by an earlier copy of the same transaction.
      const moved = transaction.pages.find(
        (page) => (this.pages.get(page.id)?.stamp ?? 0) !== page.modRevision,
      );
      if (stamp !== null) this.event({ kind: 'transaction-committed', transaction, modRevision: stamp });
      else if (doubtful && moved !== undefined)
        this.event({
          kind: 'transaction-committed',
          transaction,
          modRevision: this.pages.get(moved.id)?.stamp ?? 0,
        });
      else if (doubtful && transaction.pages.length === 0 && this.isCarriedOut(transaction))
        this.event({ kind: 'transaction-committed', transaction, modRevision: this.rev });
      else {
        assert.equal(moved, undefined, 'one writer per page');
        this.commit();
      }
    });
  }

  private isCarriedOut({ completedJobs: done, cancelledJobs: cancelled }: Transaction): boolean {
    const standing = (id: string): string | undefined => this.jobs.get(id)?.record.status;
    return (
      done.every((id) => standing(id) === 'done') && cancelled.every((id) => standing(id) === 'cancelled')
    );
  }

  private needsCancelled(id: string): boolean {
    return (this.jobs.get(id)?.record.spec.dependencies ?? []).some(
      (each) => this.jobs.get(each)?.record.status === 'cancelled' || this.needsCancelled(each),
    );
  }

  /** What the state service does with a transaction: null if one of its guards fails. */
  private carryOut(transaction: Transaction): number | null {
    if (transaction.fencingToken !== this.part) return null;
    for (const [id, stamp] of transaction.jobConditions) if (this.jobs.get(id)?.stamp !== stamp) return null;
    for (const page of transaction.pages)
      if ((this.pages.get(page.id)?.stamp ?? 0) !== page.modRevision) return null;
    const stamp = ++this.rev;
    for (const page of transaction.pages) this.pages.set(page.id, { entries: page.entries, stamp });
    for (const id of transaction.completedJobs) {
      const j = this.jobs.get(id);
      assert.ok(j !== undefined && j.record.status === 'open');
      const all = this.entries(id).reduce((n, entry) => n + entry.record.completedTasks.length, 0);
      assert.equal(all, j.record.spec.taskCount, 'done is committed only with all results');
      this.jobs.set(id, { ...j, record: { ...j.record, status: 'done' }, stamp });
      this.done += 1;
    }
    for (const id of transaction.cancelledJobs) {
      const j = this.jobs.get(id);
      assert.ok(j !== undefined && j.record.status === 'open');
      assert.ok(this.needsCancelled(id), 'only jobs that need a cancelled one');
      this.jobs.set(id, { ...j, record: { ...j.record, status: 'cancelled' }, stamp });
    }
    return stamp;
  }

  step(n: number): void {
    this.at = Math.round((this.at + 0.1) * 10) / 10;
    for (const m of this.mail.filter((x) => x.due <= this.at)) {
      this.mail.splice(this.mail.indexOf(m), 1);
      m.run();
    }
    for (const worker of this.workers) {
      if (this.pick(900) === 0) worker.hangs = this.at + 1 + this.pick(14);
      if (this.at < worker.hangs) {
        // A machine that stands still runs nothing; it may go on within its lease, and no later.
        this.endLease(worker);
        for (const [k, t] of worker.held) worker.held.set(k, { ...t, ends: t.ends + 0.1 });
        continue;
      }
      for (const [k, t] of worker.held)
        if (t.state === 'running' && t.ends <= this.at)
          worker.held.set(k, { ...t, state: 'exited', exitReason: this.pick(8) === 0 ? 'error' : 'done' });
      this.endLease(worker);
      if (this.pick(400) === 0) worker.cut = !worker.cut;
      if (this.pick(600) === 0) worker.deaf = !worker.deaf;
      if (this.pick(600) === 0) worker.mute = !worker.mute;
      if ((n + Number(worker.name.slice(1)) * 2) % 10 === 0) this.hello(worker);
    }
    if (n % 10 === 0) this.event({ kind: 'leadership-confirmed', confirmedAt: this.now().monotonic });
    if (n % 3 === 0) {
      // In such a run the process is behind two fifths of the time, and leaves all orders to the answers to reports.
      if (this.late) this.scheduler.recordEventLoopLag(n % 1000 >= 600 ? seconds(0.5) : 0n);
      this.event({ kind: 'tick' });
      const former = this.former;
      if (former !== null)
        for (const effect of former.handle({ kind: 'tick' }, this.now())) this.effect(effect, former);
    }
    if (this.pick(40) === 0) this.arrive(n);
    if (this.pick(120) === 0) this.cancel();
    if (this.pick(this.takeoverEvery) === 0) this.newOwner();
    this.check();
  }

  private arrive(n: number): void {
    const gang = this.pick(4) === 0;
    const team = (['red', 'blue', 'green'] as const)[this.pick(3)] ?? 'red';
    const id = `j${n}`;
    const s = jobSpec(id, {
      kind: gang ? 'gang' : 'array',
      taskCount: 1 + this.pick(3),
      team,
      priority: this.pick(3) === 0 ? 'high' : 'normal',
      dependencies: this.dependent ? this.someJobs() : [],
    });
    const record: JobRecord = { spec: s, submittedAt: this.now().wall, status: 'open' };
    const stamp = ++this.rev;
    this.jobs.set(id, { record, stamp, cancelled: null });
    this.event({ kind: 'job-changed', id, record, modRevision: stamp });
  }

  /** Jobs for a new one to wait for: lately submitted ones, in any state, or none. */
  private someJobs(): string[] {
    const lately = [...this.jobs.keys()].slice(-4);
    const first = lately[this.pick(8)];
    const second = lately[this.pick(16)];
    return [...new Set([first, second].filter((id) => id !== undefined))];
  }

  private cancel(): void {
    // Users call off, as often as others, jobs that are cancelled through another: that changes nothing any more.
    const open = [...this.jobs].filter(([, j]) => j.record.status !== 'done' && j.cancelled === null);
    // Half of them fall on the very end of a task.
    const ending = open.filter(([id]) =>
      this.workers.some((worker) =>
        [...worker.held.values()].some(
          (t) => t.jobId === id && t.state === 'running' && t.ends - this.at < 0.5,
        ),
      ),
    );
    const from = ending.length > 0 && this.pick(2) === 0 ? ending : open;
    const one = from[this.pick(Math.max(1, from.length))];
    if (one === undefined) return;
    const [id, j] = one;
    if (j.record.status === 'cancelled') return;
    const next = {
      record: { ...j.record, status: 'cancelled' as const },
      stamp: ++this.rev,
      cancelled: this.at,
    };
    this.jobs.set(id, next);
    this.later(0.4, () =>
      this.event({ kind: 'job-changed', id, record: next.record, modRevision: next.stamp }),
    );
  }

  private check(): void {
    const used = new Map<string, number>();
    for (const worker of this.workers)
      for (const t of worker.held.values()) {
        const j = this.jobs.get(t.jobId);
        if (t.state === 'exited' || j === undefined) continue;
        used.set(j.record.spec.team, (used.get(j.record.spec.team) ?? 0) + j.record.spec.gpus);
        if (j.cancelled !== null)
          assert.ok(
            this.at - j.cancelled <= toSeconds(CLUSTER_CONFIG.cancellationDeadline),
            `${t.jobId} runs on ${worker.name} long after its cancellation`,
          );
      }
    for (const team of CLUSTER_CONFIG.teams)
      if (team.gpuQuota > 0)
        assert.ok((used.get(team.name) ?? 0) <= team.gpuQuota, `${team.name} is over its limit`);
  }
}

for (const [seed, takeoverEvery, late, dependent] of [
  [1, 900, false, false],
  [2, 900, false, false],
  [3, 900, false, false],
  [4, 900, false, false],
  // Ten changes of owner in two minutes.
  [5, 120, false, false],
  [7, 120, false, false],
  // A process that is behind now and then.
  [2, 900, true, false],
  [5, 120, true, false],
  // Jobs that wait for jobs, some of which are cancelled.
  [31, 300, false, true],
  [34, 300, false, true],
  [36, 900, false, true],
  [47, 900, false, true],
  [43, 120, true, true],
] as const)
  test(`rules hold in a random run, seed ${seed}, a takeover every ${takeoverEvery / 10} s${late ? ', at times behind' : ''}${dependent ? ', with dependent jobs' : ''}`, () => {
    const c = new Chaos(seed, takeoverEvery, late, dependent);
    for (let n = 0; n < 4000; n++) c.step(n);
    assert.ok(!dependent || c.dependentStarts > 5, `${c.dependentStarts} dependencies`);
    assert.ok(c.starts > 30 && c.done > 10, `little happened: ${c.starts} starts, ${c.done} done`);
    assert.ok(c.copies > 4 && c.answeredByFormer > 4, `${c.copies} copies, ${c.answeredByFormer} answers`);
  });
