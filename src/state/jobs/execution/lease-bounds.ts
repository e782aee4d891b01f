import { leasesLapsedAt, type ServerClock } from "./server-clock.ts";

/** Time in ms after a takeover by which orders of the former scheduler were answered or have timed out. */
const FORMER_ORDERS_MS = 4000;

/** Options of {@link LeaseBounds}. */
export interface LeaseBoundsOptions {
  /** Clock of the boot. */
  readonly serverClock: ServerClock;
  /** Time to live in ms of the leases that schedulers grant. */
  readonly leaseTtlMs: number;
  /** Longest lease in ms that a backend server accepts, whatever deadline an order carries. */
  readonly maxServerLeaseMs: number;
  /** Monotonic time in ms at which this scheduler took over. */
  readonly takenOverAt: number;
  /** Bounds of the former boot, if this scheduler knew it. */
  readonly former?: LeaseBounds | undefined;
}

/** What log lines say about a lease; times in ms. */
export interface LeaseFields {
  /** True if this scheduler has read a list of the boot. */
  readonly adopted: boolean;
  /** Estimated time on the server's clock; undefined if the clock was not read. */
  readonly clockMs: number | undefined;
  /** Orders with a deadline that have no result yet. */
  readonly pendingOrders: number;
  /**
   * Time since the last order with a deadline had a result or was given up; 0 while one is pending,
   * undefined if none was sent.
   */
  readonly lastOrderAgoMs: number | undefined;
}

/**
 * Times from which the lease of one boot of a backend server has certainly lapsed. A deadline is a time on
 * the clock of the boot that the order was issued for. A later boot may carry the order out, and its
 * clock is unrelated, so it may then take the longest lease that it accepts.
 */
export class LeaseBounds {
  readonly #options: Omit<LeaseBoundsOptions, "former">;
  /** Bounds of the former boot; undefined once the orders for it and those before it have ended. */
  #former: LeaseBounds | undefined;
  /** Highest deadline in orders for former boots, which this boot would read on its own clock. */
  readonly #formerDeadlineMs: number = 0;
  /** Time of the first list that this scheduler has read of a former boot. */
  readonly #formerAdoptedAt: number | undefined;
  #formerOrderAt: number | undefined;
  #adoptedAt: number | undefined;
  /** Monotonic time in ms from which leases have lapsed that orders of former schedulers gave to this boot. */
  #formerOrdersLapsedAt = Infinity;
  #pendingOrders = 0;
  #lastOrderEndedAt: number | undefined;

  constructor({ former, ...options }: LeaseBoundsOptions) {
    this.#options = options;
    this.#former = former;
    if (former === undefined) return;
    this.#formerDeadlineMs = former.#latestDeadlineMs;
    this.#formerAdoptedAt = former.#firstAdoptedAt;
  }

  /** Fields for log lines. */
  logFields(now: number): LeaseFields {
    const { reading } = this.#options.serverClock;
    const orderAt = this.#lastOrderAt(now);
    return {
      adopted: this.#adoptedAt !== undefined,
      clockMs: reading && Math.round(reading.clockMs + now - reading.receivedAt),
      pendingOrders: this.#pendingOrders,
      lastOrderAgoMs: orderAt === undefined ? undefined : Math.round(now - orderAt),
    };
  }

