/** The platform's metadata store on loopback, as PROTOCOL describes it. */
import { JsonServer, type Call, type Reply } from "./http.ts";

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface Event {
  /** Time of the change in ms. */
  readonly at: number;
  readonly key: string;
  readonly revision: number;
  readonly shown: unknown;
}

interface Lease {
  readonly ttlMs: number;
  timer: NodeJS.Timeout;
}

interface Transaction {
  readonly expectedRevision?: readonly { readonly key: string; readonly revision: number }[];
  readonly puts?: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number;
  }[];
  readonly delete?: readonly string[];
}

/** Bytes of a value at most, as in the settings of the deployments. */
export const VALUE_BYTES = 1_048_576;
const MAX_ENTRIES = 32;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const ANSWER_MS = 4;
/** Time in ms for which the history is kept. */
const HISTORY_MS = 20_000;

/** The store. */
export class Store {
  readonly server = new JsonServer((call) => this.#answer(call));
  readonly #items = new Map<string, Item>();
  /** All keys in order. */
  readonly #keys: string[] = [];
  readonly #leases = new Map<number, Lease>();
  readonly #events: Event[] = [];
  readonly #waiting = new Set<() => void>();
  #revision = 1;
  /** Changes up to this revision are no longer in the history. */
  #forgotten = 0;
  #leaseId = 0;

  /** Writes as operators and workers do. */
  write(key: string, value: unknown): void {
    this.#revision++;
    this.#put(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
    this.#wake();
  }

  /** Value of a key; undefined if there is none. */
  value(key: string): Uint8Array | undefined {
    const item = this.#items.get(key);
    return item === undefined ? undefined : Buffer.from(item.value, "base64");
  }

  delete(key: string): void {
    this.#revision++;
    this.#remove(key);
    this.#wake();
  }

  close(): void {
    this.server.close();
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  async #answer(call: Call): Promise<Reply | undefined> {
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    const { method, path, query, body } = call;
    const prefix = query.get("prefix") ?? "";
    switch (path) {
      case "/v1/kv-key": {
        const item = this.#items.get(query.get("key") ?? "");
        const found = { ...item, storeRevision: this.#revision };
        return item === undefined ? { status: 404 } : { status: 200, body: found };
      }
      case "/v1/kv-range":
        return { status: 200, body: this.#page(prefix, query.get("after") ?? "") };
      case "/v1/kv-watch":
        return this.#watch(prefix, Number(query.get("after")), Number(query.get("waitMs")));
      case "/v1/kv-txn":
        return this.#write(body);
      case "/v1/kv-lease":
        return { status: 200, body: this.#grant(Number(body.ttlMs)) };
    }
    const id = Number(path.split("/").at(-1));
    const known = method === "DELETE" ? this.#endLease(id) : this.#renew(id);
    return { status: known ? 200 : 404 };
  }

  #page(prefix: string, after: string) {
    const items: Item[] = [];
    let bytes = 0;
    let index = this.#position(after > prefix ? after : prefix);
    if (this.#keys[index] === after) index++;
    for (; this.#keys[index]?.startsWith(prefix) === true; index++) {
      const item = this.#items.get(this.#keys[index] ?? "");
      if (item === undefined) continue;
      bytes += item.value.length;
      if (items.length > 0 && (items.length >= PAGE_ITEMS || bytes > PAGE_BYTES)) break;
      items.push(item);
    }
    const hasMore = this.#keys[index]?.startsWith(prefix) === true;
    return { items, hasMore, storeRevision: this.#revision };
  }

  /** Index of the first key that is not below the given one. */
  #position(key: string): number {
    let [low, high] = [0, this.#keys.length];
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#keys[middle] ?? "") < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  async #watch(prefix: string, after: number, waitMs: number): Promise<Reply> {
    const end = performance.now() + waitMs;
    for (;;) {
      if (after < this.#forgotten) return { status: 410 };
      const events = this.#since(prefix, after);
      const leftMs = end - performance.now();
      if (events.length > 0 || leftMs <= 0)
        return { status: 200, body: { events, storeRevision: this.#revision } };
      await this.#nextChange(leftMs);
    }
  }

  #since(prefix: string, after: number): readonly unknown[] {
    const found: unknown[] = [];
    for (let index = this.#events.length - 1; index >= 0; index--) {
      const event = this.#events[index];
      if (event === undefined || event.revision <= after) break;
      if (event.key.startsWith(prefix)) found.push(event.shown);
    }
    return found.reverse();
  }

  #nextChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#waiting.add(wake);
    });
  }

  #write(txn: Transaction): Reply {
    const puts = txn.puts ?? [];
    const entries = [...(txn.expectedRevision ?? []), ...puts, ...(txn.delete ?? [])].length;
    if (entries > MAX_ENTRIES) return { status: 400 };
    for (const { value } of puts)
      if (Buffer.byteLength(value, "base64") > VALUE_BYTES) return { status: 400 };
    return this.#execute(txn);
  }

  #execute(txn: Transaction): Reply {
    const expected = txn.expectedRevision ?? [];
    const holds = expected.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!holds) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return { status: 412, body: { items } };
    }
    const puts = txn.puts ?? [];
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease)))
      return { status: 404 };
    this.#revision++;
    for (const key of txn.delete ?? []) this.#remove(key);
    for (const { key, value, lease = 0 } of puts) this.#put(key, value, lease);
    this.#wake();
    return { status: 200, body: { revision: this.#revision } };
  }

  #put(key: string, value: string, lease: number): void {
    const created = this.#items.get(key)?.created ?? this.#revision;
    if (!this.#items.has(key)) this.#keys.splice(this.#position(key), 0, key);
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#record(key, item);
  }

  #remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#keys.splice(this.#position(key), 1);
    this.#record(key, { key, revision: this.#revision, deleted: true });
  }

  #record(key: string, shown: unknown): void {
    const at = performance.now();
    this.#events.push({ at, key, revision: this.#revision, shown });
    for (let first = this.#events[0]; first !== undefined; first = this.#events[0]) {
      if (at - first.at <= HISTORY_MS) break;
      this.#forgotten = first.revision;
      this.#events.shift();
    }
  }

  #wake(): void {
    for (const wake of [...this.#waiting]) wake();
  }

  #grant(ttlMs: number) {
    const lease = ++this.#leaseId;
    this.#leases.set(lease, { ttlMs, timer: this.#expiry(lease, ttlMs) });
    return { lease, ttlMs };
  }

  #expiry(id: number, ttlMs: number): NodeJS.Timeout {
    return setTimeout(() => this.#endLease(id), ttlMs);
  }

  #renew(id: number): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    lease.timer = this.#expiry(id, lease.ttlMs);
    return true;
  }

  #endLease(id: number): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) if (item.lease === id) this.delete(item.key);
    return true;
  }
}
