/** @file What the log and its counters show of commands to workers, when a worker refuses or repeats them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ClusterScheduler } from '../src/core/cluster-scheduler.js';
import type { Effect, LogFields } from '../src/core/model/effects.js';
import type { Event } from '../src/core/model/events.js';
import type { Heartbeat, ReportedTask } from '../src/core/model/heartbeat.js';
import { timeAt } from './fixtures/clock.js';
import { createSchedulerWithType, heartbeatOf, openJob } from './fixtures/scheduler.js';

const START = { op: 'start' as const, jobId: 'j', taskIndex: 0, attempt: 1 };

const reported = (
  state: ReportedTask['state'],
  exitReason: string | null = null,
  taskIndex = 0,
): ReportedTask => ({
  ...{ jobId: 'j', taskIndex, attempt: 1, state, exitReason, checkpointed: false },
});

/** A scheduler with a machine, and all its log lines. */
class LoggedScheduler {
  readonly scheduler: ClusterScheduler = createSchedulerWithType();
  private readonly lines: { message: string; fields: LogFields }[] = [];
  private sequence = 0;

  handle(event: Event, atS = 1): void {
    this.record(this.scheduler.handle(event, timeAt(atS)));
  }

  heartbeat(...tasks: ReportedTask[]): void {
    this.sequence += 1;
    const fencingToken = this.scheduler.fencingTokenFor('m1');
    const heartbeat: Heartbeat = heartbeatOf('m1', { sequence: this.sequence, fencingToken, tasks });
    this.handle({ kind: 'heartbeat', heartbeat });
    this.scheduler.answerHeartbeat(heartbeat, timeAt(1));
  }

  /** Confirms the leadership at a revision of the state store. */
  confirm(revision: number): void {
    this.handle({ kind: 'leadership-confirmed', confirmedAt: timeAt(1).monotonic, revision });
  }

  answerStart(outcome: 'executed' | 'refused'): void {
    this.sequence += 1;
    const heartbeat = heartbeatOf('m1', { sequence: this.sequence });
    const call = { machineName: 'm1', agentEpoch: 1, fencingToken: 1, calledAt: timeAt(1).monotonic };
    this.handle({ kind: 'commands-answered', ...call, commands: [START], outcome, heartbeat });
  }

  /** Runs job j, whose task is started directly. */
  startJob(): void {
    this.heartbeat();
    this.handle({ kind: 'job-changed', id: 'j', record: openJob('j'), modRevision: 2 });
    const transaction = this.scheduler.nextTransaction(timeAt(1));
    assert.ok(transaction !== null);
    this.handle({ kind: 'transaction-committed', transaction, modRevision: 3 });
  }

  linesOf(message: string): LogFields[] {
    return this.lines.filter((line) => line.message === message).map(({ fields }) => fields);
  }

  private record(effects: readonly Effect[]): void {
    for (const effect of effects) if (effect.kind === 'log') this.lines.push(effect);
  }
}

test('a start that a worker carries out again after its forget is logged and counted once', () => {
  const logged = new LoggedScheduler();
  logged.startJob();
  logged.answerStart('executed');
  logged.handle({
    kind: 'job-changed',
    id: 'j',
    record: { ...openJob('j'), status: 'cancelled' },
    modRevision: 4,
  });
  logged.confirm(4);
  logged.heartbeat(reported('exited', 'stopped'));
  logged.heartbeat();
  assert.deepEqual(
    logged
      .linesOf('command sent')
      .map(({ op, fencingToken, directStartToken }) => [op, fencingToken, directStartToken]),
    [
      ['start', 1, undefined],
      ['forget', 4, 1],
    ],
  );
  logged.heartbeat(reported('running'));
  logged.heartbeat(reported('running'));
  assert.equal(logged.linesOf('start carried out again').length, 1);
  assert.equal(logged.scheduler.state.commands.counters.repeatedStarts, 1);
});

test('a call that its worker refuses is counted, and a forget shows what it waits for', () => {
  const logged = new LoggedScheduler();
  logged.startJob();
  logged.answerStart('refused');
  logged.heartbeat();
  logged.heartbeat(reported('exited', 'done'));
  logged.handle({ kind: 'tick' }, 20);
  const summaries = logged.linesOf('fleet summary').slice(-1);
  assert.deepEqual(
    summaries.map(({ refusedCalls, waitingForgets }) => [refusedCalls, waitingForgets]),
    [[1, ['result not committed: 1']]],
  );
});

test('many forgets do not wait for a start that is on its way', () => {
  const logged = new LoggedScheduler();
  logged.startJob();
  logged.confirm(3);
  const exitedTasks = (count: number): ReportedTask[] =>
    Array.from({ length: count }, (_, n) => reported('exited', 'stopped', n + 1));
  const call = { machineName: 'm1', agentEpoch: 1, fencingToken: 1, calledAt: timeAt(1).monotonic };
  const commands = exitedTasks(100).map(({ taskIndex }) => ({ ...START, taskIndex }));
  logged.handle({ kind: 'commands-answered', ...call, commands, outcome: 'executed', heartbeat: null });
  logged.heartbeat(...exitedTasks(99));
  assert.equal(logged.scheduler.fencingTokenFor('m1'), 1);
  logged.heartbeat(...exitedTasks(100));
  assert.equal(logged.scheduler.fencingTokenFor('m1'), 3);
});
