/** @file A state store in memory, behind its HTTP interface. */
import { listen, type Reply } from './http.js';

interface StoredItem {
  value: unknown;
  modRevision: number;
  leaseId: number | null;
}

/** One of several addresses of the service. Whoever comes by one that is refused gets 503, and its follows wait. */
export interface StoreEndpoint {
  readonly address: string;
  refused: boolean;
}

/** A state service in memory: guards, stamps, holds that end, follows. It refuses what the interfaces refuse. */
export class StateStoreStandIn {
  address = '';
  down = false;
  revision = 0;
  readonly items = new Map<string, StoredItem>();
  /** Every transaction that came, for sending copies of it later. */
  readonly transactions: Record<string, unknown>[] = [];
  /**
   * What becomes of a transaction: `lost` is carried out without an answer, `late` only after a while, `held` at once,
   * but answered only after `heldMs`, `slow` only after `slowMs`, and then answered.
   */
  transactionFault: (body: Record<string, unknown>) => 'lost' | 'late' | 'held' | 'slow' | null = () => null;
  slowCommitMs = 400;
  lateResponseMs = 1400;
  /** Follows hear of nothing, as on a connection that hangs. */
  watchesHang = false;
  /** Requests of all kinds that came. */
  requestCount = 0;
  /** Renewals of leases that came, and whether their answers never do. */
  renewalCount = 0;
  renewalsHang = false;
  private readonly leases = new Map<number, { ttl: number; timer: NodeJS.Timeout }>();
  private readonly changes: { key: string; value: unknown; stamp: number; gone: boolean }[] = [];
  private readonly watchers = new Set<() => void>();
  private nextLeaseId = 1;
  private readonly closeServers: (() => void)[] = [];

  constructor(private readonly limits: { txnOps: number; valueBytes: number }) {}

  async start(): Promise<void> {
    this.address = (await this.openEndpoint()).address;
  }

  /** A further address, so that the service can refuse one controller alone. */
  async openEndpoint(): Promise<StoreEndpoint> {
    const endpoint = { address: '', refused: false };
    const s = await listen((m, u, b) => this.answer(m, u, b as Record<string, unknown>, endpoint));
    this.closeServers.push(s.close);
    endpoint.address = s.address;
    return endpoint;
  }

  stop(): void {
    for (const h of this.leases.values()) clearTimeout(h.timer);
    for (const s of this.closeServers) s();
  }

  private answer(
    method: string,
    url: URL,
    body: Record<string, unknown>,
    endpoint: StoreEndpoint,
  ): Reply | Promise<Reply> {
    this.requestCount += 1;
    if (url.pathname === '/follow') return this.watch(url, endpoint);
    if (this.down || endpoint.refused) return { status: 503, body: { error: 'trouble' } };
    if (url.pathname === '/commit') {
      this.transactions.push(body);
      const fate = this.transactionFault(body);
      if (fate === null) return this.commit(body);
      if (fate === 'held') {
        const reply = this.commit(body);
        return new Promise((done) => setTimeout(() => done(reply), this.lateResponseMs).unref());
      }
      if (fate === 'slow')
        return new Promise((done) => setTimeout(() => done(this.commit(body)), this.slowCommitMs).unref());
      if (fate === 'lost') this.commit(body);
      else setTimeout(() => this.commit(body), 400).unref();
      return { status: 504, body: {} };
    }
    if (url.pathname === '/store') return this.listItems(url);
    if (url.pathname.startsWith('/store/')) return this.readItem(url.pathname.slice('/store/'.length));
    if (url.pathname === '/holds') return this.grantLease(body['ttlMs'] as number);
    const touch = /^\/holds\/(\d+)\/touch$/.exec(url.pathname);
    if (touch !== null) {
      this.renewalCount += 1;
      const reply = this.renewLease(Number(touch[1]));
      return this.renewalsHang ? new Promise(() => undefined) : reply;
    }
    const drop = /^\/holds\/(\d+)$/.exec(url.pathname);
    if (drop !== null && method === 'DELETE') return this.expireLease(Number(drop[1]));
    return { status: 400, body: {} };
  }

