/** @file The requests and responses of every interface, as literals. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import type { CloudInstance, MachineType } from '../src/core/model/machine.js';
import type { Heartbeat } from '../src/core/model/heartbeat.js';
import type { JobSpec } from '../src/core/model/job.js';
import { seconds } from '../src/core/model/time.js';
import { CloudClient } from '../src/edge/cloud/cloud-client.js';
import { StateStore } from '../src/edge/state-store/state-store.js';
import { WorkerCommandSender, type CommandResult } from '../src/edge/workers/worker-command-sender.js';
import { encode } from '../src/wire/cbor.js';
import { encodeJobStatus, parseSubmission } from '../src/wire/user-protocol.js';
import {
  inventoryPath,
  parseInventory,
  parseMachineTypes,
  encodeScaleOut,
  encodeScaleIn,
} from '../src/wire/cloud-protocol.js';
import { encodeCommands, parseHeartbeat, encodeRedirect } from '../src/wire/worker-protocol.js';
import type { ParseResult } from '../src/wire/parse-result.js';
import { assertBytes, assertRequest, decodeGolden, type Golden } from './golden-bytes.js';
import { call } from './standins/http.js';
import { startRecorder } from './standins/recorder.js';
import {
  jobBody,
  startCluster,
  reserveAddress,
  platformSettings,
  startController,
  waitFor,
  waitUntil,
  waitUntilHealthy,
} from './standins/cluster.js';
import { StateStoreStandIn } from './standins/state-store.js';
import { TaskHistory } from './standins/worker.js';

// The requests and responses of every interface as literal bytes, which must stay the same when names in the code change.
// Incoming messages have amounts as floats (4.0), as the other systems encode them.

const silent = pino({ level: 'silent' });

function valueOf<T>(parsed: ParseResult<T>): T {
  assert.ok(parsed.ok, parsed.ok ? '' : parsed.reason);
  return parsed.value;
}

// ---- Users

const FULL_SUBMISSION: Golden = {
  text: '{"ref":"req-000412","docket":"train","desk":"vision","shape":"ensemble","precedence":"high","tickets":16,"vcpus":8,"gpus":1,"memGb":64,"bundle":"img-07","pullGb":6.2,"builds":["g8"],"hall":"a","oneZone":true,"spread":false,"loaners":true,"expectedS":240,"snapshotEveryS":30,"snapshotS":4,"dueS":900,"awaits":["req-7","req-8"]}',
  base64:
    'tWNyZWZqcmVxLTAwMDQxMmZkb2NrZXRldHJhaW5kZGVza2Z2aXNpb25lc2hhcGVoZW5zZW1ibGVqcHJlY2VkZW5jZWRoaWdoZ3Rp' +
    'Y2tldHMQZXZjcHVz+0AgAAAAAAAAZGdwdXP7P/AAAAAAAABlbWVtR2L7QFAAAAAAAABmYnVuZGxlZmltZy0wN2ZwdWxsR2L7QBjM' +
    'zMzMzM1mYnVpbGRzgWJnOGRoYWxsYWFnb25lWm9uZfVmc3ByZWFk9Gdsb2FuZXJz9WlleHBlY3RlZFP7QG4AAAAAAABuc25hcHNo' +
    'b3RFdmVyeVP7QD4AAAAAAABpc25hcHNob3RT+0AQAAAAAAAAZGR1ZVP7QIwgAAAAAABmYXdhaXRzgmVyZXEtN2VyZXEtOA==',
};
const SUBMISSION_WITH_NULLS: Golden = {
  text: '{"ref":"req-1","docket":"web","desk":"shop","shape":"service","precedence":"prod","tickets":3,"vcpus":0.5,"gpus":0,"memGb":2,"bundle":"img-1","pullGb":0,"builds":null,"hall":null,"oneZone":false,"spread":true,"loaners":false,"expectedS":0,"snapshotEveryS":0,"snapshotS":0,"dueS":null,"awaits":null}',
  base64:
    'tWNyZWZlcmVxLTFmZG9ja2V0Y3dlYmRkZXNrZHNob3Blc2hhcGVnc2VydmljZWpwcmVjZWRlbmNlZHByb2RndGlja2V0cwNldmNw' +
    'dXP7P+AAAAAAAABkZ3B1c/sAAAAAAAAAAGVtZW1HYvtAAAAAAAAAAGZidW5kbGVlaW1nLTFmcHVsbEdi+wAAAAAAAAAAZmJ1aWxk' +
    'c/ZkaGFsbPZnb25lWm9uZfRmc3ByZWFk9Wdsb2FuZXJz9GlleHBlY3RlZFP7AAAAAAAAAABuc25hcHNob3RFdmVyeVP7AAAAAAAA' +
    'AABpc25hcHNob3RT+wAAAAAAAAAAZGR1ZVP2ZmF3YWl0c/Y=',
};
const SUBMISSION_WITH_OMISSIONS: Golden = {
  text: '{"ref":"req-1","docket":"web","desk":"shop","shape":"service","precedence":"prod","tickets":3,"vcpus":0.5,"gpus":0,"memGb":2,"bundle":"img-1","pullGb":0,"oneZone":false,"spread":true,"loaners":false,"expectedS":0,"snapshotEveryS":0,"snapshotS":0}',
  base64:
    'sWNyZWZlcmVxLTFmZG9ja2V0Y3dlYmRkZXNrZHNob3Blc2hhcGVnc2VydmljZWpwcmVjZWRlbmNlZHByb2RndGlja2V0cwNldmNw' +
    'dXP7P+AAAAAAAABkZ3B1c/sAAAAAAAAAAGVtZW1HYvtAAAAAAAAAAGZidW5kbGVlaW1nLTFmcHVsbEdi+wAAAAAAAAAAZ29uZVpv' +
    'bmX0ZnNwcmVhZPVnbG9hbmVyc/RpZXhwZWN0ZWRT+wAAAAAAAAAAbnNuYXBzaG90RXZlcnlT+wAAAAAAAAAAaXNuYXBzaG90U/sA' +
    'AAAAAAAAAA==',
};
const SUBMISSION_WITH_UNKNOWN_FIELDS: Golden = {
  text: '{"ref":"req-1","docket":"web","desk":"shop","shape":"service","precedence":"prod","tickets":3,"vcpus":0.5,"gpus":0,"memGb":2,"bundle":"img-1","pullGb":0,"builds":null,"oneZone":false,"spread":true,"loaners":false,"expectedS":0,"snapshotEveryS":0,"snapshotS":0,"kind":"gang","tasks":9}',
  base64:
    'tGNyZWZlcmVxLTFmZG9ja2V0Y3dlYmRkZXNrZHNob3Blc2hhcGVnc2VydmljZWpwcmVjZWRlbmNlZHByb2RndGlja2V0cwNldmNw' +
    'dXP7P+AAAAAAAABkZ3B1c/sAAAAAAAAAAGVtZW1HYvtAAAAAAAAAAGZidW5kbGVlaW1nLTFmcHVsbEdi+wAAAAAAAAAAZmJ1aWxk' +
    'c/Znb25lWm9uZfRmc3ByZWFk9Wdsb2FuZXJz9GlleHBlY3RlZFP7AAAAAAAAAABuc25hcHNob3RFdmVyeVP7AAAAAAAAAABpc25h' +
    'cHNob3RT+wAAAAAAAAAAZGtpbmRkZ2FuZ2V0YXNrcwk=',
};

const fullSpec: JobSpec = {
  id: 'req-000412',
  class: 'train',
  team: 'vision',
  kind: 'gang',
  priority: 'high',
  taskCount: 16,
  cpus: 8,
  gpus: 1,
  memory: 64,
  machineTypes: ['g8'],
  zone: 'a',
  singleZone: true,
  spreadAcrossZones: false,
  allowSpot: true,
  image: 'img-07',
  imageGb: 6.2,
  estimatedDuration: seconds(240),
  checkpointInterval: seconds(30),
  checkpointDuration: seconds(4),
  deadline: seconds(900),
  dependencies: ['req-7', 'req-8'],
};
const minimalSpec: JobSpec = {
  id: 'req-1',
  class: 'web',
  team: 'shop',
  kind: 'service',
  priority: 'production',
  taskCount: 3,
  cpus: 0.5,
  gpus: 0,
  memory: 2,
  machineTypes: null,
  zone: null,
  singleZone: false,
  spreadAcrossZones: true,
  allowSpot: false,
  image: 'img-1',
  imageGb: 0,
  estimatedDuration: 0n,
  checkpointInterval: 0n,
  checkpointDuration: 0n,
  deadline: null,
  dependencies: [],
};

test('a submission is parsed with its optional fields given, null, omitted, and with unknown fields beside them', () => {
  assert.deepEqual(valueOf(parseSubmission(decodeGolden(FULL_SUBMISSION))), fullSpec);
  for (const golden of [SUBMISSION_WITH_NULLS, SUBMISSION_WITH_OMISSIONS, SUBMISSION_WITH_UNKNOWN_FIELDS])
    assert.deepEqual(valueOf(parseSubmission(decodeGolden(golden))), minimalSpec);
});

// Records store other words than the protocol. Both are external formats, so this tests each pair.
test('every job kind and priority has its protocol word', () => {
  const parseWith = (shape: string, precedence: string): JobSpec =>
    valueOf(
      parseSubmission(
        JSON.parse(
          SUBMISSION_WITH_NULLS.text
            .replace('"service"', JSON.stringify(shape))
            .replace('"prod"', JSON.stringify(precedence)),
        ),
      ),
    );
  assert.equal(parseWith('batch', 'prod').kind, 'array');
  assert.equal(parseWith('ensemble', 'prod').kind, 'gang');
  assert.equal(parseWith('service', 'prod').kind, 'service');
  assert.equal(parseWith('batch', 'prod').priority, 'production');
  assert.equal(parseWith('batch', 'high').priority, 'high');
  assert.equal(parseWith('batch', 'normal').priority, 'normal');
  assert.equal(parseWith('batch', 'idle').priority, 'low');
});

// The user receives the reason as text of a response with status 400, so it uses the field names of the protocol.
test('an invalid submission is refused with the field names of the protocol', () => {
  const reasonFor = (change: (text: string) => string): string => {
    const parsed = parseSubmission(JSON.parse(change(FULL_SUBMISSION.text)));
    return parsed.ok ? 'accepted' : parsed.reason;
  };
  assert.equal(
    reasonFor((text) => text.replace('"tickets":16', '"tickets":0')),
    'tickets: Too small: expected number to be >=1',
  );
  assert.equal(
    reasonFor((text) => text.replace('"desk":"vision",', '')),
    'desk: Invalid input: expected string, received undefined',
  );
  assert.equal(
    reasonFor((text) => text.replace('["g8"]', '["g8",7]')),
    'builds.1: Invalid input: expected string, received number',
  );
  assert.equal(
    reasonFor((text) => text.replace('req-7', 'req-000412')),
    'awaits: a job cannot wait for itself',
  );
});

test('a job status is encoded in the bytes of the interface, in each state, with and without task counts', () => {
  const counts = { done: 3, running: 13 };
  assertBytes(encode(encodeJobStatus('req-1', 'pending')), {
    text: '{"ref":"req-1","standing":"pending"}',
    base64: 'omNyZWZlcmVxLTFoc3RhbmRpbmdncGVuZGluZw==',
  });
  assertBytes(encode(encodeJobStatus('req-1', 'running')), {
    text: '{"ref":"req-1","standing":"running"}',
    base64: 'omNyZWZlcmVxLTFoc3RhbmRpbmdncnVubmluZw==',
  });
  assertBytes(encode(encodeJobStatus('req-1', 'done')), {
    text: '{"ref":"req-1","standing":"done"}',
    base64: 'omNyZWZlcmVxLTFoc3RhbmRpbmdkZG9uZQ==',
  });
  assertBytes(encode(encodeJobStatus('req-1', 'cancelled')), {
    text: '{"ref":"req-1","standing":"cancelled"}',
    base64: 'omNyZWZlcmVxLTFoc3RhbmRpbmdpY2FuY2VsbGVk',
  });
  assertBytes(encode(encodeJobStatus('req-1', 'pending', { done: 0, running: 0 })), {
    text: '{"ref":"req-1","standing":"pending","done":0,"running":0}',
    base64: 'pGNyZWZlcmVxLTFoc3RhbmRpbmdncGVuZGluZ2Rkb25lAGdydW5uaW5nAA==',
  });
  assertBytes(encode(encodeJobStatus('req-1', 'running', counts)), {
    text: '{"ref":"req-1","standing":"running","done":3,"running":13}',
    base64: 'pGNyZWZlcmVxLTFoc3RhbmRpbmdncnVubmluZ2Rkb25lA2dydW5uaW5nDQ==',
  });
  assertBytes(encode(encodeJobStatus('req-1', 'done', { done: 16, running: 0 })), {
    text: '{"ref":"req-1","standing":"done","done":16,"running":0}',
    base64: 'pGNyZWZlcmVxLTFoc3RhbmRpbmdkZG9uZWRkb25lEGdydW5uaW5nAA==',
  });
  assertBytes(encode(encodeJobStatus('req-1', 'cancelled', counts)), {
    text: '{"ref":"req-1","standing":"cancelled","done":3,"running":13}',
    base64: 'pGNyZWZlcmVxLTFoc3RhbmRpbmdpY2FuY2VsbGVkZGRvbmUDZ3J1bm5pbmcN',
  });
});

// ---- Workers

const FULL_HEARTBEAT: Golden = {
  text: '{"rig":"n-000231","endpoint":"10.1.0.232:9000","build":"g8","hall":"a","loaners":true,"shift":1,"tick":88,"baton":41,"recallS":62.5,"tickets":[{"ticket":"req-000412/0","try":2,"standing":"pulling"},{"ticket":"req-000412/1","try":2,"standing":"gathering","cause":null,"saved":null},{"ticket":"req-000412/2","try":2,"standing":"running"},{"ticket":"req-000412/3","try":2,"standing":"saving"},{"ticket":"req-000398/0","try":1,"standing":"exited","cause":"done"},{"ticket":"req-000399/10","try":1,"standing":"exited","cause":"stopped","saved":true},{"ticket":"req-000399/11","try":1,"standing":"exited","cause":"no_such","saved":false}]}',
  base64:
    'qmNyaWdobi0wMDAyMzFoZW5kcG9pbnRvMTAuMS4wLjIzMjo5MDAwZWJ1aWxkYmc4ZGhhbGxhYWdsb2FuZXJz9WVzaGlmdAFkdGlj' +
    'axhYZWJhdG9uGClncmVjYWxsU/tAT0AAAAAAAGd0aWNrZXRzh6NmdGlja2V0bHJlcS0wMDA0MTIvMGN0cnkCaHN0YW5kaW5nZ3B1' +
    'bGxpbmelZnRpY2tldGxyZXEtMDAwNDEyLzFjdHJ5AmhzdGFuZGluZ2lnYXRoZXJpbmdlY2F1c2X2ZXNhdmVk9qNmdGlja2V0bHJl' +
    'cS0wMDA0MTIvMmN0cnkCaHN0YW5kaW5nZ3J1bm5pbmejZnRpY2tldGxyZXEtMDAwNDEyLzNjdHJ5AmhzdGFuZGluZ2ZzYXZpbmek' +
    'ZnRpY2tldGxyZXEtMDAwMzk4LzBjdHJ5AWhzdGFuZGluZ2ZleGl0ZWRlY2F1c2VkZG9uZaVmdGlja2V0bXJlcS0wMDAzOTkvMTBj' +
    'dHJ5AWhzdGFuZGluZ2ZleGl0ZWRlY2F1c2Vnc3RvcHBlZGVzYXZlZPWlZnRpY2tldG1yZXEtMDAwMzk5LzExY3RyeQFoc3RhbmRp' +
    'bmdmZXhpdGVkZWNhdXNlZ25vX3N1Y2hlc2F2ZWT0',
};
const IDLE_HEARTBEAT: Golden = {
  text: '{"rig":"n-000231","endpoint":"10.1.0.232:9000","build":"g8","hall":"a","loaners":false,"shift":2,"tick":0,"baton":0,"tickets":[]}',
  base64:
    'qWNyaWdobi0wMDAyMzFoZW5kcG9pbnRvMTAuMS4wLjIzMjo5MDAwZWJ1aWxkYmc4ZGhhbGxhYWdsb2FuZXJz9GVzaGlmdAJkdGlj' +
    'awBlYmF0b24AZ3RpY2tldHOA',
};

const heartbeat: Heartbeat = {
  machineName: 'n-000231',
  endpoint: '10.1.0.232:9000',
  type: 'g8',
  zone: 'a',
  spot: true,
  agentEpoch: 1,
  sequence: 88,
  fencingToken: 41,
  preemptionNotice: seconds(62.5),
  tasks: [
    {
      jobId: 'req-000412',
      taskIndex: 0,
      attempt: 2,
      state: 'fetching',
      exitReason: null,
      checkpointed: false,
    },
    {
      jobId: 'req-000412',
      taskIndex: 1,
      attempt: 2,
      state: 'waiting',
      exitReason: null,
      checkpointed: false,
    },
    {
      jobId: 'req-000412',
      taskIndex: 2,
      attempt: 2,
      state: 'running',
      exitReason: null,
      checkpointed: false,
    },
    {
      jobId: 'req-000412',
      taskIndex: 3,
      attempt: 2,
      state: 'checkpointing',
      exitReason: null,
      checkpointed: false,
    },
    {
      jobId: 'req-000398',
      taskIndex: 0,
      attempt: 1,
      state: 'exited',
      exitReason: 'done',
      checkpointed: false,
    },
    {
      jobId: 'req-000399',
      taskIndex: 10,
      attempt: 1,
      state: 'exited',
      exitReason: 'stopped',
      checkpointed: true,
    },
    {
      jobId: 'req-000399',
      taskIndex: 11,
      attempt: 1,
      state: 'exited',
      exitReason: 'no_such',
      checkpointed: false,
    },
  ],
};
const idleHeartbeat: Heartbeat = {
  ...heartbeat,
  spot: false,
  agentEpoch: 2,
  sequence: 0,
  fencingToken: 0,
  preemptionNotice: null,
  tasks: [],
};

/** The same heartbeat with its sequence number as a big integer, which only the schema accepts. */
const withBigIntSequence = (body: unknown): unknown => {
  const { tick, ...rest } = body as Record<string, unknown>;
  return { ...rest, ['tick']: BigInt(tick as number) };
};

