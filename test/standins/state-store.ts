import { listen, type Reply } from './http.js';

interface Item {
  value: unknown;
  stamp: number;
  permit: number | null;
}

/** One of several addresses of the service. Whoever comes by one that is refused gets 503, and its follows wait. */
export interface Endpoint {
  readonly addr: string;
  refused: boolean;
}

/** A state service in memory: guards, stamps, holds that end, follows. It refuses what the interfaces refuse. */
export class StateStandIn {
  addr = '';
  down = false;
  rev = 0;
  readonly items = new Map<string, Item>();
  /** Every transaction that came, for sending copies of it later. */
  readonly commits: Record<string, unknown>[] = [];
  /**
   * What becomes of a transaction: `lost` is carried out without an answer, `late` only after a while, `held` at once,
   * but answered only after `heldMs`, `slow` only after `slowMs`, and then answered.
   */
  fate: (body: Record<string, unknown>) => 'lost' | 'late' | 'held' | 'slow' | null = () => null;
  slowMs = 400;
  heldMs = 1400;
  /** Follows hear of nothing, as on a connection that hangs. */
  followsHang = false;
  /** Requests of all kinds that came. */
  asked = 0;
  /** Renewals of leases that came, and whether their answers never do. */
  renewals = 0;
  renewalsHang = false;
  private readonly holds = new Map<number, { ttl: number; timer: NodeJS.Timeout }>();
  private readonly news: { key: string; value: unknown; stamp: number; gone: boolean }[] = [];
  private readonly waiting = new Set<() => void>();
  private nextHold = 1;
  private readonly shut: (() => void)[] = [];

  constructor(private readonly limits: { txnOps: number; valueBytes: number }) {}

  async start(): Promise<void> {
    this.addr = (await this.endpoint()).addr;
  }

  /** A further address, so that the service can refuse one controller alone. */
  async endpoint(): Promise<Endpoint> {
    const endpoint = { addr: '', refused: false };
    const s = await listen((m, u, b) => this.answer(m, u, b as Record<string, unknown>, endpoint));
    this.shut.push(s.close);
    endpoint.addr = s.addr;
    return endpoint;
  }

  stop(): void {
    for (const h of this.holds.values()) clearTimeout(h.timer);
    for (const s of this.shut) s();
  }

  private answer(
    method: string,
    url: URL,
    body: Record<string, unknown>,
    endpoint: Endpoint,
  ): Reply | Promise<Reply> {
    this.asked += 1;
    if (url.pathname === '/follow') return this.follow(url, endpoint);
    if (this.down || endpoint.refused) return { status: 503, body: { error: 'trouble' } };
    if (url.pathname === '/commit') {
      this.commits.push(body);
      const fate = this.fate(body);
      if (fate === null) return this.commit(body);
      if (fate === 'held') {
        const reply = this.commit(body);
        return new Promise((done) => setTimeout(() => done(reply), this.heldMs).unref());
      }
      if (fate === 'slow')
        return new Promise((done) => setTimeout(() => done(this.commit(body)), this.slowMs).unref());
      if (fate === 'lost') this.commit(body);
      else setTimeout(() => this.commit(body), 400).unref();
      return { status: 504, body: {} };
    }
    if (url.pathname === '/store') return this.list(url);
    if (url.pathname.startsWith('/store/')) return this.get(url.pathname.slice('/store/'.length));
    if (url.pathname === '/holds') return this.hold(body['ttlMs'] as number);
    const touch = /^\/holds\/(\d+)\/touch$/.exec(url.pathname);
    if (touch !== null) {
      this.renewals += 1;
      const reply = this.touch(Number(touch[1]));
      return this.renewalsHang ? new Promise(() => undefined) : reply;
    }
    const drop = /^\/holds\/(\d+)$/.exec(url.pathname);
    if (drop !== null && method === 'DELETE') return this.end(Number(drop[1]));
    return { status: 400, body: {} };
  }