  /**
   * Latest monotonic time in ms at which an order with a deadline may have been carried out; undefined if
   * none was sent. No order reaches a later boot after it was given up (docs/assumptions.md).
   */
  #lastOrderAt(now: number): number | undefined {
    return this.#pendingOrders > 0 ? now : this.#lastOrderEndedAt;
  }

  /** Records that an order with a deadline is about to be sent. */
  orderSent(): void {
    this.#pendingOrders++;
  }

  /** Records that an order with a deadline was answered or given up. */
  orderEnded(now: number): void {
    this.#pendingOrders--;
    this.#lastOrderEndedAt = now;
  }

  /** Records a list of this boot, which refuses orders of earlier schedulers from its first list on. */
  listRead(now: number): void {
    this.#adoptedAt ??= now;
  }

  /** Records that the former scheduler knew the lease of this boot to be as granted. */
  recordGrantedByFormerScheduler(): void {
    this.limitFormerOrders(0);
  }

  /**
   * Records that leases have lapsed at monotonic time `until` in ms that orders of former schedulers for
   * former boots may have given to this boot.
   */
  limitFormerOrders(until: number): void {
    this.#formerOrdersLapsedAt = Math.min(this.#formerOrdersLapsedAt, until);
  }

  /**
   * Monotonic time in ms until which this boot may have a longer lease than schedulers granted to it.
   * Undefined before this scheduler's first list, and while its orders for a former boot are pending.
   */
  doubtedUntil(now: number): number | undefined {
    if (this.#adoptedAt === undefined || this.#formerOrderPending) return undefined;
    return this.#strayOrdersLapsedAt(now);
  }

  /** Monotonic time in ms from which the lease has lapsed for runs that are certainly on this boot. */
  ownBootLapsedAt(now: number): number {
    const { serverClock, takenOverAt, leaseTtlMs } = this.#options;
    const inherited = leasesLapsedAt(takenOverAt, leaseTtlMs);
    if (this.#adoptedAt === undefined) return inherited;
    return Math.max(inherited, serverClock.lapsedAt() ?? 0, this.#strayOrdersLapsedAt(now));
  }

  /** Monotonic time in ms from which leases have lapsed for runs that may be on this boot or a later one. */
  anyBootLapsedAt(now: number): number {
    const orderAt = this.#lastOrderAt(now);
    const lapsedAt = orderAt === undefined ? 0 : this.#longestLapsedAt(orderAt);
    // Trust in the lease of this boot says nothing about a later one.
    const strayOrders = this.#strayOrdersOfFormerSchedulersLapsedAt();
    return Math.max(lapsedAt, this.#strayOrdersOfThisSchedulerLapsedAt(now), strayOrders);
  }

  /** True if the lease is certainly no longer than granted; false before this scheduler's first list. */
  isAsGranted(now: number): boolean {
    return this.#adoptedAt !== undefined && now > this.#strayOrdersLapsedAt(now);
  }

  /** Monotonic time in ms from which leases have lapsed that orders for former boots may have given to this one. */
  #strayOrdersLapsedAt(now: number): number {
    const strayOrders = this.#strayOrdersOfThisSchedulerLapsedAt(now);
    const formerOrders = this.#strayOrdersOfFormerSchedulersLapsedAt();
    return Math.max(strayOrders, Math.min(formerOrders, this.#formerOrdersLapsedAt));
  }

  /** Like {@link #strayOrdersLapsedAt}, for orders of this scheduler, which extend the lease to their deadlines at most. */
  #strayOrdersOfThisSchedulerLapsedAt(now: number): number {
    const orderAt = this.#lastFormerOrderAt(now);
    if (orderAt === undefined) return 0;
    const deadlineAt = this.#options.serverClock.passedAt(this.#formerDeadlineMs) ?? Infinity;
    return Math.min(deadlineAt, this.#longestLapsedAt(orderAt));
  }

  /** Like {@link #strayOrdersLapsedAt}, for orders of former schedulers. */
  #strayOrdersOfFormerSchedulersLapsedAt(): number {
    const { takenOverAt } = this.#options;
    // From its first list on, the server refuses orders of earlier schedulers.
    const adoptedAt = this.#firstAdoptedAt ?? takenOverAt;
    return this.#longestLapsedAt(Math.min(adoptedAt, takenOverAt + FORMER_ORDERS_MS));
  }

  get #formerOrderPending(): boolean {
    const former = this.#former;
    return former !== undefined && (former.#pendingOrders > 0 || former.#formerOrderPending);
  }

  /** Like {@link #lastOrderAt}, for former boots. Forgets the former boot once its orders have ended. */
  #lastFormerOrderAt(now: number): number | undefined {
    const former = this.#former;
    if (former === undefined) return this.#formerOrderAt;
    const times = [former.#lastOrderAt(now), former.#lastFormerOrderAt(now)];
    const known = times.filter((time) => time !== undefined);
    if (known.length > 0) this.#formerOrderAt = Math.max(...known);
    if (former.#pendingOrders === 0 && former.#former === undefined) this.#former = undefined;
    return this.#formerOrderAt;
  }

  get #firstAdoptedAt(): number | undefined {
    return this.#formerAdoptedAt ?? this.#adoptedAt;
  }

  get #latestDeadlineMs(): number {
    return Math.max(this.#formerDeadlineMs, this.#options.serverClock.latestDeadlineMs);
  }

  #longestLapsedAt(orderAt: number): number {
    return leasesLapsedAt(orderAt, this.#options.maxServerLeaseMs);
  }
}
