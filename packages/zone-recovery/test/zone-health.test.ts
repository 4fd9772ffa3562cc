/** @file The health of zones: suspicion, loss, return and the stored record. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import type { ZoneObservation, ZoneAdmissionRequest } from '../../../src/core/model/zone-policy.js';
import { seconds } from '../../../src/core/model/time.js';
import { decode, encode } from '../../../src/wire/cbor.js';
import {
  holdDownDuration,
  MAX_HOLD_DOWN,
  newZone,
  nextHealth,
  decodeZones,
  encodeZones,
  ZoneRecovery,
  type FleetConditions,
  type ZoneHealth,
} from '../src/index.js';
import { timeAt } from '../../../test/fixtures/clock.js';

/**
 * Parameters of the property tests, which generate sequences of losses, partial returns, flaps and failovers. The seed is
 * fixed, so every run checks the same sequences.
 */
const RUNS = { seed: 20300101, numRuns: Number(process.env['ZONE_RUNS'] ?? 300) };
const TIMING = { workerLease: seconds(24), heartbeatInterval: seconds(4) };
const MACHINES = 40;

const names = (zone: string, count: number): string[] =>
  Array.from({ length: count }, (_, n) => `${zone}-${String(n).padStart(4, '0')}`);

const observationOf = (zone: string, responsive: number, known = MACHINES): ZoneObservation => ({
  zone,
  known,
  responsive,
  gpus: responsive * 4,
  responsiveMachines: names(zone, responsive),
});

const CONDITIONS: FleetConditions = {
  otherZonesResponsive: true,
  leadershipConfirmed: true,
  replicasMissing: 0,
  slowestStart: seconds(10),
};

/** A period in which the conditions of a zone do not change, and whether a failover follows it. */
const episodeArbitrary = fc.record({
  responsive: fc.constantFrom(0, 0, 0, 1, 10, 19, 25, 39, 40, 40, 40),
  otherZonesResponsive: fc.boolean(),
  leadershipConfirmed: fc.constantFrom(true, true, true, false),
  replicasMissing: fc.constantFrom(0, 0, 3),
  durationS: fc.integer({ min: 1, max: 60 }),
  failover: fc.constantFrom(false, false, false, true),
  driftMs: fc.integer({ min: -20, max: 20 }),
});

interface Step {
  readonly before: ZoneHealth;
  readonly after: ZoneHealth;
  readonly conditions: FleetConditions;
  readonly responsive: number;
  readonly elapsedS: number;
}

type Episode = typeof episodeArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** Advances a zone through the episodes second by second. At each failover, the state is stored and decoded again. */
function playEpisodes(episodes: readonly Episode[], check: (step: Step) => void): ZoneHealth {
  let health = newZone(timeAt(0).monotonic);
  let elapsedS = 0;
  for (const episode of episodes) {
    for (let n = 0; n < episode.durationS; n++) {
      elapsedS += 1;
      const conditions = { ...CONDITIONS, ...episode };
      const before = health;
      health = nextHealth(
        before,
        observationOf('a', episode.responsive),
        conditions,
        TIMING,
        timeAt(elapsedS).monotonic,
      ).health;
      check({ before, after: health, conditions, responsive: episode.responsive, elapsedS });
    }
    if (!episode.failover) continue;
    const storedRecord = encodeZones(new Map([['a', health]]), timeAt(elapsedS));
    const nextLeaderNow = {
      monotonic: timeAt(elapsedS).monotonic,
      wall: new Date(timeAt(elapsedS).wall.getTime() + episode.driftMs),
    };
    health =
      decodeZones(JSON.parse(JSON.stringify(storedRecord)), nextLeaderNow)?.get('a') ??
      newZone(timeAt(elapsedS).monotonic);
  }
  return health;
}

test('a leader without contact to the state store changes nothing, and a zone is suspected only while another is responsive', () => {
  fc.assert(
    fc.property(fc.array(episodeArbitrary, { maxLength: 20 }), (episodes) => {
      playEpisodes(episodes, ({ before, after, conditions }) => {
        if (!conditions.leadershipConfirmed) assert.deepEqual(after, before);
        if (!conditions.otherZonesResponsive)
          assert.ok(after.phase === before.phase || !['suspect', 'lost'].includes(after.phase));
      });
    }),
    RUNS,
  );
});

