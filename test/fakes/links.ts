import type { Clock, Timer } from "../../src/ports/clock.ts";
import type { Random } from "../../src/ports/random.ts";
import type { ProcessGate } from "./process-gate.ts";

/** One end of a link. Faults select parties by tag. */
export interface Party {
  /** For example `entry:10.0.0.1`, `server:a-1`, `platform`, `zone:a`. */
  readonly tags: readonly string[];
  readonly gate: ProcessGate;
}

/** Outcome of a call over a link, from the point of view of the sender. */
export type LinkOutcome<T> =
  | { readonly kind: "ok"; readonly value: T }
  /** The call did not reach the receiver. */
  | { readonly kind: "not-sent" }
  /** The call may have taken effect. `reset` is true for a lost connection, false for a timeout. */
  | { readonly kind: "ambiguous"; readonly reset: boolean };

/** Options of {@link Links}. */
export interface LinksOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** One-way latency in milliseconds; each message takes up to twice as long. @default 1 */
  readonly latencyMs?: number;
}

interface Message {
  readonly from: Party;
  readonly to: Party;
  readonly arrive: () => void;
}

/** Delays messages sent up to `sentUntil` by `ms`; messages sent later overtake them. */
interface Stall {
  readonly pair: readonly [string, string];
  readonly sentUntil: number;
  readonly ms: number;
}

interface Call {
  readonly from: Party;
  readonly to: Party;
  readonly fail: () => void;
}

/** Share of the calls over a cut link that fail before their timeout; the rest time out. */
const RESET_SHARE = 0.5;
/** Messages held back by a cut arrive within this time after the link heals, in milliseconds. */
const LATE_SPREAD_MS = 400;

/** All links between simulated parties, with faults that tests switch on and off. */
export class Links {
  readonly #options: Required<LinksOptions>;
  readonly #cuts = new Map<string, readonly [string, string]>();
  readonly #slowMs = new Map<string, number>();
  readonly #replyLoss = new Map<string, number>();
  readonly #calls = new Set<Call>();
  #stalls: readonly Stall[] = [];
  #held: Message[] = [];
  #lateDelivery = false;

  constructor({ latencyMs = 1, ...rest }: LinksOptions) {
    this.#options = { latencyMs, ...rest };
  }

