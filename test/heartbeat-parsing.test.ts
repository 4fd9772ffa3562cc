/** @file Parsing of heartbeats: the HTTP head, the fast path and the schema. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseHead } from '../src/edge/http/heartbeat-head.js';
import { parseHeartbeat } from '../src/wire/worker-protocol.js';

const HEARTBEAT = {
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

test('heartbeats: the fast path and the schema yield the same result, and invalid ones are refused', () => {
  const viaFastPath = parseHeartbeat(HEARTBEAT);
  // A count above 32 bits may be decoded as a big integer, which only the schema accepts.
  const viaSchema = parseHeartbeat({ ...HEARTBEAT, tick: 88n, recallS: undefined });
  assert.ok(viaFastPath.ok && viaSchema.ok);
  assert.deepEqual(viaFastPath.value, viaSchema.value);
  assert.deepEqual(viaFastPath.value.tasks[0], {
    jobId: 'req-000412',
    taskIndex: 3,
    attempt: 2,
    state: 'exited',
    exitReason: 'done',
    checkpointed: false,
  });
  for (const invalidFields of [
    { rig: '' },
    { tick: -1 },
    { baton: 1.5 },
    { tickets: {} },
    { tickets: [{ ...HEARTBEAT.tickets[0], standing: 'toString' }] },
    { tickets: [{ ...HEARTBEAT.tickets[0], ticket: 'req-1' }] },
    { tickets: [null] },
  ])
    assert.equal(parseHeartbeat({ ...HEARTBEAT, ...invalidFields }).ok, false, JSON.stringify(invalidFields));
});

test('a heartbeat is recognised in the bytes of a connection, and all other requests are left to the general server', () => {
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