test('a healthy zone is lost only after a whole lease of suspicion', () => {
  fc.assert(
    fc.property(fc.array(episodeArbitrary, { maxLength: 20 }), (episodes) => {
      let suspectSince = 0;
      playEpisodes(episodes, ({ before, after, elapsedS }) => {
        if (before.phase !== 'suspect' && after.phase === 'suspect') suspectSince = elapsedS;
        if (before.phase === 'suspect' && after.phase === 'lost')
          assert.ok(elapsedS - suspectSince >= 24, `${elapsedS - suspectSince} s`);
        if (before.phase === 'healthy') assert.notEqual(after.phase, 'lost');
      });
    }),
    RUNS,
  );
});

// No number of flaps or failovers excludes capacity permanently.
test('a zone that stays responsive is healthy again within bounded time', () => {
  const steps = Math.ceil(Math.log2(MACHINES)) + 3;
  const bound = Number(MAX_HOLD_DOWN / seconds(1)) + steps * 2 * 24 + 5;
  fc.assert(
    fc.property(
      fc.array(episodeArbitrary, { maxLength: 20 }),
      fc.constantFrom(0, 5),
      (episodes, replicasMissing) => {
        let health = playEpisodes(episodes, () => undefined);
        for (let s = 0; s < bound; s++)
          health = nextHealth(
            health,
            observationOf('a', MACHINES),
            { ...CONDITIONS, replicasMissing },
            TIMING,
            timeAt(2000 + s).monotonic,
          ).health;
        assert.equal(health.phase, 'healthy');
      },
    ),
    RUNS,
  );
});

test('hold-downs grow with each loss up to the maximum, and decay with health', () => {
  const spans = [1, 2, 3, 4, 5, 9, 40].map((losses) => Number(holdDownDuration(losses, TIMING) / seconds(1)));
  assert.deepEqual(spans, [0, 24, 48, 96, 120, 120, 120]);
  let health: ZoneHealth = { ...newZone(timeAt(0).monotonic), losses: 2 };
  for (let s = 0; s < 288; s++)
    health = nextHealth(health, observationOf('a', 40), CONDITIONS, TIMING, timeAt(s).monotonic).health;
  assert.equal(health.losses, 2);
  for (let s = 288; s < 580; s++)
    health = nextHealth(health, observationOf('a', 40), CONDITIONS, TIMING, timeAt(s).monotonic).health;
  assert.equal(health.losses, 0);
});

test('a failover changes stored times by no more than clock drift, and keeps no hold-down beyond the maximum', () => {
  fc.assert(
    fc.property(fc.integer({ min: -3600, max: 3600 }), fc.integer({ min: 0, max: 120 }), (driftS, holdS) => {
      const health: ZoneHealth = {
        ...newZone(timeAt(0).monotonic),
        phase: 'held-down',
        losses: 3,
        holdUntil: timeAt(holdS).monotonic,
      };
      const nextLeaderNow = {
        monotonic: timeAt(0).monotonic,
        wall: new Date(timeAt(0).wall.getTime() + driftS * 1000),
      };
      const read = decodeZones(encodeZones(new Map([['a', health]]), timeAt(0)), nextLeaderNow)?.get('a');
      assert.ok(read !== undefined);
      assert.deepEqual([read.phase, read.losses], ['held-down', 3]);
      const remaining = read.holdUntil - nextLeaderNow.monotonic;
      assert.ok(remaining >= 0n && remaining <= MAX_HOLD_DOWN);
      if (driftS === 0) assert.equal(remaining, seconds(holdS));
    }),
    RUNS,
  );
});

test('the zone record is small, and after a malformed one all zones start without a history', () => {
  const zones = new Map(
    ['alpharetta', 'augusta', 'midtown'].map((zone) => [
      zone,
      { ...newZone(0n), phase: 'lost' as const, losses: 99 },
    ]),
  );
  assert.ok(JSON.stringify(encodeZones(zones, timeAt(0))).length < 512);
  for (const malformed of [
    null,
    7,
    'x',
    {},
    { version: 2, zones: [] },
    { version: 1, zones: [{ zone: 'a', phase: 'odd' }] },
  ])
    assert.equal(decodeZones(malformed, timeAt(0)), null, JSON.stringify(malformed));
  const storedRecord = encodeZones(zones, { monotonic: 0n, wall: new Date(Date.UTC(2038, 0, 1)) });
  assert.deepEqual(decode(encode(storedRecord)), storedRecord, 'the decoded record equals the encoded one');
  const recovery = new ZoneRecovery(TIMING);
  recovery.restore({ zones: 'cut sho' }, timeAt(0));
  assert.equal(recovery.phaseOf('a'), 'healthy');
});

const REQUEST: ZoneAdmissionRequest = {
  kind: 'array',
  priority: 'low',
  restrictedToZone: false,
  pendingFor: 0n,
};