test('a heartbeat is parsed alike by the fast path and by the schema', () => {
  for (const [golden, expected] of [
    [FULL_HEARTBEAT, heartbeat],
    [IDLE_HEARTBEAT, idleHeartbeat],
  ] as const) {
    assert.deepEqual(valueOf(parseHeartbeat(decodeGolden(golden))), expected);
    assert.deepEqual(valueOf(parseHeartbeat(withBigIntSequence(decodeGolden(golden)))), expected);
  }
});

const COMMANDS: readonly WorkerCommand[] = [
  { op: 'start', jobId: 'req-000412', taskIndex: 4, attempt: 2 },
  { op: 'stop', jobId: 'req-000377', taskIndex: 1, attempt: 1, gracePeriodS: 10 },
  { op: 'stop', jobId: 'req-000377', taskIndex: 2, attempt: 1 },
  { op: 'forget', jobId: 'req-000398', taskIndex: 0, attempt: 1 },
];
const COMMANDS_IN_RESPONSE: Golden = {
  text: '{"baton":41,"orders":[{"verb":"run","ticket":"req-000412/4","try":2},{"verb":"halt","ticket":"req-000377/1","try":1,"windDownS":10},{"verb":"halt","ticket":"req-000377/2","try":1,"windDownS":0},{"verb":"forget","ticket":"req-000398/0","try":1}]}',
  base64:
    'omViYXRvbhgpZm9yZGVyc4SjZHZlcmJjcnVuZnRpY2tldGxyZXEtMDAwNDEyLzRjdHJ5AqRkdmVyYmRoYWx0ZnRpY2tldGxyZX' +
    'EtMDAwMzc3LzFjdHJ5AWl3aW5kRG93blMKpGR2ZXJiZGhhbHRmdGlja2V0bHJlcS0wMDAzNzcvMmN0cnkBaXdpbmREb3duUwCj' +
    'ZHZlcmJmZm9yZ2V0ZnRpY2tldGxyZXEtMDAwMzk4LzBjdHJ5AQ==',
};
const COMMANDS_IN_REQUEST: Golden = {
  text: '{"baton":41,"shift":1,"orders":[{"verb":"run","ticket":"req-000412/4","try":2},{"verb":"halt","ticket":"req-000377/1","try":1,"windDownS":10},{"verb":"halt","ticket":"req-000377/2","try":1,"windDownS":0},{"verb":"forget","ticket":"req-000398/0","try":1}]}',
  base64:
    'o2ViYXRvbhgpZXNoaWZ0AWZvcmRlcnOEo2R2ZXJiY3J1bmZ0aWNrZXRscmVxLTAwMDQxMi80Y3RyeQKkZHZlcmJkaGFsdGZ0aW' +
    'NrZXRscmVxLTAwMDM3Ny8xY3RyeQFpd2luZERvd25TCqRkdmVyYmRoYWx0ZnRpY2tldGxyZXEtMDAwMzc3LzJjdHJ5AWl3aW5k' +
    'RG93blMAo2R2ZXJiZmZvcmdldGZ0aWNrZXRscmVxLTAwMDM5OC8wY3RyeQE=',
};

