import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { Subscription } from 'rxjs';
import { call } from './standins/http.js';
import {
  ownAddress,
  job,
  makeSite,
  platform,
  startController,
  until,
  untilHealthy,
  type Site,
} from './standins/cluster.js';
import { StateStandIn } from './standins/state-store.js';
import { Watch } from './standins/worker.js';

// A controller that is back within a fraction of a second, at each step of an election and takeover, with its old hold
// alive and late copies of what its earlier process sent.
type Body = { writes: { write?: string }[] };
const writesOf = (b: Record<string, unknown>, part: string): boolean =>
  (b as unknown as Body).writes.some((w) => w.write?.includes(part) === true);

const STEPS = {
  'its claim was carried out, the answer lost': { key: '/part/', fate: 'lost' },
  'its claim is carried out late': { key: '/part/', fate: 'late' },
  'its first places were recorded, the answer lost': { key: '/page/', fate: 'lost' },
  'its first places are recorded late': { key: '/page/', fate: 'late' },
} as const;

const stops: (() => void)[] = [];
after(() => {
  for (const s of stops) s();
});

for (const [step, { key, fate }] of Object.entries(STEPS))
  test(`back at once: ${step}`, async () => {
    const state = new StateStandIn({ txnOps: 4, valueBytes: 4096 });
    const watch = new Watch();
    await state.start();
    const api = ownAddress();
    const site = await makeSite([api], watch, () => 150);
    const settings = platform('one', api, site.cloud, state);
    let controller: Subscription | null = null;
    stops.push(() => {
      controller?.unsubscribe();
      site.stop();
      state.stop();
    });
    let struck = false;
    state.fate = (b) => {
      if (struck || !writesOf(b, key)) return null;
      struck = true;
      return fate;
    };
    controller = startController(settings);
    if (key === '/page/') {
      await untilHealthy(api);
      assert.equal((await call(api, 'POST', '/work', job('req-1', { tickets: 2 }))).status, 201);
    }
    await until('the step', () => Promise.resolve(struck ? true : null));
    // The process ends without a word: its hold goes on until it runs out.
    controller.unsubscribe();
    const before = [...state.commits];
    controller = startController(settings);
    await untilHealthy(api);
    assert.ok((await call(api, 'POST', '/work', job('req-2', { tickets: 2 }))).status < 300);
    await until('a term', () =>
      Promise.resolve([...state.items.keys()].some((k) => k.includes('/part/')) ? true : null),
    );
    for (const id of key === '/page/' ? ['req-1', 'req-2'] : ['req-2'])
      await until(`${id} done`, async () =>
        (await call(api, 'GET', `/work/${id}`)).body['standing'] === 'done' ? true : null,
      );
    // Copies of everything that the earlier process had committed: none of it is taken any more.
    const rev = state.rev;
    for (const b of before) if ((b as unknown as Body).writes.length > 0) state.commit(b);
    assert.equal(state.rev, rev, 'a late copy changed something');
    // The earlier process's hold ends, by itself or by a late request of its own: the new owner's key is not on it.
    state.end(1);
    assert.equal(state.rev, rev, "the earlier process's hold still kept a key");
    assert.deepEqual(watch.broken, []);
    controller.unsubscribe();
  });

for (const fate of ['lost', 'late'] as const)
  test(`back at once: its rental ${fate === 'lost' ? 'was carried out, the answer lost' : 'is carried out late'}`, async () => {
    const state = new StateStandIn({ txnOps: 4, valueBytes: 4096 });
    const watch = new Watch();
    await state.start();
    const api = ownAddress();
    const site = await makeSite([api], watch, (t) => (t.startsWith('req-9') ? null : 150), 4);
    const settings = platform('one', api, site.cloud, state);
    let controller: Subscription | null = null;
    stops.push(() => {
      controller?.unsubscribe();
      site.stop();
      state.stop();
    });
    site.fate = fate;
    controller = startController(settings);
    await untilHealthy(api);
    // Two machines hold four tasks: the fifth and sixth need a third machine.
    assert.equal(
      (await call(api, 'POST', '/work', job('req-90', { shape: 'service', tickets: 4 }))).status,
      201,
    );
    assert.equal(
      (await call(api, 'POST', '/work', job('req-91', { shape: 'service', desk: 'blue', tickets: 2 })))
        .status,
      201,
    );
    const rentals = (): Site['calls'] => site.calls.filter((c) => c.path === '/machines');
    await until('a rental', () => Promise.resolve(rentals().length > 0 ? true : null));
    controller.unsubscribe();
    const before = [...rentals()];
    site.fate = null;
    controller = startController(settings);
    // Whichever process's request brings it, the machine is found and used.
    await until('all six run', () => Promise.resolve(watch.running.size === 6 ? true : null), 20_000);
    // The late one is carried out some time, whether the new process's came before it or not.
    await until('the rentals', () =>
      Promise.resolve(before.every((c) => site.hired.has(c.body['hire'] as string)) ? true : null),
    );
    // Names are of one process each; a copy of the earlier one's request rents nothing more.
    const machines = site.workers.length;
    for (const c of before) await site.carryOut(c.path, c.body);
    assert.equal(site.workers.length, machines, 'a late copy rented');
    const names = rentals().map((c) => c.body['hire'] as string);
    const first = new Set(before.map((c) => c.body['hire'] as string));
    for (const name of names.slice(before.length)) assert.ok(!first.has(name), `${name} was used again`);
    // A return that the earlier process asked for comes late, when work runs there: that work runs elsewhere.
    const busy = site.workers.find((worker) => worker.busy > 0);
    assert.ok(busy !== undefined);
    const lost = [...watch.running].filter(([, at]) => at === busy.name).map(([t]) => t);
    await site.carryOut('/machines/return', { rigs: [busy.name] });
    for (const t of lost) watch.running.delete(t);
    await until('all six run again', () => Promise.resolve(watch.running.size === 6 ? true : null), 30_000);
    assert.deepEqual(watch.broken, []);
    controller.unsubscribe();
  });
