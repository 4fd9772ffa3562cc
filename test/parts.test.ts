import assert from 'node:assert/strict';
import { test } from 'node:test';
import { contention, grantedCpu } from '../src/core/placement.js';
import { answeringSpan, othersQuietFrom } from '../src/core/parts.js';
import { seconds, toSeconds } from '../src/core/time.js';
import { DEFAULTS, parseKnobs } from '../src/edge/knobs.js';
import { decode, encode } from '../src/wire/cbor.js';
import { parseSubmission } from '../src/wire/dialect.js';
import { countsIn, pageKey, parseKey, readPage, writePage } from '../src/wire/records.js';
import { CHUNK_TASKS, image, machineOf, place } from '../src/core/jobs.js';
import { Owner } from '../src/core/owner.js';
import { entriesOf } from '../src/core/pages.js';
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

test('a page with the longest names stays below the value limit, and comes back as it was', () => {
  const o = new Owner(FACTS, DEFAULTS, { token: 1, began: 0n, othersQuiet: 0n });
  const now = { steady: 0n, wall: new Date(0) };
  const zone = 'a-zone-with-a-name';
  for (let n = 0; n < 12; n++) {
    const id = `req-00000${n}`;
    const record = { spec: spec(id, { tasks: 100_000 }), submitted: now.wall, standing: 'open' as const };
    o.handle({ kind: 'job', id, record, stamp: n + 1 }, now);
  }
  const m = machineOf(o.world, 'n-000000231', 0n);
  m.session = 999;
  m.zone = zone;
  for (const job of o.world.jobs.values())
    for (let t = 0; t < 3 * CHUNK_TASKS; t++) place(o.world, job, 99_000 + t, 9999, m, 0n);
  assert.ok(o.world.pages.size > 12 && o.world.pages.size < 40, `${o.world.pages.size} pages`);
  for (const page of o.world.pages.values()) {
    const entries = entriesOf(page, image);
    const out = writePage(entries, ['east', 'west']);
    assert.ok(JSON.stringify(out).length <= 4096, `${out.length} characters`);
    assert.deepEqual(readPage(decode(encode(out))), entries);
    assert.equal(
      countsIn(out).reduce((sum, c) => sum + c.placed, 0),
      entries.reduce((sum, e) => sum + e.image.intents.length, 0),
    );
  }
  assert.deepEqual(parseKey(pageKey('all', 3)), { kind: 'page', part: 'all', id: 3 });
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