test('heartbeat responses are encoded in the bytes of the interface', () => {
  assertBytes(encode(encodeCommands(41, COMMANDS)), COMMANDS_IN_RESPONSE);
  assertBytes(encode(encodeCommands(41, [])), {
    text: '{"baton":41,"orders":[]}',
    base64: 'omViYXRvbhgpZm9yZGVyc4A=',
  });
  assertBytes(encode(encodeRedirect('hearth-2')), {
    text: '{"foreman":"hearth-2"}',
    base64: 'oWdmb3JlbWFuaGhlYXJ0aC0y',
  });
  assertBytes(encode(encodeRedirect(null)), { text: '{}', base64: 'oA==' });
  // Fencing tokens above 32 bits must stay integers.
  const longTokenResponse = encode(encodeCommands(0x1_0000_0001, []));
  assert.equal(longTokenResponse.toString('base64'), 'omViYXRvbhsAAAABAAAAAWZvcmRlcnOA');
});

test('direct commands are sent in the bytes of the interface, and the heartbeat in the response is parsed', async () => {
  const worker = await startRecorder(() => ({
    status: 200,
    body: JSON.parse(FULL_HEARTBEAT.text) as unknown,
  }));
  const results: CommandResult[] = [];
  const sender = new WorkerCommandSender(
    4,
    () => 41,
    () => true,
    (result) => results.push(result),
  );
  const subscription = sender.start();
  sender.push({ machineName: 'n-000231', endpoint: worker.address, agentEpoch: 1, commands: COMMANDS });
  const { outcome, heartbeat: receivedHeartbeat } = await waitFor('the direct call is answered', () =>
    Promise.resolve(results[0] ?? null),
  );
  subscription.unsubscribe();
  worker.close();
  assert.equal(outcome, 'executed');
  assert.deepEqual(receivedHeartbeat, heartbeat);
  assertRequest(worker.requests[0], 'POST /commands', COMMANDS_IN_REQUEST);
});

