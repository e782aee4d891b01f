import { leasesLapsedAt, type ServerClock } from "./server-clock.ts";

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

/**
 * Times from which the lease of one boot of a backend server has certainly lapsed. A deadline is a time on
 * the clock of the boot that the order was issued for. A later boot may carry the order out, and its
 * clock is unrelated, so it may then take the longest lease that it accepts.
 */
export class LeaseBounds {
  readonly #serverClock: ServerClock;
  readonly #leaseTtlMs: number;
  readonly #maxServerLeaseMs: number;
  readonly #takenOverAt: number;
  readonly #firstKnownBoot: boolean;
  /** Undefined once its orders have ended. */
  #former: LeaseBounds | undefined;
  /** Time from which leases that orders for former boots gave to this one have lapsed. */
  #formerOrdersLapsedAt = 0;
  #adoptedAt: number | undefined;
  #pendingOrders = 0;
  #lastOrderEndedAt: number | undefined;

  constructor(options: LeaseBoundsOptions) {
    this.#serverClock = options.serverClock;
    this.#leaseTtlMs = options.leaseTtlMs;
    this.#maxServerLeaseMs = options.maxServerLeaseMs;
    this.#takenOverAt = options.takenOverAt;
    this.#former = options.former;
    this.#firstKnownBoot = options.former === undefined;
  }

  /** Number of orders with a deadline that have no result yet. */
  get pendingOrders(): number {
    return this.#pendingOrders;
  }

  /** Latest time at which an order with a deadline may have been carried out; undefined if none was sent. */
  lastOrderAt(now: number): number | undefined {
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

  /** Monotonic time in ms from which runs have lapsed that are certainly on this boot. */
  ownBootLapsedAt(now: number): number {
    if (this.#adoptedAt === undefined) return leasesLapsedAt(this.#takenOverAt, this.#leaseTtlMs);
    return Math.max(this.#serverClock.lapsedAt() ?? 0, this.#formerOrdersLapsed(now));
  }

  /** Monotonic time in ms from which runs have lapsed that may be on this boot or on a later one. */
  anyBootLapsedAt(now: number): number {
    const orderAt = this.lastOrderAt(now);
    const lapsedAt = orderAt === undefined ? 0 : this.#longestLapsedAt(orderAt);
    return Math.max(lapsedAt, this.#formerOrdersLapsed(now));
  }

  /** True if the lease of this boot is no longer than schedulers have granted to it. */
  isAsGranted(now: number): boolean {
    return this.#adoptedAt !== undefined && now > this.#formerOrdersLapsed(now);
  }

  #formerOrdersLapsed(now: number): number {
    // The former scheduler may have issued orders for a boot before the first one that is known here.
    if (this.#firstKnownBoot) return this.#longestLapsedAt(this.#adoptedAt ?? this.#takenOverAt);
    if (this.#former !== undefined) {
      this.#formerOrdersLapsedAt = this.#former.anyBootLapsedAt(now);
      if (this.#former.#isSettled) this.#former = undefined;
    }
    return this.#formerOrdersLapsedAt;
  }

  /** True if nothing can move the bounds of later boots any more. */
  get #isSettled(): boolean {
    return this.#pendingOrders === 0 && this.#former === undefined;
  }

  #longestLapsedAt(orderAt: number): number {
    return leasesLapsedAt(orderAt, this.#maxServerLeaseMs);
  }
}
