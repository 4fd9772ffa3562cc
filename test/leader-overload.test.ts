import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { test } from 'node:test';
import type { Transaction } from '../src/core/persistence/transactions.js';
import { minCycleInterval } from '../src/core/scheduling/scheduling-cycle.js';
import { seconds } from '../src/core/model/time.js';
import type { Effect } from '../src/core/model/effects.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import { Listener } from '../src/edge/http/listener.js';
import { parseTarget } from '../src/edge/net/target.js';
import { isHealthy } from '../src/edge/http/health.js';
import { HeartbeatQueue } from '../src/edge/http/heartbeat-queue.js';
import { readHeartbeats } from '../src/edge/http/heartbeat-reader.js';
import { WorkerCommandSender } from '../src/edge/workers/worker-command-sender.js';
import { jobSpec } from './fixtures/cluster-config.js';
import { listen } from './standins/http.js';
import { ownAddress, makeSite, platform, startController, until } from './standins/cluster.js';
import { StateStandIn } from './standins/state-store.js';
import { Watch } from './standins/worker.js';
import { timeAt } from './fixtures/clock.js';
import { createSchedulerWithType } from './fixtures/scheduler.js';

/**
 * A process that is behind: a takeover on a small share of a core. What is guarded here was lost one after the other
 * on simulated machines: connections waited longer than their workers, direct calls took the time of the reports, the
 * lease in the state service ran out under an owner that had the state service, and passes went on meanwhile.
 */

/** Turns are taken by hand, and time goes on only where a test says so. */
function intakeByHand(
  onStale: () => void = () => undefined,
  coreShare = 1,
): {
  intake: HeartbeatQueue;
  turn: () => void;
  pass: (ms: number) => void;
  due: () => number;
} {
  let now = 0n;
  const due: (() => void)[] = [];
  const intake = new HeartbeatQueue(
    onStale,
    coreShare,
    () => now,
    (f) => {
      due.push(f);
      return {} as NodeJS.Immediate;
    },
  );
  return {
    intake,
    turn: () => due.shift()?.(),
    pass: (ms) => (now += BigInt(ms) * 1_000_000n),
    due: () => due.length,
  };
}

test('reports are answered in turns of 10 ms, the oldest first, so that the loop goes round in between', () => {
  const { intake, turn, pass, due } = intakeByHand();
  const answered: number[] = [];
  for (let n = 0; n < 7; n++)
    intake.push(() => {
      answered.push(n);
      pass(4);
    }, false);
  turn();
  assert.deepEqual(answered, [], 'the end of a connection is seen one round after what it brought');
  turn();
  assert.deepEqual(answered, [0, 1, 2]);
  turn();
  turn();
  assert.deepEqual(answered, [0, 1, 2, 3, 4, 5, 6]);
  assert.equal(due(), 0, 'nothing waits, nothing is planned');
});

test('a turn is as long as the share of a core allows', () => {
  const { intake, turn, pass } = intakeByHand(undefined, 0.1);
  let answered = 0;
  const push = (): void => {
    intake.push(() => {
      answered += 1;
      pass(1);
    }, false);
  };
  push();
  push();
  turn();
  turn();
  assert.equal(answered, 1);
});

test('users are left to the others while the leader is behind or its copy is old, if there are others', () => {
  const fine = {
    ready: true,
    replicaAgeMs: 500,
    isLeader: false,
    overloaded: false,
    peerCount: 2,
    peersServing: 2,
  };
  assert.equal(isHealthy(fine), true);
  assert.equal(isHealthy({ ...fine, ready: false }), false);
  assert.equal(isHealthy({ ...fine, peersServing: 1, isLeader: true, overloaded: true }), false);
  assert.equal(isHealthy({ ...fine, peersServing: 0, isLeader: true, overloaded: true }), true);
  assert.equal(isHealthy({ ...fine, replicaAgeMs: 5000 }), false);
  // An outage that all see: going away would only keep users out for longer.
  assert.equal(isHealthy({ ...fine, replicaAgeMs: 5000, peersServing: 0 }), true);
  assert.equal(isHealthy({ ...fine, replicaAgeMs: 20_000, peersServing: 0 }), false);
  // The leader answers all workers: users are left to the others before it falls behind, while all of them serve.
  assert.equal(isHealthy({ ...fine, isLeader: true }), false);
  assert.equal(isHealthy({ ...fine, isLeader: true, peersServing: 1 }), true);
  assert.equal(isHealthy({ ...fine, isLeader: true, peerCount: 1, peersServing: 1 }), true);
});