// ---- Cloud

const MACHINE_TYPES: Golden = {
  text: '{"builds":[{"label":"g8","vcpus":96,"gpus":8,"memGb":768,"localGb":200,"fetchGbPerS":1.5,"rate":12,"spotPrice":4.5,"bootS":45,"halls":["a","b"]}]}',
  base64:
    'oWZidWlsZHOBqmVsYWJlbGJnOGV2Y3B1c/tAWAAAAAAAAGRncHVz+0AgAAAAAAAAZW1lbUdi+0CIAAAAAAAAZ2xvY2FsR2L7QGkA' +
    'AAAAAABrZmV0Y2hHYlBlclP7P/gAAAAAAABkcmF0ZftAKAAAAAAAAGlzcG90UHJpY2X7QBIAAAAAAABlYm9vdFP7QEaAAAAAAABl' +
    'aGFsbHOCYWFhYg==',
};
const INVENTORY_PAGE: Golden = {
  text: '{"rigs":[{"ref":"n-000231","endpoint":"10.1.0.232:9000","build":"g8","hall":"a","loaners":true,"standing":"running","ageS":61.5},{"ref":"n-000232","endpoint":"10.1.0.233:9000","build":"g8","hall":"b","loaners":false,"standing":"booting","ageS":0},{"ref":"n-000233","endpoint":"10.1.0.234:9000","build":"g8","hall":"b","loaners":false,"standing":"failed","ageS":7}],"hasNext":true}',
  base64:
    'omRyaWdzg6djcmVmaG4tMDAwMjMxaGVuZHBvaW50bzEwLjEuMC4yMzI6OTAwMGVidWlsZGJnOGRoYWxsYWFnbG9hbmVyc/Voc3Rh' +
    'bmRpbmdncnVubmluZ2RhZ2VT+0BOwAAAAAAAp2NyZWZobi0wMDAyMzJoZW5kcG9pbnRvMTAuMS4wLjIzMzo5MDAwZWJ1aWxkYmc4' +
    'ZGhhbGxhYmdsb2FuZXJz9GhzdGFuZGluZ2dib290aW5nZGFnZVP7AAAAAAAAAACnY3JlZmhuLTAwMDIzM2hlbmRwb2ludG8xMC4x' +
    'LjAuMjM0OjkwMDBlYnVpbGRiZzhkaGFsbGFiZ2xvYW5lcnP0aHN0YW5kaW5nZmZhaWxlZGRhZ2VT+0AcAAAAAAAAZ2hhc05leHT1',
};
const SCALE_OUT: Golden = {
  text: '{"hire":"r-17","build":"g8","hall":"a","loaners":true,"number":12}',
  base64: 'pWRoaXJlZHItMTdlYnVpbGRiZzhkaGFsbGFhZ2xvYW5lcnP1Zm51bWJlcgw=',
};
const SCALE_IN: Golden = {
  text: '{"rigs":["n-000231","n-000232"]}',
  base64: 'oWRyaWdzgmhuLTAwMDIzMWhuLTAwMDIzMg==',
};

