/**
 * @file Runs a trace against the scheduler's core: one line per event, `>` lines for the effects that must follow, `=`
 * lines for the state that must hold. Each effect that has a notation must be expected by exactly one line. The language
 * is described in `test/traces/README.md`.
 */
import assert from 'node:assert/strict';
import type { ClusterScheduler } from '../src/core/cluster-scheduler.js';
import type { Event } from '../src/core/model/events.js';
import type { JobRecord, JobSpec } from '../src/core/model/job.js';
import type { Heartbeat } from '../src/core/model/heartbeat.js';
import { pendingJobsInOrder } from '../src/core/scheduling/job-queue.js';
import { seconds, type Timestamp } from '../src/core/model/time.js';
import type { Effect } from '../src/core/model/effects.js';
import { timeAt } from './fixtures/clock.js';
import { jobSpec } from './fixtures/cluster-config.js';
import {
  parseFlag,
  formatCommand,
  parseList,
  listedInstance,
  parseNumber,
  parseReportedTask,
  parseTaskReference,
  parseTraceLine,
  type TraceArguments,
  type TraceLine,
} from './trace-language.js';
import { createSchedulerWithType } from './fixtures/scheduler.js';
import { TracedWorker } from './traced-worker.js';

type CommandOutcome = 'executed' | 'refused' | 'unknown';

const FENCING_TOKEN = 100;

/** Feeds a trace to the scheduler of one leader, and supplies the time and the mod revisions of its events. */
export class TraceRunner {
  readonly scheduler: ClusterScheduler;
  private secondsIntoTerm = 0;
  /** Effects, in the notation of `>` lines, that no line has expected yet. */
  private readonly effects: string[] = [];
  private modRevision = FENCING_TOKEN + 1;
  /** The highest heartbeat sequence number of each machine. */
  private readonly sequences = new Map<string, number>();
  private readonly workers = new Map<string, TracedWorker>();

  constructor() {
    this.scheduler = createSchedulerWithType({ fencingToken: FENCING_TOKEN });
  }

