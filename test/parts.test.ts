import assert from 'node:assert/strict';
import { test } from 'node:test';
import { contentionCost, grantedCpu } from '../src/core/scheduling/scoring.js';
import { acknowledgementWindow, previousLeadersDeadlineFrom } from '../src/core/state/leadership-timing.js';
import { seconds, toSeconds } from '../src/core/model/time.js';
import { DEFAULT_SETTINGS, parseOperatorSettings } from '../src/edge/config/operator-settings.js';
import { decode, encode } from '../src/wire/cbor.js';
import { FrameReader, encodeStatus } from '../src/wire/frames.js';
import { parseHead } from '../src/edge/http/heartbeat-head.js';
import { parseHeartbeat, parseSubmission } from '../src/wire/protocol.js';
import { taskCountsIn, pageKey, parseKey, decodePage, encodePage } from '../src/wire/records.js';
import { CHUNK_TASKS, chunkRecordOf } from '../src/core/records/chunks.js';
import { endAssignment, assignTask } from '../src/core/assignments/assignments.js';
import { getOrAddMachine } from '../src/core/machines/machine-registry.js';
import { operationCount, onCommitted } from '../src/core/persistence/transactions.js';
import { ClusterScheduler } from '../src/core/cluster-scheduler.js';
import { pageEntriesOf } from '../src/core/records/record-pages.js';
import { FACTS, spec } from './player.js';

test('whole numbers above 32 bits stay integers on the wire, and fields without a value are left out', () => {
  assert.equal(encode(2 ** 40).toString('hex'), '1b0000010000000000');
  assert.equal(encode(2 ** 53 - 1).toString('hex'), '1b001fffffffffffff');
  assert.equal(encode({ a: undefined, b: 1 }).toString('hex'), 'a1616201');
  assert.equal(decode(Buffer.from('fb4010000000000000', 'hex')), 4);
});

test('granted CPU and contention follow the paper', () => {
  assert.equal(grantedCpu(4, 4, 0.5), 4);
  assert.equal(grantedCpu(2, 6, 0.5), 3);
  assert.equal(grantedCpu(2, 48, 0.5), 4);
  assert.equal(contentionCost(0, DEFAULT_SETTINGS), 0);
  assert.ok(
    Math.abs(contentionCost(3, DEFAULT_SETTINGS) - (DEFAULT_SETTINGS.betaCs + 4 * DEFAULT_SETTINGS.betaRc)) <
      1e-12,
  );
});

test('the lease and the time a cut owner answers fit in the time a cancellation has', () => {
  const span = acknowledgementWindow(FACTS);
  assert.ok(span > 0n && toSeconds(span + FACTS.workerLease) < toSeconds(FACTS.cancellationDeadline));
  assert.ok(previousLeadersDeadlineFrom(FACTS, 0n) > span);
});

test("operators' settings: ranges and the line of a mistake", () => {
  assert.equal(parseOperatorSettings('(placement (alpha 0.3)) ; ok', 'f').alpha, 0.3);
  assert.throws(
    () => parseOperatorSettings('(placement\n (alpha 0.8))', 'f'),
    /f:2: alpha must be from 0.25 to 0.75/,
  );
  assert.throws(() => parseOperatorSettings('(placement\n\n (beta 1))', 'f'), /f:3: unknown setting "beta"/);
  assert.throws(() => parseOperatorSettings('(fleet (idle-s soon))', 'f'), /takes one number/);
});