const machineTypes: MachineType[] = [
  {
    name: 'g8',
    cpus: 96,
    gpus: 8,
    memory: 768,
    cacheGb: 200,
    fetchGbPerS: 1.5,
    price: 12,
    spotPrice: 4.5,
    bootTime: seconds(45),
    zones: ['a', 'b'],
  },
];
const instances: CloudInstance[] = [
  {
    name: 'n-000231',
    endpoint: '10.1.0.232:9000',
    type: 'g8',
    zone: 'a',
    spot: true,
    state: 'running',
    age: seconds(61.5),
  },
  {
    name: 'n-000232',
    endpoint: '10.1.0.233:9000',
    type: 'g8',
    zone: 'b',
    spot: false,
    state: 'booting',
    age: 0n,
  },
  {
    name: 'n-000233',
    endpoint: '10.1.0.234:9000',
    type: 'g8',
    zone: 'b',
    spot: false,
    state: 'failed',
    age: seconds(7),
  },
];

test('cloud requests are encoded and their responses parsed in the bytes of the interface', async () => {
  const scaleOutRequest = { type: 'g8', zone: 'a', spot: true, count: 12 };
  assert.deepEqual(valueOf(parseMachineTypes(decodeGolden(MACHINE_TYPES))), machineTypes);
  assert.deepEqual(valueOf(parseInventory(decodeGolden(INVENTORY_PAGE))), {
    machines: instances,
    hasMore: true,
  });
  assertBytes(encode(encodeScaleOut('r-17', scaleOutRequest)), SCALE_OUT);
  assertBytes(encode(encodeScaleIn(['n-000231', 'n-000232'])), SCALE_IN);
  assert.equal(inventoryPath(null, 500), '/machines?page=500');
  assert.equal(inventoryPath('n-000231', 500), '/machines?from=n-000231&page=500');

  const cloud = await startRecorder((line) => {
    if (line === 'GET /flavors') return { status: 200, body: decodeGolden(MACHINE_TYPES) };
    if (line === 'GET /machines?page=500') return { status: 200, body: decodeGolden(INVENTORY_PAGE) };
    if (line.startsWith('GET '))
      return { status: 200, body: JSON.parse('{"rigs":[],"hasNext":false}') as unknown };
    return { status: 200, body: JSON.parse('{"rigs":["n-000240"]}') as unknown };
  });
  const client = new CloudClient(cloud.address, 20, silent);
  const { signal } = new AbortController();
  assert.deepEqual(await client.listMachineTypes(signal), machineTypes);
  assert.deepEqual(await client.listInstances(signal), instances);
  assert.deepEqual(await client.scaleOut('r-17', scaleOutRequest, signal), ['n-000240']);
  assert.equal(await client.scaleIn(['n-000231', 'n-000232'], () => true, signal), true);
  cloud.close();
  const [first, second, third, fourth, fifth] = cloud.requests;
  assertRequest(first, 'GET /flavors', null);
  assertRequest(second, 'GET /machines?page=500', null);
  assertRequest(third, 'GET /machines?from=n-000233&page=500', null);
  assertRequest(fourth, 'POST /machines', SCALE_OUT);
  assertRequest(fifth, 'POST /machines/return', SCALE_IN);
});

