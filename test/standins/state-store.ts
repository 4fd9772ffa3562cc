/** @file A state store in memory, behind its HTTP interface. */
import { listen, type Reply } from './http.js';

interface StoredItem {
  value: unknown;
  modRevision: number;
  /** The lease at whose end the key is deleted, or null if the key has no lease. */
  leaseId: number | null;
}

interface KeyChange {
  readonly key: string;
  /** Undefined if the key was deleted. */
  readonly value: unknown;
  readonly modRevision: number;
}

/** One of several addresses of the state store. If `refused`, requests get 503 and watches return no changes. */
export interface StoreEndpoint {
  readonly address: string;
  refused: boolean;
}

/**
 * A fault of a transaction. With `lost`, it is committed at once, but answered with 504. With `late`, it is answered with
 * 504, and committed after `LATE_COMMIT_MS`. With `late-response`, it is committed at once, but answered only after
 * `lateResponseMs`. With `slow`, it is committed and answered only after `slowCommitMs`.
 */
export type TransactionFault = 'lost' | 'late' | 'late-response' | 'slow';

const LATE_COMMIT_MS = 400;
const ITEMS_PER_LIST = 3;
const CONDITIONS_PER_OPERATION = 4;

/** Limits of a transaction; tests lower them while it runs. */
interface Limits {
  txnOps: number;
  valueBytes: number;
}

const replyAfter = (delayMs: number, reply: () => Reply): Promise<Reply> =>
  new Promise((done) => setTimeout(() => done(reply()), delayMs).unref());