test('a page with the longest names stays below the value limit, and comes back as it was', () => {
  const scheduler = new ClusterScheduler(FACTS, DEFAULT_SETTINGS, {
    fencingToken: 1,
    startedAt: 0n,
    confirmedAt: 0n,
    previousLeadersDeadline: 0n,
  });
  const now = { monotonic: 0n, wall: new Date(0) };
  const zone = 'a-zone-with-a-name';
  for (let n = 0; n < 12; n++) {
    const id = `req-00000${n}`;
    const record = { spec: spec(id, { taskCount: 100_000 }), submittedAt: now.wall, status: 'open' as const };
    scheduler.handle({ kind: 'job-changed', id, record, modRevision: n + 1 }, now);
  }
  const machine = getOrAddMachine(scheduler.state, 'n-000000231', 0n);
  machine.agentEpoch = 999;
  machine.zone = zone;
  for (const job of scheduler.state.jobs.byId.values())
    for (let t = 0; t < 3 * CHUNK_TASKS; t++) assignTask(scheduler.state, job, 99_000 + t, 9999, machine, 0n);
  assert.ok(
    scheduler.state.records.pages.size > 12 && scheduler.state.records.pages.size < 40,
    `${scheduler.state.records.pages.size} pages`,
  );
  for (const page of scheduler.state.records.pages.values()) {
    const entries = pageEntriesOf(page, chunkRecordOf);
    const out = encodePage(entries, ['east', 'west']);
    assert.ok(JSON.stringify(out).length <= 4096, `${out.length} characters`);
    assert.deepEqual(decodePage(decode(encode(out))), entries);
    assert.equal(
      taskCountsIn(out).reduce((sum, c) => sum + c.placed, 0),
      entries.reduce((sum, entry) => sum + entry.record.assignments.length, 0),
    );
  }
  assert.deepEqual(parseKey(pageKey('all', 3)), { kind: 'page', partition: 'all', id: 3 });
});

const BODY = {
  ref: 'req-000412',
  docket: 'train',
  desk: 'vision',
  shape: 'ensemble',
  precedence: 'high',
  tickets: 16,
  vcpus: 8,
  gpus: 1,
  memGb: 64,
  bundle: 'img-07',
  pullGb: 6.2,
  oneZone: true,
  spread: false,
  loaners: true,
  expectedS: 240,
  snapshotEveryS: 30,
  snapshotS: 4,
  dueS: 900,
  somethingNew: 1,
};

test('a submission: fields that may be null may be missing, unknown ones are ignored, wrong ones refused', () => {
  const r = parseSubmission(BODY);
  assert.ok(r.ok);
  assert.equal(r.value.kind, 'gang');
  assert.equal(r.value.machineTypes, null);
  assert.equal(r.value.deadline, seconds(900));
  for (const wrong of [
    { tickets: 0 },
    { tickets: 1.5 },
    { shape: 'gang' },
    { ref: 'job-1' },
    { vcpus: -1 },
    { oneZone: null },
  ])
    assert.equal(parseSubmission({ ...BODY, ...wrong }).ok, false, JSON.stringify(wrong));
  assert.equal(parseSubmission('text').ok, false);
});

test('a job that is done is marked so however many pages go on changing', () => {
  // Seen on a large fleet: pages took every change of every transaction, and users heard of the end 100 s late.
  const scheduler = new ClusterScheduler(FACTS, DEFAULT_SETTINGS, {
    fencingToken: 1,
    startedAt: 0n,
    confirmedAt: 0n,
    previousLeadersDeadline: 0n,
  });
  const state = scheduler.state;
  const now = { monotonic: seconds(1), wall: new Date(0) };
  const machine = getOrAddMachine(state, 'm', 0n);
  machine.agentEpoch = 1;
  const add = (id: string, tasks: number): void => {
    const record = { spec: spec(id, { taskCount: tasks }), submittedAt: now.wall, status: 'open' as const };
    scheduler.handle({ kind: 'job-changed', id, record, modRevision: 5 }, now);
  };
  add('req-1', 1);
  const first = state.jobs.byId.get('req-1');
  assert.ok(first !== undefined);
  const assignment = assignTask(state, first, 0, 1, machine, now.monotonic);
  onCommitted(state, scheduler.nextTransaction(now) ?? assert.fail('nothing to commit'), 10, now);
  for (let n = 0; n < 3 * FACTS.maxTransactionOperations; n++) {
    add(`req-2${n}`, 120);
    const job = state.jobs.byId.get(`req-2${n}`);
    if (job !== undefined) for (let t = 0; t < 120; t++) assignTask(state, job, t, 1, machine, now.monotonic);
  }
  endAssignment(state, assignment, true, 'done', now.monotonic);
  const told: string[] = [];
  for (let n = 0; n < 4 && told.length === 0; n++) {
    const transaction = scheduler.nextTransaction(now) ?? assert.fail('nothing to commit');
    assert.ok(operationCount(transaction) <= FACTS.maxTransactionOperations);
    told.push(...transaction.completedJobs);
    onCommitted(state, transaction, 20 + n, now);
  }
  assert.deepEqual(told, ['req-1']);
});