// ---- State store

const COMMIT: Golden = {
  text: '{"guards":[{"key":"main/part/all","stamp":412},{"key":"main/job/req-1","stamp":0}],"writes":[{"write":"main/part/all","value":{"a":1},"permit":7},{"write":"main/page/all/0","value":"x"},{"delete":"main/c"}]}',
  base64:
    'omZndWFyZHOComNrZXltbWFpbi9wYXJ0L2FsbGVzdGFtcBkBnKJja2V5bm1haW4vam9iL3JlcS0xZXN0YW1wAGZ3cml0ZXODo2' +
    'V3cml0ZW1tYWluL3BhcnQvYWxsZXZhbHVloWFhAWZwZXJtaXQHomV3cml0ZW9tYWluL3BhZ2UvYWxsLzBldmFsdWVheKFmZGVs' +
    'ZXRlZm1haW4vYw==',
};
const STORE_RESPONSES: Record<string, string> = {
  'GET /store/main/part/all':
    '{"key":"main/part/all","value":{"label":"hearth-1","incarnation":"i-1"},"stamp":412,"permit":7}',
  'POST /commit': '{"ledgerRev":432}',
  'POST /holds': '{"permit":7}',
  'POST /holds/7/touch': '{}',
  'DELETE /holds/7': '{}',
  'GET /store?under=main/&page=500':
    '{"items":[{"key":"main/x","value":"1","stamp":9}],"hasNext":true,"ledgerRev":431}',
  'GET /store?under=main/&page=500&from=main/x':
    '{"items":[{"key":"main/y","value":"2","stamp":10}],"hasNext":false,"ledgerRev":432}',
  'GET /follow?under=main/&from=431&holdMs=20000':
    '{"ledgerRev":433,"news":[{"write":"main/x","value":"3","stamp":433},{"delete":"main/y","stamp":432}]}',
};

