import assert from 'node:assert/strict';
import { ClusterScheduler, type Event } from '../src/core/cluster-scheduler.js';
import type { ClusterConfig } from '../src/core/model/cluster-config.js';
import type { JobRecord, JobSpec } from '../src/core/model/job.js';
import type { CloudInstance, MachineType } from '../src/core/model/machine.js';
import type { Heartbeat, ReportedTask } from '../src/core/model/heartbeat.js';
import type { Transaction } from '../src/core/persistence/transactions.js';
import { pendingJobsInOrder } from '../src/core/scheduling/scheduling-cycle.js';
import { previousLeadersDeadlineFrom } from '../src/core/state/leadership-timing.js';
import { seconds, type Timestamp } from '../src/core/model/time.js';
import type { Effect } from '../src/core/model/effects.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import { DEFAULT_SETTINGS } from '../src/edge/config/operator-settings.js';

/**
 * Plays a trace: one line per event, `>` lines for what must come out, `=` lines for what must hold. Traces are kept in
 * `test/traces` and read from top to bottom; docs in `test/traces/README.md`.
 */
export const FACTS: ClusterConfig = {
  zones: ['east', 'west'],
  teams: [
    { name: 'red', fairShareCpus: 0, fairShareGpus: 0, cpuQuota: 0, gpuQuota: 0 },
    { name: 'blue', fairShareCpus: 0, fairShareGpus: 2, cpuQuota: 0, gpuQuota: 4 },
    { name: 'green', fairShareCpus: 0, fairShareGpus: 2, cpuQuota: 0, gpuQuota: 4 },
  ],
  objectives: [],
  heartbeatInterval: seconds(1),
  workerLease: seconds(10),
  gangStartTimeout: seconds(30),
  gangPeerTimeout: seconds(8),
  cancellationDeadline: seconds(30),
  maxTransactionOperations: 8,
  maxValueBytes: 4096,
  inventoryLag: seconds(4),
};

export const TYPE: MachineType = {
  name: 'big',
  cpus: 8,
  gpus: 2,
  memory: 64,
  cacheGb: 100,
  fetchGbPerS: 1,
  price: 10,
  spotPrice: 4,
  bootTime: seconds(30),
  zones: ['east', 'west'],
};

export function spec(id: string, over: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    class: 'work',
    team: 'red',
    kind: 'array',
    priority: 'normal',
    taskCount: 1,
    cpus: 2,
    gpus: 1,
    memory: 8,
    machineTypes: null,
    zone: null,
    singleZone: false,
    spreadAcrossZones: false,
    allowSpot: false,
    image: 'img',
    imageGb: 2,
    estimatedDuration: seconds(30),
    checkpointInterval: 0n,
    checkpointDuration: 0n,
    deadline: null,
    dependencies: [],
    ...over,
  };
}

type Args = Record<string, string>;

function argsOf(words: readonly string[]): { bare: string[]; args: Args } {
  const bare: string[] = [];
  const args: Args = {};
  for (const word of words) {
    const cut = word.indexOf('=');
    if (cut > 0) args[word.slice(0, cut)] = word.slice(cut + 1);
    else bare.push(word);
  }
  return { bare, args };
}

const num = (v: string | undefined, fallback: number): number => (v === undefined ? fallback : Number(v));
const flag = (v: string | undefined): boolean => v === 'yes';

export class Player {
  readonly scheduler: ClusterScheduler;
  private at = 0;
  private out: string[] = [];
  private transaction: Transaction | null = null;
  private stamp: number;
  private readonly seqs = new Map<string, number>();

  constructor(readonly token = 100) {
    const began = this.now().monotonic;
    this.scheduler = new ClusterScheduler(FACTS, DEFAULT_SETTINGS, {
      fencingToken: token,
      startedAt: began,
      confirmedAt: began,
      previousLeadersDeadline: previousLeadersDeadlineFrom(FACTS, began),
    });
    this.stamp = token + 1;
    this.event({ kind: 'machine-types', types: [TYPE] });
  }

  now(): Timestamp {
    return { monotonic: seconds(1000 + this.at), wall: new Date(Date.UTC(2030, 0, 1) + this.at * 1000) };
  }

  event(event: Event): void {
    for (const effect of this.scheduler.handle(event, this.now())) this.record(effect);
  }

  private record(effect: Effect): void {
    if (effect.kind === 'send-commands' && effect.commands.length > 0)
      for (const command of effect.commands)
        this.out.push(`direct ${effect.machineName} ${orderText(command)}`);
    else if (effect.kind === 'send-commands') this.out.push(`fence ${effect.machineName}`);
    else if (effect.kind === 'scale-in') this.out.push(`return ${effect.machineNames.join(',')}`);
    else if (effect.kind === 'advance-token') this.out.push('raise');
    else if (effect.kind === 'step-down') this.out.push('abdicate');
    else if (effect.kind === 'superseded') this.out.push(`deposed ${effect.fencingToken}`);
  }