test('a report whose worker has given up is not looked at; the others are', () => {
  const { intake, turn } = intakeByHand();
  const seen: string[] = [];
  const written: string[] = [];
  const report = (body: string): Buffer =>
    Buffer.from(`POST /hello HTTP/1.1\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
  const connect = (): Duplex => {
    const socket = new Duplex({
      read: () => undefined,
      write: (data: Buffer, _e, done) => {
        written.push(data.toString());
        done();
      },
    });
    Object.assign(socket, { setNoDelay: () => socket, setTimeout: () => socket });
    const answer = (b: Buffer) => {
      seen.push(b.toString());
      return { status: 200, body: b } as const;
    };
    readHeartbeats(socket as unknown as Socket, {
      maxBodyBytes: 1024,
      queue: intake,
      respond: answer,
      handOver: () => assert.fail('not a heartbeat'),
      rotates: () => false,
    });
    return socket;
  };
  const [gone, held] = [connect(), connect()];
  gone.emit('data', report('gone'));
  // Not pipelined by the rules, but nothing is lost and nothing answered out of turn if it is.
  held.emit('data', Buffer.concat([report('first'), report('second')]));
  turn();
  gone.emit('end');
  turn();
  assert.deepEqual(seen, ['first']);
  turn();
  turn();
  assert.deepEqual(seen, ['first', 'second']);
  assert.equal(written.length, 2);
  assert.equal(intake.size, 0);
  held.destroy();
  gone.destroy();
});

test('new connections that were given up before they were taken in, many in a row, show that their queue is stale', () => {
  let stale = 0;
  const { intake, turn } = intakeByHand(() => (stale += 1));
  const giveUp = (n: number, fresh = true): void => {
    for (let k = 0; k < n; k++) intake.push(() => assert.fail('given up'), fresh)();
  };
  giveUp(31);
  // Connections that are open already say nothing of the queue, neither way.
  giveUp(40, false);
  intake.push(() => undefined, false);
  turn();
  turn();
  assert.equal(stale, 0);
  giveUp(1);
  assert.equal(stale, 1);
  // One that is still there when its turn comes shows that the wait is short enough.
  giveUp(31);
  intake.push(() => undefined, true);
  turn();
  turn();
  giveUp(31);
  assert.equal(stale, 1);
});

test('listening anew resets what waits to be taken in, and leaves alone what was taken in', async () => {
  const taken: Socket[] = [];
  const at = parseTarget(ownAddress());
  const listener = new Listener(at, (socket) => taken.push(socket.on('error', () => undefined)));
  const running = listener.open().subscribe();
  const client = (): { readonly socket: Socket; over: boolean } => {
    const c = { socket: connect(at.port, at.host), over: false };
    c.socket.on('error', () => undefined).on('close', () => (c.over = true));
    return c;
  };
  const first = client();
  await until('the first', () => Promise.resolve(taken.length === 1 ? true : null));
  assert.equal(listener.reopen(), false, 'not so soon after it was opened');
  const waiting = Array.from({ length: 6 }, client);
  // Their connections are made; the loop has gone round once, and taken one of them in at the most.
  await new Promise((done) => setImmediate(done));
  const before = taken.length;
  assert.ok(before <= 2);
  assert.equal(listener.reopen(0), true);
  await until('resets', () =>
    Promise.resolve(waiting.filter((w) => w.over).length === 7 - before ? true : null),
  );
  assert.equal(taken.length, before);
  const next = client();
  await until('the next', () => Promise.resolve(taken.length === before + 1 ? true : null));
  assert.equal(first.over, false);
  for (const c of [first, next, ...waiting]) c.socket.destroy();
  for (const socket of taken) socket.destroy();
  running.unsubscribe();
});

/** An owner with machines that report, one of which holds a committed replica. */
class Behind {
  readonly scheduler = createSchedulerWithType({ previousLeader: 'none' });
  session = 1;
  private seq = 0;
  private stamp = 10;

  constructor(private readonly machines: number) {}

  late(s: number): void {
    for (let n = 0; n < 20; n++) this.scheduler.recordEventLoopLag(seconds(s));
  }

  /** Each machine reports, with what it is told to hold; what its answer carries comes back. */
  report(s: number, token = 1, holds: Record<string, readonly string[]> = {}): WorkerCommand[] {
    this.seq += 1;
    this.scheduler.handle({ kind: 'leadership-confirmed', confirmedAt: timeAt(s).monotonic }, timeAt(s));
    const commands: WorkerCommand[] = [];
    for (let n = 0; n < this.machines; n++) {
      const tasks = (holds[`m${n}`] ?? []).map((job) => ({
        ...{
          jobId: job,
          taskIndex: 0,
          attempt: 1,
          state: 'running' as const,
          exitReason: null,
          checkpointed: false,
        },
      }));
      const report = { machineName: `m${n}`, endpoint: `m${n}:1`, type: 'big', zone: 'east', spot: false };
      const whole = {
        ...report,
        agentEpoch: this.session,
        sequence: this.seq,
        fencingToken: token,
        preemptionNotice: null,
        tasks,
      };
      this.scheduler.handle({ kind: 'heartbeat', heartbeat: whole }, timeAt(s));
      commands.push(...this.scheduler.answerHeartbeat(whole, timeAt(s)));
    }
    return commands;
  }

  job(
    s: number,
    id: string,
    over: Parameters<typeof jobSpec>[1],
    standing: 'open' | 'cancelled' = 'open',
  ): Effect[] {
    const record = { spec: jobSpec(id, over), submittedAt: timeAt(s).wall, status: standing };
    return this.scheduler.handle({ kind: 'job-changed', id, record, modRevision: ++this.stamp }, timeAt(s));
  }

  commit(s: number): Effect[] {
    const transaction = this.scheduler.nextTransaction(timeAt(s)) as Transaction;
    return this.scheduler.handle(
      { kind: 'transaction-committed', transaction, modRevision: ++this.stamp },
      timeAt(s),
    );
  }

  tick(s: number): Effect[] {
    return this.scheduler.handle({ kind: 'tick' }, timeAt(s));
  }
}

const direct = (effects: readonly Effect[]): Effect[] =>
  effects.filter((effect) => effect.kind === 'send-commands');

test('while the process is behind, starts and stops go with the answers to reports, not by direct calls', () => {
  for (const late of [0, 1]) {
    const b = new Behind(1);
    b.report(0);
    b.late(late);
    b.job(1, 'req-1', {});
    // A pass is made late, but it is made.
    for (const s of [2, 3, 4]) {
      b.report(s);
      b.tick(s);
    }
    assert.equal(direct(b.commit(4)).length, late === 0 ? 1 : 0);
    // The answer carries the start in both cases, until a report shows the task.
    assert.deepEqual(
      b.report(5).map((command) => `${command.op} ${command.jobId}`),
      ['start req-1'],
    );
    b.report(6, 1, { m0: ['req-1'] });
    assert.equal(direct(b.job(7, 'req-1', {}, 'cancelled')).length, late === 0 ? 1 : 0);
    assert.deepEqual(
      b.report(8, 1, { m0: ['req-1'] }).map((command) => `${command.op} ${command.jobId}`),
      ['stop req-1'],
    );
  }
});

/** Makes machines known that have not reported, as a takeover does. */
function listMachines(b: Behind, count: number): void {
  const names = Array.from({ length: count }, (_, n) => `m${n}`);
  const machines = names.map((name) => ({
    ...{ name, endpoint: `${name}:1`, type: 'big', zone: 'east', spot: false },
    ...{ state: 'running' as const, age: seconds(60) },
  }));
  b.scheduler.handle({ kind: 'instance-inventory', machines, requestedAt: timeAt(0).monotonic }, timeAt(0));
}

test('a new owner asks all machines that nobody hears for its token, but hardly any while it is behind', () => {
  for (const late of [0, 1]) {
    const b = new Behind(40);
    listMachines(b, 40);
    b.late(late);
    assert.equal(direct(b.tick(1.2)).length, late === 0 ? 40 : 1);
  }
});

// Direct calls took most of a small core while hundreds of workers came back by themselves, and their leases ran out.
test('while workers come by themselves, hardly any machine is asked; those that came are asked only if they must be', () => {
  const b = new Behind(10);
  listMachines(b, 40);
  b.report(1, 0);
  assert.equal(direct(b.tick(1.5)).length, 1);
  const asked = direct(b.tick(2.2)).map((effect) =>
    effect.kind === 'send-commands' ? effect.machineName : '',
  );
  assert.equal(asked.length, 29, 'the others that nobody heard, but for the one that was just asked');
  assert.deepEqual(
    asked.filter((name) => Number(name.slice(1)) < 10),
    [],
  );
  // They had the token in the answer and should have shown it.
  const silent = direct(b.tick(2.7)).map((effect) =>
    effect.kind === 'send-commands' ? effect.machineName : '',
  );
  assert.equal(silent.filter((name) => Number(name.slice(1)) < 10).length, 10);
});

test('while the process is behind, no machine is returned for its silence, and passes are far apart', () => {
  for (const late of [0, 1]) {
    const b = new Behind(8);
    b.report(0);
    b.job(0, 'req-1', { kind: 'service', priority: 'production', cpus: 8 });
    b.commit(0);
    const [place] = [...b.scheduler.state.machines.byName.values()].filter(
      (machine) => machine.assignments.size > 0,
    );
    assert.ok(place);
    b.late(late);
    assert.equal(minCycleInterval(b.scheduler.state), late === 0 ? 0n : seconds(2));
    const returned: Effect[] = [];
    for (let s = 1; s < 9; s++) {
      // All others go on reporting.
      b.scheduler.handle({ kind: 'leadership-confirmed', confirmedAt: timeAt(s).monotonic }, timeAt(s));
      for (const machine of b.scheduler.state.machines.byName.values())
        if (machine !== place) machine.lastHeartbeatAt = timeAt(s).monotonic;
      returned.push(...b.tick(s).filter((effect) => effect.kind === 'scale-in'));
    }
    assert.equal(returned.length, late === 0 ? 1 : 0);
  }
});

test('while the process is behind, a lease that ran out does not make a machine one that nothing reaches', () => {
  for (const late of [0, 1]) {
    const b = new Behind(1);
    b.report(0);
    b.late(late);
    for (const s of [1, 2, 3]) b.report(s);
    b.session = 2;
    b.report(4);
    const machine = b.scheduler.state.machines.byName.get('m0');
    assert.equal(machine?.unreachableSince === null, late === 1);
  }
});

test('a machine is asked one question at a time, however often it is to be asked', async () => {
  let asked = 0;
  const worker = await listen(() => {
    asked += 1;
    return { status: 409, body: {} };
  });
  const results: string[] = [];
  const workers = new WorkerCommandSender(
    8,
    () => 1,
    () => true,
    (result) => results.push(result.outcome),
  );
  const running = workers.start();
  const question = { machineName: 'm1', endpoint: worker.addr, agentEpoch: 1, commands: [] };
  for (let n = 0; n < 5; n++) workers.push(question);
  await until('an answer', () => Promise.resolve(results.length > 0 ? true : null));
  workers.push(question);
  await until('another', () => Promise.resolve(results.length > 1 ? true : null));
  assert.equal(asked, 2);
  running.unsubscribe();
  worker.close();
});

/** A leader of its own, with two workers, while a test looks at what it asks of the state service. */
async function withLeader(look: (state: StateStandIn) => Promise<void>): Promise<void> {
  const state = new StateStandIn({ txnOps: 4, valueBytes: 4096 });
  await state.start();
  const api = ownAddress();
  const site = await makeSite([api], new Watch(), () => null);
  const controller = startController(platform('one', api, site.cloud, state));
  try {
    await until('a leader', () => Promise.resolve(state.renewals > 0 ? true : null));
    await look(state);
  } finally {
    controller.unsubscribe();
    site.stop();
    state.stop();
  }
}

const ms = (n: number): Promise<void> => new Promise((done) => setTimeout(done, n));

test('at rest a leader asks little of the state service, and changes nothing there', () =>
  withLeader(async (state) => {
    await ms(1500);
    const [asked, rev] = [state.asked, state.rev];
    const began = process.hrtime.bigint();
    await ms(3000);
    const took = Number(process.hrtime.bigint() - began) / 1e9;
    // Two renewals, a compare of the own stamp, and a compare or two for the copy, a second.
    assert.ok(state.asked - asked <= 6 * took, `${state.asked - asked} requests in ${took} s`);
    assert.equal(state.rev, rev);
  }));

test('the lease in the state service is renewed by the clock, also while earlier renewals have no answer', () =>
  withLeader(async (state) => {
    state.renewalsHang = true;
    const before = state.renewals;
    // Within the time after which the first is given up.
    await ms(1400);
    assert.ok(state.renewals - before >= 2, `${state.renewals - before} renewals`);
  }));