test('state store requests are encoded and their responses parsed in the bytes of the interface', async () => {
  const server = await startRecorder((line) => {
    const text = STORE_RESPONSES[line];
    return text === undefined ? null : { status: 200, body: JSON.parse(text) as unknown };
  });
  const stateStore = new StateStore(server.address, silent);
  const leader = await stateStore.read('main/part/all', 1000);
  assert.deepEqual(
    encode(leader.kind === 'found' ? leader.value : null),
    encode(JSON.parse('{"label":"hearth-1","incarnation":"i-1"}')),
  );
  const compareConditions = [
    { key: 'main/part/all', modRevision: 412 },
    { key: 'main/job/req-1', modRevision: 0 },
  ];
  const result = await stateStore.commit(compareConditions, [
    { kind: 'put', key: 'main/part/all', value: { a: 1 }, leaseId: 7 },
    { kind: 'put', key: 'main/page/all/0', value: 'x' },
    { kind: 'delete', key: 'main/c' },
  ]);
  assert.deepEqual(result, { kind: 'committed', revision: 432 });
  await stateStore.commit([], []);
  assert.equal(await stateStore.grantLease(5000), 7);
  assert.equal(await stateStore.renewLease(7), 'renewed');
  await stateStore.revokeLease(7);
  const subscription = stateStore.start();
  assert.equal(await stateStore.waitForRevision(433, 3000), true);
  await waitUntil('the next watch request', () => server.requests.length >= 10);
  subscription.unsubscribe();
  server.close();
  assert.deepEqual([...stateStore.replica], [['main/x', { value: '3', modRevision: 433 }]]);

  const sent = server.requests;
  assertRequest(sent[0], 'GET /store/main/part/all', null);
  assertRequest(sent[1], 'POST /commit', COMMIT);
  assertRequest(sent[2], 'POST /commit', {
    text: '{"guards":[],"writes":[]}',
    base64: 'omZndWFyZHOAZndyaXRlc4A=',
  });
  assertRequest(sent[3], 'POST /holds', { text: '{"ttlMs":5000}', base64: 'oWV0dGxNcxkTiA==' });
  assertRequest(sent[4], 'POST /holds/7/touch', null);
  assertRequest(sent[5], 'DELETE /holds/7', null);
  assertRequest(sent[6], 'GET /store?under=main/&page=500', null);
  assertRequest(sent[7], 'GET /store?under=main/&page=500&from=main/x', null);
  assertRequest(sent[8], 'GET /follow?under=main/&from=431&holdMs=20000', null);
  assertRequest(sent[9], 'GET /follow?under=main/&from=433&holdMs=20000', null);
});