const HELLO = {
  rig: 'n-000231',
  endpoint: '10.1.0.232:9000',
  build: 'g8',
  hall: 'a',
  loaners: false,
  shift: 1,
  tick: 88,
  baton: 41,
  recallS: null,
  tickets: [{ ticket: 'req-000412/3', try: 2, standing: 'exited', cause: 'done' }],
};

test('reports: the short way and the schema read the same, and what is wrong is refused', () => {
  const plain = parseHeartbeat(HELLO);
  // A count above 32 bits may come as a big integer: that goes to the schema.
  const long = parseHeartbeat({ ...HELLO, tick: 88n, recallS: undefined });
  assert.ok(plain.ok && long.ok);
  assert.deepEqual(plain.value, long.value);
  assert.deepEqual(plain.value.tasks[0], {
    jobId: 'req-000412',
    taskIndex: 3,
    attempt: 2,
    state: 'exited',
    exitReason: 'done',
    checkpointed: false,
  });
  for (const wrong of [
    { rig: '' },
    { tick: -1 },
    { baton: 1.5 },
    { tickets: {} },
    { tickets: [{ ...HELLO.tickets[0], standing: 'toString' }] },
    { tickets: [{ ...HELLO.tickets[0], ticket: 'req-1' }] },
    { tickets: [null] },
  ])
    assert.equal(parseHeartbeat({ ...HELLO, ...wrong }).ok, false, JSON.stringify(wrong));
});

test('a report is found in what has come of a connection; everything else is left to the general server', () => {
  const head = 'POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n';
  assert.deepEqual(parseHead(Buffer.from(`${head}abcPOST`), 100), {
    kind: 'heartbeat',
    bodyStart: head.length,
    bodyEnd: head.length + 3,
    close: false,
  });
  for (let n = 1; n < head.length + 3; n++)
    assert.equal(
      parseHead(Buffer.from(`${head}abc`.slice(0, n)), 100).kind,
      'incomplete',
      `after ${n} bytes`,
    );
  for (const other of [
    'GET /healthz HTTP/1.1\r\n',
    'POST /hello2 HTTP/1.1\r\n',
    head.replace('Content-Length: 3', 'Transfer-Encoding: chunked'),
    head.replace(': 3', ': -3'),
    head.replace(': 3', ': 101'),
    `${head.slice(0, -4)}\r\nContent-Length: 4\r\n\r\n`,
    `${head.slice(0, -4)}${'x'.repeat(9000)}`,
  ])
    assert.equal(parseHead(Buffer.from(other), 100).kind, 'other', other.slice(0, 60));
});

test('frames between controllers: cut anywhere they come whole; what is no frame is refused', () => {
  const status = {
    label: 'hearth-1',
    isLeader: true,
    stateStoreContactMs: 1234,
    fencingToken: 2n ** 53n + 1n,
  };
  const raw = Buffer.concat([
    encodeStatus(status),
    encodeStatus({ ...status, isLeader: false, stateStoreContactMs: null }),
  ]);
  for (let n = 0; n <= raw.length; n++) {
    const r = new FrameReader();
    const got = [...r.push(raw.subarray(0, n)), ...r.push(raw.subarray(n))];
    assert.deepEqual(got, [status, { ...status, isLeader: false, stateStoreContactMs: null }]);
  }
  const later = Buffer.from(encodeStatus(status));
  later.writeUInt8(9, 2);
  assert.deepEqual(new FrameReader().push(later), [], 'a version not known yet is passed over');
  assert.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n')), /not a frame/);
  const long = Buffer.from(encodeStatus(status));
  long.writeUInt16BE(60_000, 4);
  assert.throws(() => new FrameReader().push(long), /too long/);
  const lying = Buffer.from(encodeStatus(status));
  lying.writeUInt8(200, 19);
  assert.throws(() => new FrameReader().push(lying), /too short/);
});
