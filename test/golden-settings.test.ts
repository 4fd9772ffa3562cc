/** @file The settings files, their error messages and the command line, as literals. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import type { ClusterConfig } from '../src/core/model/cluster-config.js';
import type { OperatorSettings } from '../src/core/model/operator-settings.js';
import { seconds } from '../src/core/model/time.js';
import { parseFeatures, readFeatures } from '../src/edge/config/features.js';
import {
  DEFAULT_SETTINGS,
  SETTING_DEFINITIONS,
  parseOperatorSettings,
  readOperatorSettings,
} from '../src/edge/config/operator-settings.js';
import { clusterConfigFrom, readPlatformSettings } from '../src/edge/config/platform-settings.js';
import { SettingsError } from '../src/edge/config/settings-error.js';

// The settings files of the platform and the operators, and the error messages for mistakes in them. The files are text
// here, so that renaming an identifier cannot change the input.

const folder = mkdtempSync(join(tmpdir(), 'golden-'));
after(() => rmSync(folder, { recursive: true }));

function writeSettings(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

const PLATFORM = `{
  "label": "hearth-0",
  "area": "midtown",
  "api_addr": "10.0.0.1:8080",
  "internal_addr": "10.0.0.1:8081",
  "known": [{"label": "hearth-1", "area": "augusta", "endpoint": "10.0.0.2:8081"}],
  "external": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
  "facts": {
    "nodes": 3,
    "zones": ["augusta", "midtown"],
    "teams": [{"name": "desk-ops", "cpus": 1.5, "cpus_max": 8.0, "gpus": 2.0, "gpus_max": 4.0}],
    "objectives": [
      {"kind": "wait", "class": "live-validator", "within_s": 1.5, "share": 0.85},
      {"kind": "cost"}
    ],
    "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 49.0},
    "state": {
      "rps": 100.0, "write_rps": 18.0, "value_kb": 4.0, "txn_ops": 8,
      "next": {"write_rps": 9.5, "value_kb": 2.5, "txn_ops": 6}
    },
    "cloud": {"rps": 5.0, "list_lag_s": 4.0},
    "limits": {"core_share": 0.34, "memory_mb": 242.0, "max_sockets": 2000},
    "skew_ms": 5.0
  }
}`;

const config: ClusterConfig = {
  zones: ['augusta', 'midtown'],
  teams: [{ name: 'desk-ops', fairShareCpus: 1.5, fairShareGpus: 2, cpuQuota: 8, gpuQuota: 4 }],
  objectives: [
    { kind: 'wait', class: 'live-validator', threshold: seconds(1.5), share: 0.85 },
    { kind: 'cost', class: '', threshold: null, share: 1 },
  ],
  heartbeatInterval: seconds(3),
  workerLease: seconds(24),
  gangStartTimeout: seconds(30),
  gangPeerTimeout: seconds(8),
  cancellationDeadline: seconds(49),
  maxTransactionOperations: 6,
  maxValueBytes: 2560,
  maxAssignments: 24_780,
  inventoryLag: seconds(4),
};

test('all platform settings are read', () => {
  const platform = readPlatformSettings(writeSettings('whole.json', PLATFORM));
  assert.deepEqual(clusterConfigFrom(platform), config);
  assert.equal(platform.label, 'hearth-0');
  assert.equal(platform.area, 'midtown');
  assert.equal(platform.api_addr, '10.0.0.1:8080');
  assert.equal(platform.internal_addr, '10.0.0.1:8081');
  assert.equal(platform.known.length, 1);
  assert.equal(platform.known[0]?.label, 'hearth-1');
  assert.equal(platform.known[0].area, 'augusta');
  assert.equal(platform.known[0].endpoint, '10.0.0.2:8081');
  assert.equal(platform.external.cloud, '10.2.0.2:8443');
  assert.equal(platform.external.state, '10.2.0.1:2379');
  assert.equal(platform.facts.state.rps, 100);
  assert.equal(platform.facts.state.write_rps, 18);
  assert.equal(platform.facts.state.next?.write_rps, 9.5);
  assert.equal(platform.facts.cloud.rps, 5);
  assert.equal(platform.facts.limits?.core_share, 0.34);
  assert.equal(platform.facts.limits.memory_mb, 242);
  assert.equal(platform.facts.limits.max_sockets, 2000);
  assert.equal(platform.facts.skew_ms, 5);
});

/** The platform settings without the given parts. */
const without = (...parts: readonly RegExp[]): string =>
  parts.reduce((text, part) => text.replace(part, ''), PLATFORM);
const OBJECTIVES = /"objectives": \[[^\]]*\],/;
const NEXT = /,\s*"next": \{[^}]*\}/;
const LIMITS = /"limits": \{[^}]*\},/;
const SKEW = /,\s*"skew_ms": 5\.0/;