test('state store failures are parsed from its responses', async () => {
  const server = await startRecorder((line) =>
    line === 'POST /commit'
      ? { status: 409, body: JSON.parse('{"failed":["a/b"],"ledgerRev":431}') as unknown }
      : { status: 404, body: JSON.parse('{"ledgerRev":431}') as unknown },
  );
  const stateStore = new StateStore(server.address, silent);
  assert.deepEqual(await stateStore.commit([], []), { kind: 'conflict', failedKeys: ['a/b'], revision: 431 });
  assert.equal((await stateStore.read('main/part/all', 1000)).kind, 'absent');
  assert.equal(await stateStore.renewLease(7), 'expired');
  server.close();
});

/** A transaction as text, with placeholders for the values that differ from run to run. */
const transactionText = (body: unknown): string =>
  JSON.stringify(body)
    .replace(/"stamp":[1-9]\d*/g, '"stamp":N')
    .replace(/"permit":\d+/g, '"permit":N')
    .replace(/"incarnation":"one-\d+-\d+"/g, '"incarnation":"one-X"')
    .replace(/"at":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z"/g, '"at":"T"')
    .replace(/n-00000\d\.1\.[01]"/g, 'MACHINE"');

const recordText = (standing: string): string =>
  `{"st":"${standing}","at":"T","s":{"id":"req-5","class":"work","team":"red","kind":"array","priority":"normal","tasks":1,"cpus":1,"gpus":1,"memory":4,"types":null,"zone":null,"oneZone":false,"spread":false,"spot":false,"image":"img","imageGb":1,"estimate":1,"checkpoint":0,"save":0,"due":null}}`;

/** Expected parts of the transactions. A final status may share its transaction with a page. */
const TRANSACTIONS = [
  '{"guards":[],"writes":[]}',
  '{"guards":[{"key":"main/version/one","stamp":0}],"writes":[{"write":"main/version/one","value":{"features":["dependencies"]}}]}',
  '{"guards":[{"key":"main/part/all","stamp":0}],"writes":[{"write":"main/part/all","value":{"label":"one","incarnation":"one-X"},"permit":N}]}',
  '{"guards":[{"key":"main/part/all","stamp":N}],"writes":[]}',
  `{"guards":[{"key":"main/job/req-5","stamp":0}],"writes":[{"write":"main/job/req-5","value":${recordText('open')}}]}`,
  '{"guards":[{"key":"main/part/all","stamp":N},{"key":"main/job/req-5","stamp":N},{"key":"main/page/all/0","stamp":0}],"writes":[{"write":"main/page/all/0","value":"east,west|req-5/0 a1 c0,1  0.1.MACHINE"}]}',
  `{"write":"main/job/req-5","value":${recordText('done')}}`,
];

// Several parts of the program build transactions, so this runs a whole controller and records what it sends.
test('a controller writes its version, leader key, a job, an assignment and a final status in the expected transactions', async () => {
  const stateStore = new StateStoreStandIn({ txnOps: 4, valueBytes: 4096 });
  await stateStore.start();
  const apiAddress = reserveAddress();
  const cluster = await startCluster([apiAddress], new TaskHistory(), () => 100);
  const controller = startController(platformSettings('one', apiAddress, cluster.cloudAddress, stateStore));
  const missingTransactions = (): string[] => {
    const sent = stateStore.transactions.map(transactionText);
    return TRANSACTIONS.filter((each) => !sent.some((text) => text.includes(each)));
  };
  try {
    await waitUntilHealthy(apiAddress);
    const accepted = await call(apiAddress, 'POST', '/work', jobBody('req-5'));
    assert.equal(accepted.status, 201);
    assert.equal(accepted.body['ref'], 'req-5');
    assert.equal(accepted.body['standing'], 'pending');
    assert.equal(accepted.body['done'], 0);
    assert.equal(accepted.body['running'], 0);
    // A timeout is ignored here, because the next check reports what is missing.
    await waitUntil('all transactions', () => missingTransactions().length === 0).catch(() => undefined);
    assert.deepEqual(missingTransactions(), [], stateStore.transactions.map(transactionText).join('\n'));
    const statusResponse = await call(apiAddress, 'GET', '/work/req-5');
    assert.equal(statusResponse.status, 200);
    assert.equal(statusResponse.body['standing'], 'done');
    assert.equal(statusResponse.body['done'], 1);
  } finally {
    controller.unsubscribe();
    cluster.stop();
    stateStore.stop();
  }
});
