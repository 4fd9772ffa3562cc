/** @file How the scheduler consults a zone policy, and what it does with the answers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Effect } from '../src/core/model/effects.js';
import type { JobSpec } from '../src/core/model/job.js';
import type { ClusterScheduler } from '../src/core/cluster-scheduler.js';
import type { FleetObservation, ZonePolicy, ZoneAdmissionRequest } from '../src/core/model/zone-policy.js';
import { jobSpec } from './fixtures/cluster-config.js';
import { timeAt } from './fixtures/clock.js';
import { createSchedulerWithType } from './fixtures/scheduler.js';

// Where the core asks a policy for lost and returning zones, and what it does with the answers.

/** A policy that says what it is told to. */
class Policy implements ZonePolicy {
  seen: FleetObservation | null = null;
  out = new Set<string>();
  evacuated = new Set<string>();
  admitted: (zone: string, request: ZoneAdmissionRequest) => boolean = () => true;

  observe(seen: FleetObservation): [] {
    this.seen = seen;
    return [];
  }

  admits(zone: string, _machine: string, request: ZoneAdmissionRequest): boolean {
    return this.admitted(zone, request);
  }

  isUnavailable(zone: string): boolean {
    return this.out.has(zone);
  }

  isEvacuating(zone: string): boolean {
    return this.evacuated.has(zone);
  }

  takeUnsavedRecord(): null {
    return null;
  }

  restore(): void {
    // Nothing is kept.
  }
}

/** A leader with machines that report when they are told to. */
class Fleet {
  readonly scheduler: ClusterScheduler;
  private seq = 0;

  constructor(readonly policy: Policy | null) {
    this.scheduler = createSchedulerWithType({ previousLeader: 'none', policy });
    this.scheduler.handle(
      { kind: 'instance-inventory', machines: [], requestedAt: timeAt(0).monotonic },
      timeAt(0),
    );
  }

  report(s: number, ...machines: readonly string[]): void {
    this.seq += 1;
    for (const machine of machines) {
      const zone = machine.startsWith('e') ? 'east' : 'west';
      const about = { machineName: machine, endpoint: `${machine}:1`, type: 'big', zone, spot: false };
      const report = {
        ...about,
        agentEpoch: 1,
        sequence: this.seq,
        fencingToken: 1,
        preemptionNotice: null,
        tasks: [],
      };
      this.scheduler.handle({ kind: 'heartbeat', heartbeat: report }, timeAt(s));
    }
  }

  submit(s: number, id: string, over: Partial<JobSpec>): void {
    const record = { spec: jobSpec(id, over), submittedAt: timeAt(s).wall, status: 'open' as const };
    this.scheduler.handle({ kind: 'job-changed', id, record, modRevision: 2 }, timeAt(s));
  }

  tick(s: number): readonly Effect[] {
    this.scheduler.handle({ kind: 'leadership-confirmed', confirmedAt: timeAt(s).monotonic }, timeAt(s));
    return this.scheduler.handle({ kind: 'tick' }, timeAt(s));
  }

  on(machine: string): string[] {
    return [...(this.scheduler.state.machines.byName.get(machine)?.assignments.keys() ?? [])];
  }
}

const REPLICA: Partial<JobSpec> = { kind: 'service', priority: 'production', gpus: 2, cpus: 8, memory: 8 };
const LOW: Partial<JobSpec> = { priority: 'low', taskCount: 2 };

/** A replica on e1, which then falls silent; w1 has room for it. */
function withLostReplica(policy: Policy | null): Fleet {
  const fleet = new Fleet(policy);
  fleet.report(0, 'e1');
  fleet.submit(1, 'req-1', REPLICA);
  assert.deepEqual(fleet.on('e1'), ['req-1/0']);
  fleet.report(6, 'w1');
  fleet.tick(6);
  return fleet;
}

test('capacity for a replica that may be lost is reserved against lower-priority work, and only while its zone is evacuated', () => {
  const without = withLostReplica(null);
  without.submit(7, 'req-2', LOW);
  assert.equal(without.on('w1').length, 2);
  const policy = new Policy();
  policy.evacuated.add('east');
  const kept = withLostReplica(policy);
  kept.submit(7, 'req-2', LOW);
  assert.deepEqual(kept.on('w1'), []);
  policy.evacuated.clear();
  kept.tick(9);
  assert.equal(kept.on('w1').length, 2);
});

test('scales out for a replica that may be lost before that is certain, but not in an unavailable zone', () => {
  const rents = (policy: Policy | null): string[] => {
    const fleet = withLostReplica(policy);
    fleet.submit(7, 'req-2', { ...LOW, priority: 'production', taskCount: 1, gpus: 2 });
    assert.equal(fleet.on('w1').length, 1, 'w1 is taken');
    fleet.report(9, 'w1');
    return fleet.tick(9).flatMap((effect) => (effect.kind === 'scale-out' ? [effect.request.zone] : []));
  };
  assert.deepEqual(rents(null), []);
  const policy = new Policy();
  policy.evacuated.add('east');
  policy.out.add('east');
  assert.deepEqual(rents(policy), ['west']);
});

test('work is assigned only where the policy admits it, also by preemption', () => {
  const policy = new Policy();
  policy.admitted = (zone, request) => zone === 'west' || request.kind === 'service';
  const fleet = new Fleet(policy);
  fleet.report(0, 'e1', 'w1');
  fleet.submit(1, 'req-1', { ...LOW, taskCount: 8 });
  assert.deepEqual([fleet.on('e1').length, fleet.on('w1').length], [0, 2]);
  fleet.submit(2, 'req-2', REPLICA);
  assert.deepEqual(fleet.on('e1'), ['req-2/0'], 'a replica is admitted');
  const low = fleet.on('w1');
  policy.admitted = () => false;
  fleet.submit(3, 'req-3', { priority: 'high', kind: 'gang', taskCount: 2 });
  fleet.report(3.5, 'e1', 'w1');
  fleet.tick(4);
  assert.deepEqual(fleet.on('w1'), low, 'nothing is stopped where it could not go');
});

test('an idle machine of an unavailable zone is not released: work is to return to it', () => {
  const returned = (policy: Policy | null): number => {
    const fleet = new Fleet(policy);
    let names: readonly string[] = [];
    for (let s = 0; s < 100; s++) {
      fleet.report(s, 'e1', 'e2', 'e3');
      for (const effect of fleet.tick(s))
        if (effect.kind === 'scale-in') names = [...names, ...effect.machineNames];
    }
    return new Set(names).size;
  };
  assert.ok(returned(null) > 0);
  const policy = new Policy();
  policy.out.add('east');
  assert.equal(returned(policy), 0);
});

test('the policy observes responsive machines, and that nothing is certain while workers still look for the leader', () => {
  const policy = new Policy();
  const fleet = new Fleet(policy);
  fleet.report(1, 'e1', 'e2', 'w1');
  fleet.tick(2);
  assert.equal(policy.seen?.leadershipConfirmed, false);
  fleet.report(8, 'e1', 'w1');
  fleet.tick(9);
  const [east, west] = policy.seen.zones;
  assert.equal(policy.seen.leadershipConfirmed, true);
  assert.deepEqual([east?.known, east?.responsive, east?.gpus, east?.responsiveMachines], [2, 1, 2, ['e1']]);
  assert.deepEqual([west?.known, west?.responsive], [1, 1]);
  fleet.submit(9, 'req-1', { ...REPLICA, taskCount: 3 });
  fleet.tick(11);
  assert.equal(policy.seen.replicasMissing, 1, 'three wanted, two machines');
});