  play(text: string, name: string): void {
    text.split('\n').forEach((raw, n) => {
      const line = raw.replace(/(^|\s)#(\s.*)?$/, '').trim();
      if (line === '') return;
      try {
        this.line(line);
      } catch (e) {
        throw new Error(`${name}:${n + 1}: ${e instanceof Error ? e.message : String(e)}`, { cause: e });
      }
    });
    assert.deepEqual(this.out, [], `${name}: effects at the end that no line expects`);
  }

  private line(line: string): void {
    const [verb = '', ...rest] = line.split(/\s+/);
    if (verb === '>') return this.expect(rest.join(' '));
    if (verb === '=') return this.check(rest);
    const { bare, args } = argsOf(rest);
    const name = bare[0] ?? '';
    switch (verb) {
      case 'at':
        this.at = Number(name);
        break;
      case 'tick':
        this.event({ kind: 'tick' });
        break;
      case 'contact':
        this.event({ kind: 'leadership-confirmed', confirmedAt: this.now().monotonic });
        break;
      case 'job':
        this.job(name, args);
        break;
      case 'cancel':
        this.standing(name, 'cancelled');
        break;
      case 'ended':
        this.event({ kind: 'job-finished', id: name, status: bare[1] === 'done' ? 'done' : 'cancelled' });
        break;
      case 'held':
        this.held(name, bare[1] ?? '', args);
        break;
      case 'report':
        this.report(name, bare.slice(1), args, true);
        break;
      case 'late':
        this.report(name, bare.slice(1), args, false);
        break;
      case 'echo':
        this.echo(name, bare.slice(1), args);
        break;
      case 'outcome':
        this.outcome(name, bare[1] as 'executed' | 'refused' | 'unknown', bare.slice(2));
        break;
      case 'commit':
        this.commit();
        break;
      case 'raised':
        this.event({ kind: 'token-advanced', fencingToken: Number(name) });
        break;
      case 'list':
        this.event({
          kind: 'instance-inventory',
          machines: bare.map(listedOf),
          requestedAt: seconds(1000 + num(args['sent'], this.at)),
        });
        break;
      case 'returned':
        this.event({ kind: 'scale-in-answered', machines: [name], succeeded: true });
        break;
      default:
        throw new Error(`unknown line "${line}"`);
    }
  }

  private job(id: string, a: Args): void {
    const s = spec(id, {
      kind: (a['kind'] ?? 'array') as JobSpec['kind'],
      team: a['team'] ?? 'red',
      priority: (a['priority'] ?? 'normal') as JobSpec['priority'],
      taskCount: num(a['tasks'], 1),
      gpus: num(a['gpus'], 1),
      cpus: num(a['cpus'], 2),
      singleZone: flag(a['onezone']),
      spreadAcrossZones: flag(a['spread']),
      checkpointInterval: seconds(num(a['checkpoint'], 0)),
      checkpointDuration: seconds(num(a['save'], 0)),
      image: a['image'] ?? 'img',
      imageGb: num(a['gb'], 2),
      estimatedDuration: seconds(num(a['estimate'], 30)),
      deadline: a['due'] === undefined ? null : seconds(Number(a['due'])),
      dependencies: (a['after'] ?? '').split(',').filter(Boolean),
    });
    const record: JobRecord = { spec: s, submittedAt: this.now().wall, status: 'open' };
    this.event({ kind: 'job-changed', id, record, modRevision: ++this.stamp });
  }

  private standing(id: string, standing: 'cancelled'): void {
    const job = this.scheduler.state.jobs.byId.get(id);
    assert.ok(job !== undefined, `no job ${id}`);
    const record: JobRecord = { spec: job.spec, submittedAt: job.submittedAt, status: standing };
    this.event({ kind: 'job-changed', id, record, modRevision: ++this.stamp });
  }

  /** A place recorded by an earlier owner, and results: `held j/0#1 m1 session=1 zone=east done=1,2`. */
  private held(ref: string, machine: string, a: Args): void {
    const { jobId: job, taskIndex: task, attempt } = refOf(ref);
    const done = (a['done'] ?? '').split(',').filter(Boolean).map(Number);
    const intents = [
      {
        taskIndex: task,
        attempt,
        machineName: machine,
        agentEpoch: num(a['session'], 1),
        zone: a['zone'] ?? 'east',
      },
    ];
    this.event({
      kind: 'page-loaded',
      id: this.scheduler.state.records.pages.size,
      entries: [
        {
          jobId: job,
          chunkIndex: 0,
          record: { highestAttempt: attempt, completedTasks: done, assignments: intents },
        },
      ],
      modRevision: ++this.stamp,
    });
  }

  private makeReport(machine: string, tasks: readonly string[], a: Args): Heartbeat {
    const seq = num(a['seq'], (this.seqs.get(machine) ?? 0) + 1);
    this.seqs.set(machine, Math.max(seq, this.seqs.get(machine) ?? 0));
    return {
      machineName: machine,
      endpoint: `${machine}:1`,
      type: 'big',
      zone: a['zone'] ?? 'east',
      spot: false,
      agentEpoch: num(a['session'], 1),
      sequence: seq,
      fencingToken: num(a['token'], this.scheduler.state.term.fencingToken),
      preemptionNotice: null,
      tasks: tasks.map(seenOf),
    };
  }

  private report(machine: string, tasks: readonly string[], a: Args, answered: boolean): void {
    const heartbeat = this.makeReport(machine, tasks, a);
    this.event({ kind: 'heartbeat', heartbeat });
    if (!answered) return;
    for (const command of this.scheduler.answerHeartbeat(heartbeat, this.now()))
      this.out.push(`answer ${machine} ${orderText(command)}`);
  }

  /** A direct call without orders was answered: the worker's report comes with it. */
  private echo(machine: string, tasks: readonly string[], a: Args): void {
    const heartbeat = this.makeReport(machine, tasks, a);
    const { agentEpoch: session, fencingToken: token } = heartbeat;
    this.event({
      kind: 'commands-answered',
      machineName: machine,
      agentEpoch: session,
      fencingToken: token,
      commands: [],
      outcome: 'executed',
      heartbeat,
    });
  }

  private outcome(
    machine: string,
    outcome: 'executed' | 'refused' | 'unknown',
    refs: readonly string[],
  ): void {
    const orders = refs.map((r) => ({ op: 'start' as const, ...refOf(r) }));
    const m = this.scheduler.state.machines.byName.get(machine);
    const token = this.scheduler.state.term.fencingToken;
    this.event({
      kind: 'commands-answered',
      machineName: machine,
      agentEpoch: m?.agentEpoch ?? 1,
      fencingToken: token,
      commands: orders,
      outcome,
      heartbeat: null,
    });
  }

  private commit(): void {
    this.transaction = this.scheduler.nextTransaction(this.now());
    assert.ok(this.transaction !== null, 'nothing to commit');
    for (const id of this.transaction.completedJobs) this.out.push(`done ${id}`);
    this.event({ kind: 'transaction-committed', transaction: this.transaction, modRevision: ++this.stamp });
  }

  private expect(text: string): void {
    const at = this.out.indexOf(text);
    assert.ok(at >= 0, `expected "${text}", got ${JSON.stringify(this.out)}`);
    this.out.splice(at, 1);
  }

  /** `= places j` lists where tasks may be; `= nothing` that no effect is left; `= used team gpus`. */
  private check(words: readonly string[]): void {
    const [what, ...rest] = words;
    if (what === 'nothing') return assert.deepEqual(this.out, []);
    if (what === 'places') {
      const [id = '', ...want] = rest;
      const got: string[] = [];
      for (const chunk of this.scheduler.state.jobs.byId.get(id)?.chunks.values() ?? [])
        for (const assignment of chunk.assignments.values())
          got.push(`${assignment.taskIndex}#${assignment.attempt}@${assignment.machineName}`);
      return assert.deepEqual(got.sort(), want.sort());
    }
    if (what === 'used')
      return assert.equal(this.scheduler.state.jobs.quotas.usageOf(rest[0] ?? '').gpus, Number(rest[1]));
    if (what === 'priority')
      return assert.equal(this.scheduler.state.jobs.byId.get(rest[0] ?? '')?.priority, rest[1]);
    if (what === 'queue')
      return assert.deepEqual(
        pendingJobsInOrder(this.scheduler.state, this.now()).map((job) => job.spec.id),
        rest,
      );
    if (what === 'standing')
      return assert.equal(this.scheduler.state.jobs.byId.get(rest[0] ?? '')?.status, rest[1]);
    throw new Error(`unknown check ${what}`);
  }
}

const listedOf = (name: string): CloudInstance => ({
  name,
  endpoint: `${name}:1`,
  type: 'big',
  zone: 'east',
  spot: false,
  state: 'running',
  age: seconds(60),
});

function orderText(command: WorkerCommand): string {
  const grace = command.op === 'stop' ? ` grace=${command.gracePeriodS ?? 0}` : '';
  return `${command.op} ${command.jobId}/${command.taskIndex}#${command.attempt}${grace}`;
}

function refOf(ref: string): { jobId: string; taskIndex: number; attempt: number } {
  const m = /^(.+)\/(\d+)#(\d+)$/.exec(ref);
  assert.ok(m !== null, `not a task: ${ref}`);
  return { jobId: m[1] ?? '', taskIndex: Number(m[2]), attempt: Number(m[3]) };
}

/** `j/0#1:running` or `j/0#1:exited:done`. */
function seenOf(text: string): ReportedTask {
  const [ref = '', state = 'running', why] = text.split(':');
  return {
    ...refOf(ref),
    state: state as ReportedTask['state'],
    exitReason: why ?? null,
    checkpointed: false,
  };
}
