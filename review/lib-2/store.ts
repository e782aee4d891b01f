/** Stand-in for the platform's metadata store, by PROTOCOL.md. */
import { JsonServer, type Answer, type Call } from "./http.ts";

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const MAX_ENTRIES = 32;
const MAX_WATCH_MS = 30_000;
/** Time after which the connection of an unanswered call ends; longer than any caller waits. */
const UNANSWERED_MS = 12_000;
const FORBIDDEN_PREFIXES = ["op/", "servers/"];

interface Item {
  readonly key: string;
  /** Base64 text. */
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface Deletion {
  readonly key: string;
  readonly revision: number;
  readonly deleted: true;
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

/** Limits of the store, as the settings name them. */
export interface StoreLimits {
  readonly valueBytes: number;
  readonly ttlMinMs: number;
}

/** A key-value store with revisions, watches, transactions and leases. */
export class Store {
  /** Transactions that the store refused because a value exceeds `valueBytes`. */
  oversizedWrites = 0;
  /** Decides what becomes of each write; a number delays it by so many ms, without an answer. */
  fateOf: (path: string) => "answered" | "unanswered" | number = () => "answered";
  readonly #limits: StoreLimits;
  readonly #items = new Map<string, Item>();
  readonly #history: (Item | Deletion)[] = [];
  readonly #leases = new Map<number, Lease>();
  readonly #waiting = new Set<() => void>();
  readonly #server = new JsonServer((call) => this.#answer(call));
  #revision = 1;
  #lastLease = 0;

  constructor(limits: StoreLimits) {
    this.#limits = limits;
  }

  listen(): Promise<string> {
    return this.#server.listen();
  }

  close(): void {
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
    this.#server.close();
  }

  /** Writes JSON as the operator or a worker does. */
  write(key: string, value: unknown): void {
    this.#apply([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
  }

  remove(key: string): void {
    this.#apply([], [key]);
  }

  /** Raw bytes of a key; undefined if it is absent. */
  read(key: string): Buffer | undefined {
    const item = this.#items.get(key);
    return item === undefined ? undefined : Buffer.from(item.value, "base64");
  }

  async #answer(call: Call): Promise<Answer | undefined> {
    const fate = call.method === "GET" ? "answered" : this.fateOf(call.path);
    if (fate === "answered") return this.#handle(call);
    setTimeout(() => void this.#handle(call), fate === "unanswered" ? 0 : fate);
    await new Promise((resolve) => setTimeout(resolve, UNANSWERED_MS));
    return undefined;
  }

  #handle(call: Call): Answer | Promise<Answer> {
    const prefix = call.query.get("prefix") ?? "";
    const id = Number(call.path.split("/").at(-1));
    if (call.path === "/v1/kv-key") return this.#get(call.query.get("key") ?? "");
    if (call.path === "/v1/kv-range") return this.#range(prefix, call.query.get("after") ?? "");
    if (call.path === "/v1/kv-watch")
      return this.#watch(prefix, Number(call.query.get("after")), Number(call.query.get("waitMs")));
    if (call.path === "/v1/kv-txn") return this.#commit(call.body as Transaction);
    if (call.path === "/v1/kv-lease") return this.#grant(call.body as { readonly ttlMs: number });
    if (call.path.startsWith("/v1/kv-keep/")) return this.#keep(id);
    if (call.path.startsWith("/v1/kv-lease-end/")) return this.#end(id);
    return { status: 404 };
  }

  #get(key: string): Answer {
    const item = this.#items.get(key);
    return item === undefined
      ? { status: 404, body: { storeRevision: this.#revision } }
      : { status: 200, body: { ...item, storeRevision: this.#revision } };
  }

  #range(prefix: string, after: string): Answer {
    const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    const items: Item[] = [];
    let bytes = 0;
    for (const key of keys.sort()) {
      const item = this.#items.get(key);
      if (item === undefined) continue;
      if (items.length >= PAGE_ITEMS || (items.length > 0 && bytes >= PAGE_BYTES)) break;
      bytes += item.value.length;
      items.push(item);
    }
    const hasMore = items.length < keys.length;
    return { status: 200, body: { items, hasMore, storeRevision: this.#revision } };
  }

  async #watch(prefix: string, after: number, waitMs: number): Promise<Answer> {
    const until = Date.now() + Math.min(waitMs, MAX_WATCH_MS);
    for (;;) {
      const events = this.#history.filter((e) => e.revision > after && e.key.startsWith(prefix));
      const leftMs = until - Date.now();
      if (events.length > 0 || leftMs <= 0)
        return { status: 200, body: { events, storeRevision: this.#revision } };
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }

  #commit({ expectedRevision = [], puts = [], delete: deletes = [] }: Transaction): Answer {
    if (expectedRevision.length + puts.length + deletes.length > MAX_ENTRIES)
      return { status: 400 };
    const written = [...puts.map(({ key }) => key), ...deletes];
    if (written.some((key) => FORBIDDEN_PREFIXES.some((prefix) => key.startsWith(prefix))))
      return { status: 403 };
    const { valueBytes } = this.#limits;
    if (puts.some(({ value }) => Buffer.byteLength(value, "base64") > valueBytes)) {
      this.oversizedWrites++;
      return { status: 400 };
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease)))
      return { status: 404 };
    const current = expectedRevision.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
    if (expectedRevision.some(({ revision }, index) => current[index]?.revision !== revision))
      return { status: 412, body: { items: current } };
    return { status: 200, body: { revision: this.#apply(puts, deletes) } };
  }

  #apply(
    puts: readonly { readonly key: string; readonly value: string; readonly lease?: number }[],
    deletes: readonly string[],
  ): number {
    const revision = ++this.#revision;
    for (const { key, value, lease = 0 } of puts) {
      const created = this.#items.get(key)?.created ?? revision;
      const item: Item = { key, value, revision, created, lease };
      this.#items.set(key, item);
      this.#history.push(item);
    }
    for (const key of deletes) {
      if (!this.#items.delete(key)) continue;
      this.#history.push({ key, revision, deleted: true });
    }
    for (const wake of [...this.#waiting]) wake();
    return revision;
  }

  #grant({ ttlMs }: { readonly ttlMs: number }): Answer {
    if (ttlMs < this.#limits.ttlMinMs) return { status: 400 };
    const lease = ++this.#lastLease;
    this.#leases.set(lease, { ttlMs, timer: this.#expireLater(lease, ttlMs) });
    return { status: 200, body: { lease, ttlMs } };
  }

  #keep(id: number): Answer {
    const lease = this.#leases.get(id);
    if (lease === undefined) return { status: 404 };
    clearTimeout(lease.timer);
    lease.timer = this.#expireLater(id, lease.ttlMs);
    return { status: 200 };
  }

  #end(id: number): Answer {
    const lease = this.#leases.get(id);
    if (lease === undefined) return { status: 404 };
    clearTimeout(lease.timer);
    this.#expire(id);
    return { status: 200 };
  }

  #expireLater(id: number, ttlMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.#expire(id);
    }, ttlMs);
  }

  #expire(id: number): void {
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter(({ lease }) => lease === id);
    if (keys.length > 0)
      this.#apply(
        [],
        keys.map(({ key }) => key),
      );
  }
}