/** A state store in memory with compare conditions, leases, watches and the limits of the real one. */
export class StateStoreStandIn {
  address = '';
  down = false;
  revision = 0;
  readonly items = new Map<string, StoredItem>();
  /** All received transactions, from which tests send duplicates later. */
  readonly transactions: Record<string, unknown>[] = [];
  transactionFault: (body: Record<string, unknown>) => TransactionFault | null = () => null;
  slowCommitMs = 400;
  lateResponseMs = 1400;
  /** Called with each transaction with writes that was committed and answered. */
  onCommitted: (body: Record<string, unknown>) => void = () => undefined;
  /** If true, watches return no changes, as on a connection that hangs. */
  watchesHang = false;
  /** Number of requests of all kinds that were received. */
  requestCount = 0;
  /** Number of lease renewals that were received. */
  renewalCount = 0;
  /** If true, lease renewals are executed but never answered. */
  renewalsHang = false;
  private readonly leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout }>();
  private readonly changes: KeyChange[] = [];
  private readonly watchers = new Set<() => void>();
  private nextLeaseId = 1;
  private readonly closeServers: (() => void)[] = [];

  constructor(readonly limits: Limits) {}

  async start(): Promise<void> {
    this.address = (await this.openEndpoint()).address;
  }

  /** Opens a further address, so that a test can refuse the requests of one controller alone. */
  async openEndpoint(): Promise<StoreEndpoint> {
    const endpoint = { address: '', refused: false };
    const server = await listen((method, url, body) =>
      this.answer(method, url, body as Record<string, unknown>, endpoint),
    );
    this.closeServers.push(server.close);
    endpoint.address = server.address;
    return endpoint;
  }

  stop(): void {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    for (const close of this.closeServers) close();
  }

  private answer(
    method: string,
    url: URL,
    body: Record<string, unknown>,
    endpoint: StoreEndpoint,
  ): Reply | Promise<Reply> {
    this.requestCount += 1;
    const { pathname } = url;
    if (pathname === '/follow') return this.watch(url, endpoint);
    if (this.down || endpoint.refused) return { status: 503, body: { error: 'trouble' } };
    if (pathname === '/commit') return this.answerTransaction(body);
    if (pathname === '/store') return this.listItems(url);
    if (pathname.startsWith('/store/')) return this.readItem(pathname.slice('/store/'.length));
    if (pathname === '/holds') return this.grantLease(body['ttlMs'] as number);
    const renewalPath = /^\/holds\/(\d+)\/touch$/.exec(pathname);
    if (renewalPath !== null) {
      this.renewalCount += 1;
      const reply = this.renewLease(Number(renewalPath[1]));
      return this.renewalsHang ? new Promise(() => undefined) : reply;
    }
    const revocationPath = /^\/holds\/(\d+)$/.exec(pathname);
    if (revocationPath !== null && method === 'DELETE') return this.expireLease(Number(revocationPath[1]));
    return { status: 400, body: {} };
  }

  private answerTransaction(body: Record<string, unknown>): Reply | Promise<Reply> {
    this.transactions.push(body);
    const fault = this.transactionFault(body);
    if (fault === null) return this.commitAndAnswer(body);
    if (fault === 'late-response') {
      const reply = this.commit(body);
      return replyAfter(this.lateResponseMs, () => reply);
    }
    if (fault === 'slow') return replyAfter(this.slowCommitMs, () => this.commit(body));
    if (fault === 'lost') this.commit(body);
    else setTimeout(() => this.commit(body), LATE_COMMIT_MS).unref();
    return { status: 504, body: {} };
  }

  private commitAndAnswer(body: Record<string, unknown>): Reply {
    const reply = this.commit(body);
    if (reply.status === 200 && (body['writes'] as unknown[]).length > 0) this.onCommitted(body);
    return reply;
  }

  private readItem(key: string): Reply {
    const item = this.items.get(key);
    if (item === undefined) return { status: 404, body: { ledgerRev: this.revision } };
    return { status: 200, body: { key, value: item.value, stamp: item.modRevision } };
  }

  private listItems(url: URL): Reply {
    const prefix = url.searchParams.get('under') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const items = keys.slice(0, ITEMS_PER_LIST).map((key) => {
      const item = this.items.get(key);
      return { key, value: item?.value, stamp: item?.modRevision };
    });
    const hasNext = keys.length > ITEMS_PER_LIST;
    return { status: 200, body: { items, hasNext, ledgerRev: this.revision } };
  }

  /** Commits a transaction; tests also call it directly with duplicates. */
  commit(body: Record<string, unknown>): Reply {
    const conditions = body['guards'] as { key: string; stamp: number }[];
    const writes = body['writes'] as { write?: string; delete?: string; value?: unknown; permit?: number }[];
    const tooLarge = writes.some(
      ({ value }) => JSON.stringify(value ?? null).length > this.limits.valueBytes,
    );
    const tooMany =
      writes.length > this.limits.txnOps || conditions.length > this.limits.txnOps * CONDITIONS_PER_OPERATION;
    if (tooMany || tooLarge) return { status: 400, body: { error: 'over a limit' } };
    const failed = conditions
      .filter(({ key, stamp }) => (this.items.get(key)?.modRevision ?? 0) !== stamp)
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: { failed, ledgerRev: this.revision } };
    if (writes.some(({ permit }) => permit !== undefined && !this.leases.has(permit)))
      return { status: 400, body: { error: 'no such lease' } };
    if (writes.length > 0) {
      this.revision += 1;
      for (const { write, delete: deleted, value, permit } of writes)
        this.changeItem(write ?? deleted ?? '', write === undefined ? undefined : value, permit ?? null);
      this.notifyWatchers();
    }
    return { status: 200, body: { ledgerRev: this.revision } };
  }

  private changeItem(key: string, value: unknown, leaseId: number | null): void {
    const modRevision = this.revision;
    if (value === undefined) this.items.delete(key);
    else this.items.set(key, { value, modRevision, leaseId });
    this.changes.push({ key, value, modRevision });
  }

  private notifyWatchers(): void {
    for (const notify of [...this.watchers]) notify();
  }

  private grantLease(ttlMs: number): Reply {
    const id = this.nextLeaseId++;
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.expireLease(id), ttlMs) });
    return { status: 200, body: { permit: id } };
  }

  private renewLease(id: number): Reply {
    const lease = this.leases.get(id);
    if (lease === undefined) return { status: 404, body: {} };
    lease.timer.refresh();
    return { status: 200, body: {} };
  }

  /** Ends a lease and deletes the keys that were written with it. */
  expireLease(id: number): Reply {
    const lease = this.leases.get(id);
    if (lease === undefined) return { status: 404, body: {} };
    clearTimeout(lease.timer);
    this.leases.delete(id);
    const keys = [...this.items].filter(([, item]) => item.leaseId === id).map(([key]) => key);
    if (keys.length > 0) this.revision += 1;
    for (const key of keys) this.changeItem(key, undefined, null);
    this.notifyWatchers();
    return { status: 200, body: {} };
  }

  /** Answers at once if there are changes, otherwise at the first change or after the requested time. */
  private async watch(url: URL, endpoint: StoreEndpoint): Promise<Reply> {
    const from = Number(url.searchParams.get('from'));
    const waitMs = Number(url.searchParams.get('holdMs') ?? 0);
    const hidden = (): boolean => this.down || endpoint.refused || this.watchesHang;
    const visible = (): KeyChange[] =>
      hidden() ? [] : this.changes.filter(({ modRevision }) => modRevision > from);
    if (visible().length === 0) await this.waitForChange(() => visible().length > 0, waitMs);
    const news = visible().map(({ key, value, modRevision: stamp }) =>
      value === undefined ? { delete: key, stamp } : { write: key, value, stamp },
    );
    return { status: 200, body: { ledgerRev: hidden() ? from : this.revision, news } };
  }

  private waitForChange(changed: () => boolean, waitMs: number): Promise<void> {
    return new Promise<void>((done) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.watchers.delete(check);
        done();
      };
      const check = (): void => {
        if (changed()) finish();
      };
      const timer = setTimeout(finish, waitMs);
      timer.unref();
      this.watchers.add(check);
    });
  }
}
