/** @file Validation of submitted jobs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seconds } from '../src/core/model/time.js';
import { parseSubmission } from '../src/wire/user-protocol.js';

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

test('a submission: nullable fields may be missing, unknown ones are ignored, and invalid ones are refused', () => {
  const parsed = parseSubmission(BODY);
  assert.ok(parsed.ok);
  assert.equal(parsed.value.kind, 'gang');
  assert.equal(parsed.value.machineTypes, null);
  assert.equal(parsed.value.deadline, seconds(900));
  for (const invalidFields of [
    { tickets: 0 },
    { tickets: 1.5 },
    { shape: 'gang' },
    { ref: 'job-1' },
    { vcpus: -1 },
    { oneZone: null },
  ])
    assert.equal(parseSubmission({ ...BODY, ...invalidFields }).ok, false, JSON.stringify(invalidFields));
  assert.equal(parseSubmission('text').ok, false);
});
