import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { Subscription } from 'rxjs';
import { call } from './standins/http.js';
import { freePort, job, makeSite, platform, startController, until, untilHealthy } from './standins/site.js';
import { StateStandIn } from './standins/state.js';
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
    const api = `127.0.0.1:${await freePort()}`;
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