/**
 * Observes zone a with `responsive` machines for `durationS` seconds, next to a healthy zone b. Returns the time after it
 * in seconds.
 */
function observeFor(
  recovery: ZoneRecovery,
  from: number,
  durationS: number,
  responsive: number,
  replicasMissing = 0,
): number {
  for (let s = from; s < from + durationS; s++)
    recovery.observe(
      {
        zones: [observationOf('a', responsive), observationOf('b', MACHINES)],
        leadershipConfirmed: true,
        replicasMissing,
        slowestStart: seconds(10),
      },
      timeAt(s),
    );
  return from + durationS;
}

const countAdmitted = (recovery: ZoneRecovery, request: ZoneAdmissionRequest): number =>
  names('a', MACHINES).filter((name) => recovery.admits('a', name, request)).length;

test('a zone returns in steps: services at once, other jobs on twice as many machines each step', () => {
  const recovery = new ZoneRecovery(TIMING);
  let elapsedS = observeFor(recovery, 0, 5, MACHINES);
  elapsedS = observeFor(recovery, elapsedS, 40, 0);
  assert.equal(recovery.phaseOf('a'), 'lost');
  assert.ok(recovery.isUnavailable('a') && recovery.isEvacuating('a'));
  assert.equal(countAdmitted(recovery, { ...REQUEST, kind: 'service' }), 0);
  elapsedS = observeFor(recovery, elapsedS, 1, MACHINES);
  assert.equal(recovery.phaseOf('a'), 'returning');
  assert.equal(countAdmitted(recovery, { ...REQUEST, kind: 'service', priority: 'production' }), MACHINES);
  const admittedCounts: number[] = [];
  for (let n = 0; n < 4; n++) {
    admittedCounts.push(countAdmitted(recovery, REQUEST));
    elapsedS = observeFor(recovery, elapsedS, 10, MACHINES);
  }
  assert.deepEqual(admittedCounts, [4, 8, 16, 32]);
  assert.equal(
    countAdmitted(recovery, { ...REQUEST, pendingFor: seconds(150) }),
    MACHINES,
    'the largest jobs still start in time',
  );
  observeFor(recovery, elapsedS, 22, MACHINES);
  assert.equal(recovery.phaseOf('a'), 'healthy');
});

test('while replicas are missing, each step of a return takes two leases', () => {
  const recovery = new ZoneRecovery(TIMING);
  let elapsedS = observeFor(recovery, 0, 40, 0);
  elapsedS = observeFor(recovery, elapsedS, 47, MACHINES, 2);
  assert.equal(countAdmitted(recovery, REQUEST), 4);
  observeFor(recovery, elapsedS, 5, MACHINES, 2);
  assert.equal(countAdmitted(recovery, REQUEST), 8);
});

test('a flapping zone is held down before it returns, and returns with the machines it has', () => {
  const recovery = new ZoneRecovery(TIMING);
  let elapsedS = observeFor(recovery, 0, 40, 0);
  elapsedS = observeFor(recovery, elapsedS, 10, MACHINES);
  elapsedS = observeFor(recovery, elapsedS, 5, 0);
  assert.equal(recovery.phaseOf('a'), 'lost', 'lost at once, because it was returning');
  elapsedS = observeFor(recovery, elapsedS, 1, 20);
  assert.equal(recovery.phaseOf('a'), 'held-down');
  assert.ok(recovery.isUnavailable('a'));
  assert.equal(countAdmitted(recovery, { ...REQUEST, kind: 'service' }), 0);
  elapsedS = observeFor(recovery, elapsedS, 25, 25);
  assert.equal(recovery.phaseOf('a'), 'returning');
  observeFor(recovery, elapsedS, 60, 25);
  assert.equal(recovery.phaseOf('a'), 'healthy', 'with 25 of 40 machines');
});

test('a change is stored once, and the next leader continues from it', () => {
  const recovery = new ZoneRecovery(TIMING);
  observeFor(recovery, 0, 3, MACHINES);
  assert.equal(recovery.takeUnsavedRecord(), null, 'nothing to store while all zones are healthy');
  observeFor(recovery, 3, 40, 0);
  const record = recovery.takeUnsavedRecord();
  assert.ok(record !== null);
  assert.equal(recovery.takeUnsavedRecord(), null);
  const next = new ZoneRecovery(TIMING);
  next.restore(record, timeAt(50));
  assert.equal(next.phaseOf('a'), 'lost');
  assert.equal(next.takeUnsavedRecord(), null, 'a restored record is not stored again');
});