test('optional platform settings have their defaults', () => {
  const platform = readPlatformSettings(writeSettings('bare.json', without(OBJECTIVES, NEXT, LIMITS, SKEW)));
  assert.deepEqual(clusterConfigFrom(platform), {
    ...config,
    objectives: [],
    maxTransactionOperations: 8,
    maxValueBytes: 4096,
    maxAssignments: Infinity,
  });
  assert.equal(platform.facts.state.next, undefined);
  assert.equal(platform.facts.limits, undefined);
  assert.equal(platform.facts.skew_ms, 0);
});

/** Returns the message of the settings error, with the folder shortened to DIR. */
function errorMessageOf(read: () => unknown): string {
  try {
    read();
  } catch (error) {
    assert.ok(error instanceof SettingsError);
    return error.message.replace(folder, 'DIR');
  }
  return 'no error';
}

const platformErrorFor = (from: string, to: string): string => {
  assert.ok(PLATFORM.includes(from), from);
  return errorMessageOf(() => readPlatformSettings(writeSettings('p.json', PLATFORM.replace(from, to))));
};

test('a mistake in the platform settings is reported with its path', () => {
  assert.equal(
    errorMessageOf(() => readPlatformSettings(join(folder, 'none.json'))),
    'cannot read settings DIR/none.json: ENOENT',
  );
  // The text after the colon comes from the JavaScript engine.
  assert.match(platformErrorFor('{', '{,'), /^settings DIR\/p\.json are not JSON: ./);
  assert.equal(
    platformErrorFor('"label": "hearth-0",', ''),
    'settings DIR/p.json: label: Invalid input: expected string, received undefined',
  );
  assert.equal(
    platformErrorFor('"hearth-0"', '""'),
    'settings DIR/p.json: label: Too small: expected string to have >=1 characters',
  );
  assert.equal(
    platformErrorFor('"10.0.0.1:8080"', '"10.0.0.1"'),
    'settings DIR/p.json: api_addr: must be HOST:PORT',
  );
  assert.equal(
    platformErrorFor('"hearth-1"', '7'),
    'settings DIR/p.json: known.0.label: Invalid input: expected string, received number',
  );
  assert.equal(
    platformErrorFor('"cpus": 1.5', '"cpus": -1'),
    'settings DIR/p.json: facts.teams.0.cpus: Too small: expected number to be >=0',
  );
  assert.equal(
    platformErrorFor('"report_s": 3.0', '"report_s": "3"'),
    'settings DIR/p.json: facts.workers.report_s: Invalid input: expected number, received string',
  );
  assert.equal(
    platformErrorFor('"report_s": 3.0', '"report_s": 0'),
    'settings DIR/p.json: facts.workers.report_s: Too small: expected number to be >0',
  );
  assert.equal(
    platformErrorFor('"txn_ops": 8', '"txn_ops": 1.5'),
    'settings DIR/p.json: facts.state.txn_ops: Invalid input: expected int, received number',
  );
  assert.equal(
    platformErrorFor('"memory_mb": 242.0', '"memory_mb": 1'),
    'settings DIR/p.json: facts.limits.memory_mb: at least 96 is needed',
  );
  assert.equal(
    platformErrorFor('"max_sockets": 2000', '"max_sockets": 1'),
    'settings DIR/p.json: facts.limits.max_sockets: at least 64 are needed',
  );
  assert.equal(
    platformErrorFor('"value_kb": 4.0', '"value_kb": 1'),
    'settings DIR/p.json: facts.state: values must hold 1792 bytes, now and by `next`',
  );
  assert.equal(
    errorMessageOf(() => readPlatformSettings(writeSettings('p.json', '[]'))),
    'settings DIR/p.json: : Invalid input: expected object, received array',
  );
});

test('unreadable announced limits are ignored', () => {
  assert.equal(platformErrorFor('"write_rps": 9.5', '"write_rps": "soon"'), 'no error');
  assert.equal(platformErrorFor('"next": {', '"later": {'), 'no error');
});

// ---- Operators

const OPERATORS = `; every setting there is
(placement (alpha 0.3) (lambda 1) (beta-cs 2) (beta-rc 3) (phi 0.2) (bandwidth 1.5))
(fleet (idle-s 20.5) (reserve 0.5))
(machines (fault-jobs 4))
`;
const operators: OperatorSettings = {
  alpha: 0.3,
  lambda: 1,
  betaCs: 2,
  betaRc: 3,
  phi: 0.2,
  bandwidth: 1.5,
  idleTimeout: seconds(20.5),
  reserveShare: 0.5,
  quarantineThreshold: 4,
};

test('all operator settings are read, and without a file all have their defaults', () => {
  assert.deepEqual(readOperatorSettings(writeSettings('whole.sexp', OPERATORS)), operators);
  const defaults: OperatorSettings = {
    alpha: 0.25,
    lambda: 0.5,
    betaCs: 0.01,
    betaRc: 0.02,
    phi: 0.1,
    bandwidth: null,
    idleTimeout: seconds(15),
    reserveShare: 0.35,
    quarantineThreshold: 2,
  };
  assert.deepEqual(DEFAULT_SETTINGS, defaults);
  assert.deepEqual(readOperatorSettings(undefined), defaults);
  assert.deepEqual(parseOperatorSettings('', 'f'), defaults);
});