  /** Runs all lines of a trace. Throws an error that names the file and the line when a line fails. */
  run(trace: string, name: string): void {
    for (const [index, raw] of trace.split('\n').entries()) {
      const line = parseTraceLine(raw);
      if (line === null) continue;
      try {
        this.runLine(line);
      } catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        throw new Error(`${name}:${index + 1}: ${message}`, { cause: error });
      }
    }
    assert.deepEqual(this.effects, [], `${name}: effects at the end that no line expects`);
  }

  private now(): Timestamp {
    return timeAt(this.secondsIntoTerm);
  }

  private handle(event: Event): void {
    for (const effect of this.scheduler.handle(event, this.now())) this.recordEffect(effect);
  }

  private workerOf(machineName: string): TracedWorker {
    const existing = this.workers.get(machineName);
    if (existing !== undefined) return existing;
    const worker = new TracedWorker();
    this.workers.set(machineName, worker);
    return worker;
  }

  private recordEffect(effect: Effect): void {
    if (effect.kind === 'send-commands') {
      const { machineName, agentEpoch, commands } = effect;
      const fencingToken = this.scheduler.fencingTokenFor(machineName);
      this.workerOf(machineName).onDirectCall(fencingToken, agentEpoch, commands);
    }
    if (effect.kind === 'send-commands' && effect.commands.length > 0)
      for (const command of effect.commands)
        this.effects.push(`send ${effect.machineName} ${formatCommand(command)}`);
    else if (effect.kind === 'send-commands') this.effects.push(`fence ${effect.machineName}`);
    else if (effect.kind === 'scale-in') this.effects.push(`scale-in ${effect.machineNames.join(',')}`);
    else if (effect.kind === 'advance-token') this.effects.push('advance-token');
    else if (effect.kind === 'step-down') this.effects.push('step-down');
    else if (effect.kind === 'superseded') this.effects.push(`superseded ${effect.fencingToken}`);
  }

  private runLine(line: TraceLine): void {
    const { verb, words, operands, args } = line;
    const [name = '', ...rest] = operands;
    switch (verb) {
      case '>':
        return this.expectEffect(words.join(' '));
      case '=':
        return this.check(words);
      case 'at':
        this.secondsIntoTerm = Number(name);
        return;
      case 'tick':
        return this.handle({ kind: 'tick' });
      case 'confirmed':
        return this.handle({
          kind: 'leadership-confirmed',
          confirmedAt: this.now().monotonic,
          revision: this.modRevision,
        });
      case 'token-advanced':
        return this.handle({ kind: 'token-advanced', fencingToken: Number(name) });
      case 'commit':
        return this.commit();
      case 'job':
        return this.submitJob(name, args);
      case 'cancel':
        return this.cancelJob(name);
      case 'finished':
        return this.handle({
          kind: 'job-finished',
          id: name,
          status: rest[0] === 'done' ? 'done' : 'cancelled',
        });
      case 'assigned':
        return this.loadAssignment(name, rest[0] ?? '', args);
      default:
        return this.runMachineLine(line);
    }
  }

  /** Runs a line whose event comes from a machine or the cloud. */
  private runMachineLine({ verb, operands, args }: TraceLine): void {
    const [machine = '', ...rest] = operands;
    switch (verb) {
      case 'heartbeat':
        return this.sendHeartbeat(machine, rest, args, true);
      case 'unanswered-heartbeat':
        return this.sendHeartbeat(machine, rest, args, false);
      case 'fence-answered':
        return this.answerFence(machine, rest, args);
      case 'commands-answered':
        return this.answerCommands(machine, rest[0] as CommandOutcome, rest.slice(1));
      case 'late-start':
        return this.checkLateStart(machine, rest[0] ?? '', args);
      case 'inventory':
        return this.handle({
          kind: 'instance-inventory',
          machines: operands.map(listedInstance),
          requestedAt: seconds(1000 + parseNumber(args['requested'], this.secondsIntoTerm)),
        });
      case 'released':
        return this.handle({ kind: 'scale-in-answered', machines: [machine], succeeded: true });
      default:
        throw new Error(`unknown line "${[verb, ...operands].join(' ')}"`);
    }
  }

  private submitJob(id: string, args: TraceArguments): void {
    const spec = jobSpec(id, {
      kind: (args['kind'] ?? 'array') as JobSpec['kind'],
      team: args['team'] ?? 'red',
      priority: (args['priority'] ?? 'normal') as JobSpec['priority'],
      taskCount: parseNumber(args['tasks'], 1),
      gpus: parseNumber(args['gpus'], 1),
      cpus: parseNumber(args['cpus'], 2),
      singleZone: parseFlag(args['single-zone']),
      spreadAcrossZones: parseFlag(args['spread']),
      checkpointInterval: seconds(parseNumber(args['checkpoint-interval'], 0)),
      checkpointDuration: seconds(parseNumber(args['checkpoint-duration'], 0)),
      image: args['image'] ?? 'img',
      imageGb: parseNumber(args['image-gb'], 2),
      estimatedDuration: seconds(parseNumber(args['duration'], 30)),
      deadline: args['deadline'] === undefined ? null : seconds(Number(args['deadline'])),
      dependencies: parseList(args['after']),
    });
    this.changeJob({ spec, submittedAt: this.now().wall, status: 'open' });
  }

  private cancelJob(id: string): void {
    const job = this.scheduler.state.jobs.byId.get(id);
    assert.ok(job !== undefined, `no job ${id}`);
    this.changeJob({ spec: job.spec, submittedAt: job.submittedAt, status: 'cancelled' });
  }

  private changeJob(record: JobRecord): void {
    this.handle({ kind: 'job-changed', id: record.spec.id, record, modRevision: ++this.modRevision });
  }

  /** Loads a page that a previous leader recorded: `assigned j/0#1 m1 epoch=1 zone=east completed=1,2`. */
  private loadAssignment(reference: string, machineName: string, args: TraceArguments): void {
    const { jobId, taskIndex, attempt } = parseTaskReference(reference);
    const assignment = {
      taskIndex,
      attempt,
      machineName,
      agentEpoch: parseNumber(args['epoch'], 1),
      zone: args['zone'] ?? 'east',
    };
    const record = {
      highestAttempt: attempt,
      completedTasks: parseList(args['completed']).map((task) => ({
        first: Number(task),
        last: Number(task),
      })),
      assignments: [assignment],
    };
    this.handle({
      kind: 'page-loaded',
      id: this.scheduler.state.records.pages.size,
      entries: [{ jobId, chunkIndex: 0, record }],
      modRevision: ++this.modRevision,
    });
  }

  private makeHeartbeat(machineName: string, tasks: readonly string[], args: TraceArguments): Heartbeat {
    const highest = this.sequences.get(machineName) ?? 0;
    const sequence = parseNumber(args['sequence'], highest + 1);
    this.sequences.set(machineName, Math.max(sequence, highest));
    return {
      machineName,
      endpoint: `${machineName}:1`,
      type: 'big',
      zone: args['zone'] ?? 'east',
      spot: false,
      agentEpoch: parseNumber(args['epoch'], 1),
      sequence,
      fencingToken: parseNumber(args['token'], this.scheduler.fencingTokenFor(machineName)),
      preemptionNotice: args['notice'] === undefined ? null : seconds(Number(args['notice'])),
      tasks: tasks.map(parseReportedTask),
    };
  }

  private sendHeartbeat(
    machine: string,
    tasks: readonly string[],
    args: TraceArguments,
    answered: boolean,
  ): void {
    const heartbeat = this.makeHeartbeat(machine, tasks, args);
    this.workerOf(machine).onHeartbeat(heartbeat);
    this.handle({ kind: 'heartbeat', heartbeat });
    if (!answered) return;
    const answer = this.scheduler.answerHeartbeat(heartbeat, this.now());
    this.workerOf(machine).onResponse(answer);
    for (const command of answer.commands) this.effects.push(`respond ${machine} ${formatCommand(command)}`);
  }

  /** A copy of a direct start, which may have been answered before, reaches the worker: it must not execute it. */
  private checkLateStart(machineName: string, attempt: string, args: TraceArguments): void {
    const fencingToken = args['token'] === undefined ? undefined : Number(args['token']);
    const wouldStart = this.workerOf(machineName).wouldStart(attempt, fencingToken);
    assert.ok(!wouldStart, `a late copy of the start starts ${attempt} on ${machineName} again`);
  }

  /** Handles the response to a direct call without commands, which carries the worker's heartbeat. */
  private answerFence(machineName: string, tasks: readonly string[], args: TraceArguments): void {
    const heartbeat = this.makeHeartbeat(machineName, tasks, args);
    const { agentEpoch, fencingToken } = heartbeat;
    this.workerOf(machineName).onHeartbeat(heartbeat);
    this.handle({
      kind: 'commands-answered',
      machineName,
      agentEpoch,
      fencingToken,
      commands: [],
      calledAt: timeAt(parseNumber(args['called'], this.secondsIntoTerm)).monotonic,
      outcome: 'executed',
      heartbeat,
    });
  }

  private answerCommands(machineName: string, outcome: CommandOutcome, starts: readonly string[]): void {
    const commands = starts.map((start) => ({ op: 'start' as const, ...parseTaskReference(start) }));
    if (outcome === 'executed') this.workerOf(machineName).onDirectCallExecuted(commands);
    this.handle({
      kind: 'commands-answered',
      machineName,
      agentEpoch: this.scheduler.state.machines.byName.get(machineName)?.agentEpoch ?? 1,
      fencingToken: this.scheduler.fencingTokenFor(machineName),
      commands,
      calledAt: this.now().monotonic,
      outcome,
      heartbeat: null,
    });
  }

  private commit(): void {
    const transaction = this.scheduler.nextTransaction(this.now());
    assert.ok(transaction !== null, 'nothing to commit');
    for (const id of transaction.completedJobs) this.effects.push(`done ${id}`);
    this.handle({ kind: 'transaction-committed', transaction, modRevision: ++this.modRevision });
  }

  private expectEffect(text: string): void {
    const index = this.effects.indexOf(text);
    assert.ok(index >= 0, `expected "${text}", got ${JSON.stringify(this.effects)}`);
    this.effects.splice(index, 1);
  }

  private check([subject, ...expected]: readonly string[]): void {
    const { jobs } = this.scheduler.state;
    const [name = '', value] = expected;
    switch (subject) {
      case 'no-effects':
        return assert.deepEqual(this.effects, []);
      case 'assignments':
        return assert.deepEqual(this.assignmentsOf(name), expected.slice(1).sort());
      case 'gpus-used':
        return assert.equal(jobs.quotas.usageOf(name).gpus, Number(value));
      case 'priority':
        return assert.equal(jobs.byId.get(name)?.priority, value);
      case 'status':
        return assert.equal(jobs.byId.get(name)?.status, value);
      case 'queue': {
        const pending = pendingJobsInOrder(this.scheduler.state, this.now());
        return assert.deepEqual(
          pending.map((job) => job.spec.id),
          expected,
        );
      }
      default:
        throw new Error(`unknown check ${subject}`);
    }
  }

  /** All assignments of a job, as `index#attempt@machine`. */
  private assignmentsOf(id: string): string[] {
    const found: string[] = [];
    for (const chunk of this.scheduler.state.jobs.byId.get(id)?.chunks.values() ?? [])
      for (const { taskIndex, attempt, machineName } of chunk.assignments.values())
        found.push(`${taskIndex}#${attempt}@${machineName}`);
    return found.sort();
  }
}
