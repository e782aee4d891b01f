import type { Clock, Timer } from "../../../src/ports/clock.ts";
import { Clock as AbstractClock } from "../../../src/ports/clock.ts";
import {
  JobBackend,
  JobBackendConnector,
  type OrderResult,
  type PaceOrder,
  type PollOrder,
  type StartOrder,
  type StopOrder,
} from "../../../src/ports/job-backend.ts";
import { Err } from "ts-results";
import type { StoreConnectivity } from "../../../src/state/jobs/election/election-delay.ts";
import {
  RecordStore,
  type RecordTransaction,
  type StoreResult,
} from "../../../src/ports/record-store.ts";
import type { MemoryRecordClient } from "../../../src/stand-ins/memory-record-store.ts";
import type { SimulatedJobServer } from "../../../src/stand-ins/simulated-job-server.ts";

const ORDER_TIMEOUT_MS = 900;
const WATCH_STALL_STEP_MS = 20;

/** Bytes of a call in addition to its payload. */
const CALL_OVERHEAD_BYTES = 400;

/** A link of limited bandwidth that transfers calls one after the other. */
export class SlowLink {
  readonly #clock: Clock;
  readonly #bytesPerMs: number;
  #busyUntil = 0;

  constructor(clock: Clock, bytesPerMs: number) {
    this.#clock = clock;
    this.#bytesPerMs = bytesPerMs;
  }

  /** Resolves once a call with a payload of the given size has been transferred. */
  async transfer(bytes: number): Promise<void> {
    const now = this.#clock.now();
    this.#busyUntil =
      Math.max(now, this.#busyUntil) + (CALL_OVERHEAD_BYTES + bytes) / this.#bytesPerMs;
    await this.#clock.sleep(this.#busyUntil - now);
  }
}

/** Faults of one entry's process and of its connections, which tests switch on and off. */
export class EntryFaults {
  /** Whether orders to backend servers and their replies are lost. */
  cutFromServers = false;
  /** Whether watches of operator records get no reply until this is switched off. */
  stallOperatorWatches = false;
  /** Time in ms that reads of each prefix of the store take, in addition. */
  readonly readDelayMs = new Map<string, number>();
  /** The link shared by calls to the store and to backend servers. */
  link: SlowLink | undefined;
  /** The store connectivity reported to the entry. */
  storeConnectivity: StoreConnectivity = { disconnectedMs: 0, unresponsiveMs: 0 };
  readonly #clock: Clock;
  #frozen = false;
  #suspendedMs = 0;
  #suspendedSince: number | undefined;
  #waiting: (() => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Suspends the process without notifying it. The monotonic clock continues. */
  freeze(): void {
    this.#frozen = true;
  }

  /** Suspends the machine. The time of day goes on, the monotonic clock of its processes does not. */
  suspend(): void {
    this.#suspendedSince ??= this.#clock.now();
    this.freeze();
  }

  /** Total time in ms that the monotonic clock of the process did not count. */
  get suspendedMs(): number {
    const now = this.#clock.now();
    return this.#suspendedMs + now - (this.#suspendedSince ?? now);
  }

  /** Ends a freeze or a suspension. */
  thaw(): void {
    this.#suspendedMs = this.suspendedMs;
    this.#suspendedSince = undefined;
    this.#frozen = false;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resume of waiting) resume();
  }

  /** Resolves once watches of operator records get replies. */
  async untilWatchesReply(): Promise<void> {
    while (this.stallOperatorWatches) await this.#clock.sleep(WATCH_STALL_STEP_MS);
  }

  /** Resolves once the store is about to answer a read of the prefix. */
  async untilRead(prefix: string): Promise<void> {
    const delayMs = this.readDelayMs.get(prefix) ?? 0;
    if (delayMs > 0) await this.#clock.sleep(delayMs);
  }

  /** Resolves once the process is not frozen. */
  untilRunning(): Promise<void> {
    if (!this.#frozen) return Promise.resolve();
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  /** Starts the call, and delivers its result, only while the process is not frozen. */
  async runInProcess<T>(call: () => Promise<T>): Promise<T> {
    await this.untilRunning();
    const result = await call();
    await this.untilRunning();
    return result;
  }

  /** Returns a clock whose timers fire only while the process is not frozen. */
  clock(): Clock {
    return new ProcessClock(this.#clock, this);
  }
}

class ProcessClock extends AbstractClock {
  readonly #clock: Clock;
  readonly #faults: EntryFaults;

  constructor(clock: Clock, faults: EntryFaults) {
    super();
    this.#clock = clock;
    this.#faults = faults;
  }

  now(): number {
    return this.#clock.now() - this.#faults.suspendedMs;
  }

  wallTime(): number {
    return this.#clock.wallTime();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const timer = this.#clock.schedule(delayMs, () => {
      void this.#faults.untilRunning().then(() => {
        if (!cancelled) callback();
      });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }
}

/** One entry's client of the store, subject to the faults of the entry. */
export class EntryStore extends RecordStore {
  readonly #client: MemoryRecordClient;
  readonly #faults: EntryFaults;

