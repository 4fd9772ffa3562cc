import { Subject, concatMap, from, groupBy, mergeMap, type Subscription } from 'rxjs';
import type { Report } from '../core/model.js';
import type { Order } from '../core/world.js';
import { WORKER_PATHS, orders, parseReport } from '../wire/dialect.js';
import { Client } from './http.js';

export interface DirectJob {
  readonly machine: string;
  readonly endpoint: string;
  readonly session: number;
  readonly orders: readonly Order[];
}

export interface DirectResult {
  readonly job: DirectJob;
  readonly token: number;
  readonly outcome: 'executed' | 'refused' | 'unknown';
  readonly report: Report | null;
}

const LIMIT_MS = 2500;

/** Commands straight to the workers: one at a time per machine, so that they arrive in the order they were given. */
export class Workers {
  private readonly queue = new Subject<DirectJob>();
  private readonly clients = new Map<string, Client>();

  constructor(
    private readonly token: () => number,
    private readonly result: (r: DirectResult) => void,
  ) {}

  start(): Subscription {
    const routines = this.queue
      .pipe(
        groupBy((j) => j.machine),
        mergeMap((one) => one.pipe(concatMap((j) => from(this.send(j))))),
      )
      .subscribe((r) => this.result(r));
    routines.add(() => {
      for (const c of this.clients.values()) c.close();
      this.clients.clear();
    });
    return routines;
  }

  push(j: DirectJob): void {
    this.queue.next(j);
  }

  private async send(job: DirectJob): Promise<DirectResult> {
    let client = this.clients.get(job.endpoint);
    if (client === undefined) {
      client = new Client(job.endpoint, 1);
      this.clients.set(job.endpoint, client);
    }
    const token = this.token();
    const o = await client.request(
      'POST',
      WORKER_PATHS.commands,
      orders(token, job.orders, job.session),
      LIMIT_MS,
    );
    if (o.kind === 'unsent') return { job, token, outcome: 'refused', report: null };
    if (o.kind === 'unknown') return { job, token, outcome: 'unknown', report: null };
    const r = parseReport(o.body);
    const report = r.ok ? r.value : null;
    if (o.status === 200) return { job, token, outcome: 'executed', report };
    if (o.status === 409 || o.status === 400) return { job, token, outcome: 'refused', report };
    return { job, token, outcome: 'unknown', report: null };
  }
}
