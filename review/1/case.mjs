/**
 * @file A start command is held up in the answer to a worker's report. A direct stop command overtakes it, and the
 * worker's reply to that, which can't list the task yet, is taken as proof that the task is gone.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  QUETZAL_BUILD,
  QUETZAL_FACTS,
  Worker,
  clock,
  jobOf,
  runCase,
  sleep,
  startProxy,
  waitFor,
} from '../stand-ins.mjs';

/** The worker drops answers after 4 s; this one arrives earlier. */
const HOLD_MS = 3300;
const NOTICE_S = 12;

const folder = dirname(fileURLToPath(import.meta.url));
await runCase(
  folder,
  QUETZAL_FACTS,
  [QUETZAL_BUILD],
  async ({ record, trouble, site, cloud, controllers, user, closers }) => {
    let held = false;
    let spotWorker = null;
    /** Holds up the one answer that starts the gang's task on the first machine, while spot machines are recalled. */
    const holdStart = (body) => {
      const start = body?.orders?.find(
        ({ verb, ticket }) => verb === 'run' && ticket.startsWith('req-000412/'),
      );
      if (held || start === undefined) return 0;
      held = true;
      record.write(`cloud: notice for ${spotWorker.name}, ${NOTICE_S} s`);
      spotWorker.recallS = clock() + NOTICE_S;
      spotWorker.notifyChange();
      if (!trouble) return 0;
      record.write(
        `network: the answer with run ${start.ticket} try ${start.try} is held up for ${HOLD_MS} ms`,
      );
      return HOLD_MS;
    };

    const direct = controllers.nodes.map(({ label, address }) => ({ label, address }));
    const proxied = [];
    for (const { label, address } of direct) {
      const proxy = await startProxy(address, holdStart);
      closers.push(proxy.close);
      proxied.push({ label, address: proxy.address });
    }
    const machine = (name, hall, loaners, nodes) =>
      new Worker(site, { name, build: QUETZAL_BUILD, hall, loaners, nodes });
    const a = machine('n-000001', 'zona-ciudad', false, proxied);
    spotWorker = machine('n-000002', 'zona-ciudad', true, direct);
    const c = machine('n-000003', 'zona-antigua', false, direct);
    const d = machine('n-000004', 'zona-antigua', false, direct);
    cloud.workers.push(a, spotWorker, c, d);
    controllers.startAll();
    for (const worker of cloud.workers) await worker.start();
    await controllers.ready();
    await sleep(2000); // All workers have reported to the leader by then.

    // One machine in zona-ciudad and both in zona-antigua get the image by running other jobs.
    await user.submit(jobOf('req-000101', { hall: 'zona-ciudad' }), 0.5);
    await user.submit(jobOf('req-000102', { hall: 'zona-antigua', tickets: 2 }), 5);
    await waitFor('the image is fetched', () => a.cached.has('img-07') && c.cached.has('img-07'), 60);
    await user.pollUntil('req-000101', 'done', 20);

    // The gang fits zona-ciudad: its task on the spot machine fetches the image first, the other one waits for its
    // turn, so that the start comes in the answer to a report.
    const gang = { shape: 'ensemble', precedence: 'high', tickets: 2, oneZone: true, loaners: true };
    await user.submit(jobOf('req-000412', gang), null);
    await waitFor('the start of the second task', () => held, 40);
    await sleep(8000);
    await user.poll('req-000412');
  },
);
