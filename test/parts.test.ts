import assert from 'node:assert/strict';
import { test } from 'node:test';
import { contention, grantedCpu } from '../src/core/placement.js';
import { answeringSpan, othersQuietFrom } from '../src/core/parts.js';
import { seconds, toSeconds } from '../src/core/time.js';
import { DEFAULTS, parseKnobs } from '../src/edge/knobs.js';
import { decode, encode } from '../src/wire/cbor.js';
import { parseSubmission } from '../src/wire/dialect.js';
import { chunkKey, parseKey, readChunk, writeChunk } from '../src/wire/records.js';
import { CHUNK_TASKS } from '../src/core/jobs.js';
import { FACTS } from './player.js';

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
  assert.equal(contention(0, DEFAULTS), 0);
  assert.ok(Math.abs(contention(3, DEFAULTS) - (DEFAULTS.betaCs + 4 * DEFAULTS.betaRc)) < 1e-12);
});

test('the lease and the time a cut owner answers fit in the time a cancellation has', () => {
  const span = answeringSpan(FACTS);
  assert.ok(span > 0n && toSeconds(span + FACTS.lease) < toSeconds(FACTS.cancel));
  assert.ok(othersQuietFrom(FACTS, 0n) > span);
});

test("operators' settings: ranges and the line of a mistake", () => {
  assert.equal(parseKnobs('(placement (alpha 0.3)) ; ok', 'f').alpha, 0.3);
  assert.throws(() => parseKnobs('(placement\n (alpha 0.8))', 'f'), /f:2: alpha must be from 0.25 to 0.75/);
  assert.throws(() => parseKnobs('(placement\n\n (beta 1))', 'f'), /f:3: unknown setting "beta"/);
  assert.throws(() => parseKnobs('(fleet (idle-s soon))', 'f'), /takes one number/);
});

test('a chunk with the longest names stays below the value limit, and comes back as it was', () => {
  const tasks = [...Array(CHUNK_TASKS).keys()];
  const image = {
    attempt: 9999,
    done: tasks.filter((t) => t % 2 === 0),
    intents: tasks.map((task) => ({
      task: task + 99_000,
      attempt: 9999,
      machine: 'n-000000231',
      session: 999,
      zone: 'a-zone-with-a-rather-long-name',
    })),
  };
  const out = writeChunk(image);
  assert.ok(JSON.stringify(out).length < 4096 - 200);
  assert.deepEqual(readChunk(decode(encode(out))), image);
  assert.deepEqual(parseKey(chunkKey('req-1', 3)), { kind: 'chunk', job: 'req-1', index: 3 });
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
  assert.equal(r.value.types, null);
  assert.equal(r.value.due, seconds(900));
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