  private get(key: string): Reply {
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { ledgerRev: this.rev } };
    return { status: 200, body: { key, value: item.value, stamp: item.stamp } };
  }

  private list(url: URL): Reply {
    const under = url.searchParams.get('under') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const keys = [...this.items.keys()].filter((k) => k.startsWith(under) && k > from).sort();
    const items = keys
      .slice(0, 3)
      .map((key) => ({ key, value: this.items.get(key)?.value, stamp: this.items.get(key)?.stamp }));
    return { status: 200, body: { items, hasNext: keys.length > 3, ledgerRev: this.rev } };
  }

  commit(body: Record<string, unknown>): Reply {
    const guards = body['guards'] as { key: string; stamp: number }[];
    const writes = body['writes'] as { write?: string; delete?: string; value?: unknown; permit?: number }[];
    const tooLarge = writes.some((w) => JSON.stringify(w.value ?? null).length > this.limits.valueBytes);
    if (writes.length > this.limits.txnOps || guards.length > this.limits.txnOps * 4 || tooLarge)
      return { status: 400, body: { error: 'over a limit' } };
    const failed = guards.filter((g) => (this.items.get(g.key)?.stamp ?? 0) !== g.stamp).map((g) => g.key);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.rev } };
    if (writes.some((w) => w.permit !== undefined && !this.holds.has(w.permit)))
      return { status: 400, body: { error: 'no such lease' } };
    if (writes.length > 0) {
      this.rev += 1;
      for (const w of writes)
        this.change(w.write ?? w.delete ?? '', w.write === undefined ? undefined : w.value, w.permit ?? null);
      this.wake();
    }
    return { status: 200, body: { ledgerRev: this.rev } };
  }

  private change(key: string, value: unknown, permit: number | null): void {
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, { value, stamp: this.rev, permit });
    this.news.push({ key, value, stamp: this.rev, gone: value === undefined });
  }

  private wake(): void {
    for (const w of [...this.waiting]) w();
  }

  private hold(ttl: number): Reply {
    const id = this.nextHold++;
    this.holds.set(id, { ttl, timer: setTimeout(() => this.end(id), ttl) });
    return { status: 200, body: { permit: id } };
  }

  private touch(id: number): Reply {
    const h = this.holds.get(id);
    if (h === undefined) return { status: 404, body: {} };
    h.timer.refresh();
    return { status: 200, body: {} };
  }

  end(id: number): Reply {
    const h = this.holds.get(id);
    if (h === undefined) return { status: 404, body: {} };
    clearTimeout(h.timer);
    this.holds.delete(id);
    const keys = [...this.items].filter(([, i]) => i.permit === id).map(([k]) => k);
    if (keys.length > 0) this.rev += 1;
    for (const k of keys) this.change(k, undefined, null);
    this.wake();
    return { status: 200, body: {} };
  }

  private async follow(url: URL, endpoint: Endpoint): Promise<Reply> {
    const from = Number(url.searchParams.get('from'));
    const holdMs = Number(url.searchParams.get('holdMs') ?? 0);
    const hidden = (): boolean => this.down || endpoint.refused || this.followsHang;
    const fresh = () => (hidden() ? [] : this.news.filter((n) => n.stamp > from));
    if (fresh().length === 0)
      await new Promise<void>((done) => {
        const check = (): void => {
          if (fresh().length === 0) return;
          finish();
        };
        const finish = (): void => {
          clearTimeout(timer);
          this.waiting.delete(check);
          done();
        };
        const timer = setTimeout(finish, holdMs);
        timer.unref();
        this.waiting.add(check);
      });
    const news = fresh().map((n) =>
      n.gone ? { delete: n.key, stamp: n.stamp } : { write: n.key, value: n.value, stamp: n.stamp },
    );
    return { status: 200, body: { ledgerRev: hidden() ? from : this.rev, news } };
  }
}