  private readItem(key: string): Reply {
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { ledgerRev: this.revision } };
    return { status: 200, body: { key, value: item.value, stamp: item.modRevision } };
  }

  private listItems(url: URL): Reply {
    const under = url.searchParams.get('under') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const keys = [...this.items.keys()].filter((k) => k.startsWith(under) && k > from).sort();
    const items = keys
      .slice(0, 3)
      .map((key) => ({ key, value: this.items.get(key)?.value, stamp: this.items.get(key)?.modRevision }));
    return { status: 200, body: { items, hasNext: keys.length > 3, ledgerRev: this.revision } };
  }

  commit(body: Record<string, unknown>): Reply {
    const guards = body['guards'] as { key: string; stamp: number }[];
    const writes = body['writes'] as { write?: string; delete?: string; value?: unknown; permit?: number }[];
    const tooLarge = writes.some((w) => JSON.stringify(w.value ?? null).length > this.limits.valueBytes);
    if (writes.length > this.limits.txnOps || guards.length > this.limits.txnOps * 4 || tooLarge)
      return { status: 400, body: { error: 'over a limit' } };
    const failed = guards
      .filter((g) => (this.items.get(g.key)?.modRevision ?? 0) !== g.stamp)
      .map((g) => g.key);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.revision } };
    if (writes.some((w) => w.permit !== undefined && !this.leases.has(w.permit)))
      return { status: 400, body: { error: 'no such lease' } };
    if (writes.length > 0) {
      this.revision += 1;
      for (const w of writes)
        this.changeItem(
          w.write ?? w.delete ?? '',
          w.write === undefined ? undefined : w.value,
          w.permit ?? null,
        );
      this.notifyWatchers();
    }
    return { status: 200, body: { ledgerRev: this.revision } };
  }

  private changeItem(key: string, value: unknown, permit: number | null): void {
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, { value, modRevision: this.revision, leaseId: permit });
    this.changes.push({ key, value, stamp: this.revision, gone: value === undefined });
  }

  private notifyWatchers(): void {
    for (const w of [...this.watchers]) w();
  }

  private grantLease(ttl: number): Reply {
    const id = this.nextLeaseId++;
    this.leases.set(id, { ttl, timer: setTimeout(() => this.expireLease(id), ttl) });
    return { status: 200, body: { permit: id } };
  }

  private renewLease(id: number): Reply {
    const h = this.leases.get(id);
    if (h === undefined) return { status: 404, body: {} };
    h.timer.refresh();
    return { status: 200, body: {} };
  }

  expireLease(id: number): Reply {
    const h = this.leases.get(id);
    if (h === undefined) return { status: 404, body: {} };
    clearTimeout(h.timer);
    this.leases.delete(id);
    const keys = [...this.items].filter(([, i]) => i.leaseId === id).map(([k]) => k);
    if (keys.length > 0) this.revision += 1;
    for (const k of keys) this.changeItem(k, undefined, null);
    this.notifyWatchers();
    return { status: 200, body: {} };
  }

  private async watch(url: URL, endpoint: StoreEndpoint): Promise<Reply> {
    const from = Number(url.searchParams.get('from'));
    const holdMs = Number(url.searchParams.get('holdMs') ?? 0);
    const hidden = (): boolean => this.down || endpoint.refused || this.watchesHang;
    const fresh = () => (hidden() ? [] : this.changes.filter((n) => n.stamp > from));
    if (fresh().length === 0)
      await new Promise<void>((done) => {
        const check = (): void => {
          if (fresh().length === 0) return;
          finish();
        };
        const finish = (): void => {
          clearTimeout(timer);
          this.watchers.delete(check);
          done();
        };
        const timer = setTimeout(finish, holdMs);
        timer.unref();
        this.watchers.add(check);
      });
    const news = fresh().map((n) =>
      n.gone ? { delete: n.key, stamp: n.stamp } : { write: n.key, value: n.value, stamp: n.stamp },
    );
    return { status: 200, body: { ledgerRev: hidden() ? from : this.revision, news } };
  }
}