  constructor(client: MemoryRecordClient, faults: EntryFaults) {
    super();
    this.#client = client;
    this.#faults = faults;
  }

  get(key: string) {
    return this.#faults.runInProcess(() => this.#client.get(key));
  }

  range(prefix: string) {
    return this.#faults.runInProcess(async () => {
      await this.#faults.untilRead(prefix);
      return this.#client.range(prefix);
    });
  }

  watch(prefix: string, after: number, waitMs: number) {
    return this.#faults.runInProcess(async () => {
      const changes = await this.#client.watch(prefix, after, waitMs);
      if (prefix === "op/") await this.#faults.untilWatchesReply();
      return changes;
    });
  }

  commit(txn: RecordTransaction): StoreResult<number> {
    const bytes = txn.puts.reduce((sum, { value }) => sum + value.length, 0);
    return this.#faults.runInProcess(async () => {
      await this.#faults.link?.transfer(bytes);
      return this.#client.commit(txn);
    });
  }

  grantLease(ttlMs: number) {
    return this.#faults.runInProcess(() => this.#client.grantLease(ttlMs));
  }

  renewLease(id: number) {
    return this.#faults.runInProcess(async () => {
      await this.#faults.link?.transfer(0);
      return this.#client.renewLease(id);
    });
  }

  revokeLease(id: number) {
    return this.#faults.runInProcess(() => this.#client.revokeLease(id));
  }
}

/** One entry's connections to the backend servers, subject to the faults of the entry. */
export class EntryConnector extends JobBackendConnector {
  /** Numbers of orders sent by this entry. */
  starts = 0;
  polls = 0;
  readonly #clock: Clock;
  readonly #faults: EntryFaults;
  readonly #servers: ReadonlyMap<string, SimulatedJobServer>;

  constructor(clock: Clock, faults: EntryFaults, servers: ReadonlyMap<string, SimulatedJobServer>) {
    super();
    this.#clock = clock;
    this.#faults = faults;
    this.#servers = servers;
  }

  connect(_address: string, id: string): JobBackend {
    const server = this.#servers.get(id);
    if (server === undefined) throw new Error(`backend server "${id}" does not exist`);
    return new EntryBackend(this.#clock, this.#faults, new CountedBackend(this, server.client()));
  }
}

class CountedBackend extends JobBackend {
  readonly #counts: EntryConnector;
  readonly #backend: JobBackend;

  constructor(counts: EntryConnector, backend: JobBackend) {
    super();
    this.#counts = counts;
    this.#backend = backend;
  }

  start(order: StartOrder) {
    this.#counts.starts++;
    return this.#backend.start(order);
  }

  stop(order: StopOrder) {
    return this.#backend.stop(order);
  }

  poll(order: PollOrder) {
    this.#counts.polls++;
    return this.#backend.poll(order);
  }

  pace(order: PaceOrder) {
    return this.#backend.pace(order);
  }
}

class EntryBackend extends JobBackend {
  readonly #clock: Clock;
  readonly #faults: EntryFaults;
  readonly #backend: JobBackend;

  constructor(clock: Clock, faults: EntryFaults, backend: JobBackend) {
    super();
    this.#clock = clock;
    this.#faults = faults;
    this.#backend = backend;
  }

  start(order: StartOrder) {
    return this.#order(() => this.#backend.start(order), order.spec.length);
  }

  stop(order: StopOrder) {
    return this.#order(() => this.#backend.stop(order));
  }

  poll(order: PollOrder) {
    return this.#order(() => this.#backend.poll(order));
  }

  pace(order: PaceOrder) {
    return this.#order(() => this.#backend.pace(order));
  }

  /** Read again after an order, because the connection may have been cut since it was sent. */
  #isCut(): boolean {
    return this.#faults.cutFromServers;
  }

  #order<T>(call: () => OrderResult<T>, bytes = 0): OrderResult<T> {
    const { link } = this.#faults;
    if (link !== undefined) return this.#orderOverLink(link, call, bytes);
    return this.#faults.runInProcess(async () => {
      const reached = !this.#faults.cutFromServers;
      const result = reached ? await call() : undefined;
      if (result !== undefined && !this.#isCut()) return result;
      await this.#clock.sleep(ORDER_TIMEOUT_MS);
      return Err({ kind: "unknown", detail: "no response" });
    });
  }

  /** An order that waits too long for the link times out, but still takes effect later. */
  #orderOverLink<T>(link: SlowLink, call: () => OrderResult<T>, bytes: number): OrderResult<T> {
    const timeout: OrderResult<T> = this.#clock
      .sleep(ORDER_TIMEOUT_MS)
      .then(() => Err({ kind: "unknown", detail: "no response" }));
    return Promise.race([link.transfer(bytes).then(call), timeout]);
  }
}