const RANGES = [
  'placement alpha 0.25 0.75',
  'placement lambda 0 60',
  'placement beta-cs 0 60',
  'placement beta-rc 0 60',
  'placement phi 0.01 1',
  'placement bandwidth 0.001 1000',
  'fleet idle-s 5 86400',
  'fleet reserve 0 5',
  'machines fault-jobs 1 100',
];

test('operator settings have known names and ranges', () => {
  const ranges = Object.entries(SETTING_DEFINITIONS).flatMap(([group, all]) =>
    Object.entries(all).map(([name, { min: low, max: high }]) => `${group} ${name} ${low} ${high}`),
  );
  assert.deepEqual(ranges, RANGES);
});

test('a mistake in the operator settings is reported with its line', () => {
  const messageFor = (text: string): string => errorMessageOf(() => parseOperatorSettings(text, 'f'));
  assert.equal(messageFor('(placement\n (alpha 0.8))'), 'f:2: alpha must be from 0.25 to 0.75');
  assert.equal(messageFor('(fleet\n\n (idle-s 4))'), 'f:3: idle-s must be from 5 to 86400');
  assert.equal(messageFor('(placement (beta 1))'), 'f:1: unknown setting "beta" in placement');
  assert.equal(
    messageFor('\n(place (alpha 0.5))'),
    'f:2: unknown group "place" (known: placement, fleet, machines)',
  );
  assert.equal(messageFor('(fleet (idle-s soon))'), 'f:1: idle-s takes one number');
  assert.equal(messageFor('(fleet (idle-s 5 6))'), 'f:1: idle-s takes one number');
  assert.equal(messageFor('(fleet (idle-s))'), 'f:1: expected a name or a number');
  assert.equal(messageFor('(fleet idle-s)'), 'f:1: expected a list');
  assert.equal(messageFor('fleet'), 'f:1: expected a list');
  assert.match(messageFor('(fleet'), /^f: ./);
  assert.equal(
    errorMessageOf(() => readOperatorSettings(join(folder, 'none.sexp'))),
    'cannot read DIR/none.sexp: ENOENT',
  );
});

test('a mistake in the features file is reported with its line', () => {
  const messageFor = (text: string): string => errorMessageOf(() => parseFeatures(text, 'f'));
  assert.equal(messageFor('(features zone-recovery)'), 'no error');
  assert.equal(messageFor('(features\n warp)'), 'f:2: unknown feature "warp" (known: zone-recovery)');
  assert.equal(messageFor('(fleet)'), 'f:1: unknown group "fleet" (known: features)');
  assert.equal(messageFor('(features (warp))'), 'f:1: expected a name or a number');
  assert.equal(
    errorMessageOf(() => readFeatures(join(folder, 'none.sexp'))),
    'cannot read DIR/none.sexp: ENOENT',
  );
});

// ---- Command line

interface ExitResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const runProgram = (...args: readonly string[]): Promise<ExitResult> =>
  new Promise((resolve, reject) => {
    const child = spawn(process.execPath, ['--import', 'tsx', 'src/main.ts', ...args]);
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (data: Buffer) => (stdout += data.toString()));
    child.stderr.on('data', (data: Buffer) => (stderr += data.toString()));
    child.once('error', reject);
    child.once('close', (code) => resolve({ code, stdout, stderr: stderr.replaceAll(folder, 'DIR') }));
  });

const HELP = `Usage: pumiceroad [options]

One controller of a cluster scheduler. Runs until it is killed.

Options:
  -V, --version      output the version number
  --config <file>    the settings file that the platform hands over (JSON)
  --settings <file>  operators' settings (S-expressions); see docs/settings.md
  --features <file>  features that are switched on (S-expressions); see
                     docs/operations
  --check            read and check the settings, then end
  -h, --help         display help for command
`;

// Each start takes about a second, so there are only a few, all in parallel.
test('the command line: exit codes and messages', async () => {
  const platform = writeSettings('cli.json', PLATFORM);
  const settings = writeSettings('cli.sexp', OPERATORS);
  const features = writeSettings('features.sexp', '(features zone-recovery)');
  const invalidSettings = writeSettings('wrong.sexp', '(fleet\n (reserve 9))');
  const [withoutArguments, checked, invalid, help] = await Promise.all([
    runProgram(),
    runProgram('--config', platform, '--settings', settings, '--features', features, '--check'),
    runProgram('--config', platform, '--settings', invalidSettings, '--check'),
    runProgram('--help'),
  ]);
  assert.deepEqual(withoutArguments, {
    code: 2,
    stdout: '',
    stderr: "error: required option '--config <file>' not specified\n",
  });
  assert.deepEqual(checked, { code: 0, stdout: 'settings are valid\n', stderr: '' });
  assert.deepEqual(invalid, {
    code: 2,
    stdout: '',
    stderr: 'pumiceroad: DIR/wrong.sexp:2: reserve must be from 0 to 5\n',
  });
  assert.equal(help.code, 0);
  assert.equal(help.stdout, HELP);
});