  /** Cuts every link between parties with these tags, in both directions. */
  cut(a: string, b: string): void {
    this.#cuts.set(pairKey(a, b), [a, b]);
    for (const call of [...this.#calls]) {
      if (this.isCut(call.from, call.to) && this.#options.random.next() < RESET_SHARE) call.fail();
    }
  }

  heal(a: string, b: string): void {
    this.#cuts.delete(pairKey(a, b));
    this.#releaseHeld();
  }

  /** Removes every fault. Messages held back so far are delivered. */
  healAll(): void {
    this.#cuts.clear();
    this.#slowMs.clear();
    this.#replyLoss.clear();
    this.#stalls = [];
    this.#releaseHeld();
    this.#lateDelivery = false;
  }

  /** Sets whether messages caught by a cut are delivered after the link heals or are lost. */
  setLateDelivery(on: boolean): void {
    this.#lateDelivery = on;
  }

  /** Delays each message to or from parties with the tag by up to `ms`; 0 removes the delay. */
  slow(tag: string, ms: number): void {
    this.#slowMs.set(tag, ms);
  }

  /** Drops this share of the replies of parties with the tag, after the calls took effect. */
  loseReplies(tag: string, share: number): void {
    this.#replyLoss.set(tag, share);
  }

  /** Fails every call in flight between parties with these tags, as if the connection was lost. */
  reset(a: string, b: string): void {
    for (const call of [...this.#calls]) if (matches([a, b], call.from, call.to)) call.fail();
  }

  /**
   * Delays by `ms` the messages in flight between parties with these tags, and those sent within
   * `forMs`. Messages sent later overtake them, as over a new connection.
   */
  stall(
    a: string,
    b: string,
    { ms, forMs }: { readonly ms: number; readonly forMs: number },
  ): void {
    const now = this.#options.clock.now();
    const current = this.#stalls.filter((stall) => stall.sentUntil > now);
    this.#stalls = [...current, { pair: [a, b], sentUntil: now + forMs, ms }];
  }

  isCut(a: Party, b: Party): boolean {
    for (const pair of this.#cuts.values()) if (matches(pair, a, b)) return true;
    return false;
  }

  /** Returns whether messages of either party are slowed down or its replies are dropped. */
  impaired(a: Party, b: Party): boolean {
    return [...a.tags, ...b.tags].some(
      (tag) => (this.#slowMs.get(tag) ?? 0) > 0 || (this.#replyLoss.get(tag) ?? 0) > 0,
    );
  }

  /** Delivers a call and its reply. Never resolves for a sender that was killed. */
  call<T>(
    from: Party,
    to: Party,
    deliver: () => Promise<T>,
    timeoutMs: number,
  ): Promise<LinkOutcome<T>> {
    return new Promise((resolve) => {
      if (from.gate.dead) return;
      const { clock, random } = this.#options;
      const finish = (outcome: LinkOutcome<T>): void => {
        if (!this.#calls.delete(call)) return;
        timer.cancel();
        from.gate.run(() => {
          resolve(outcome);
        });
      };
      const fail = (): void => {
        finish({ kind: "ambiguous", reset: true });
      };
      const call: Call = { from, to, fail };
      this.#calls.add(call);
      const timer: Timer = clock.schedule(timeoutMs, () => {
        finish({ kind: "ambiguous", reset: false });
      });
      if (to.gate.dead || (this.isCut(from, to) && random.next() < RESET_SHARE)) {
        clock.schedule(this.#delay(from, to), () => {
          finish({ kind: "not-sent" });
        });
        return;
      }
      this.#transmit(from, to, () => {
        to.gate.run(() => {
          void this.#serve(call, deliver, finish);
        });
      });
    });
  }

  /** Fails the calls in flight to a killed party. */
  partyDied(party: Party): void {
    for (const call of [...this.#calls]) if (call.to === party) call.fail();
  }

  async #serve<T>(
    call: Call,
    deliver: () => Promise<T>,
    finish: (outcome: LinkOutcome<T>) => void,
  ): Promise<void> {
    const value = await deliver();
    if (call.to.gate.dead) return;
    const lost = call.to.tags.some((tag) => {
      const share = this.#replyLoss.get(tag) ?? 0;
      return share > 0 && this.#options.random.next() < share;
    });
    if (lost) return;
    this.#transmit(call.to, call.from, () => {
      finish({ kind: "ok", value });
    });
  }

  #transmit(from: Party, to: Party, arrive: () => void): void {
    const { clock } = this.#options;
    const sentAt = clock.now();
    const deliver = (): void => {
      if (!this.isCut(from, to)) arrive();
      else if (this.#lateDelivery) this.#held.push({ from, to, arrive });
    };
    clock.schedule(this.#delay(from, to), () => {
      const stall = this.#stalls.find((each) => {
        return sentAt <= each.sentUntil && matches(each.pair, from, to);
      });
      if (stall === undefined) deliver();
      else clock.schedule(stall.ms, deliver);
    });
  }

  #delay(from: Party, to: Party): number {
    const { latencyMs, random } = this.#options;
    const slow = [...from.tags, ...to.tags].reduce(
      (most, tag) => Math.max(most, this.#slowMs.get(tag) ?? 0),
      0,
    );
    return latencyMs * (1 + random.next()) + (slow > 0 ? slow * random.next() : 0);
  }

  #releaseHeld(): void {
    const held = this.#held;
    this.#held = held.filter((message) => this.isCut(message.from, message.to));
    for (const message of held) {
      if (this.isCut(message.from, message.to)) continue;
      const delayMs = this.#options.random.next() * LATE_SPREAD_MS;
      this.#options.clock.schedule(delayMs, message.arrive);
    }
  }
}

function pairKey(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}

function matches([a, b]: readonly [string, string], from: Party, to: Party): boolean {
  return (
    (from.tags.includes(a) && to.tags.includes(b)) || (from.tags.includes(b) && to.tags.includes(a))
  );
}
