import type { Clock, Timer } from "../../src/ports/clock.ts";
import type { Random } from "../../src/ports/random.ts";
import type { ProcessGate } from "./process-gate.ts";

/** One end of a link. Faults select parties by tag. */
export interface Party {
  /** For example `entry:10.0.0.1`, `server:a-1`, `platform`, `zone:a`. */
  readonly tags: readonly string[];
  readonly gate: ProcessGate;
}

/** Outcome of a call over a link as the sender sees it. */
export type LinkOutcome<T> =
  | { readonly kind: "ok"; readonly value: T }
  /** The call certainly did not reach the other side. */
  | { readonly kind: "not-sent" }
  /** `reset` tells a lost connection from a call that took too long. */
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

/** Delays messages sent before a moment; later ones overtake them. */
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

/** Share of the calls over a fresh cut that fail at once; the others fail at their timeout. */
const RESET_SHARE = 0.5;
/** Messages held back by a cut arrive within this time after it heals, in milliseconds. */
const LATE_SPREAD_MS = 400;

/** Every link between simulated parties, with switchable faults. */
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

  /** Whether messages caught by a cut are delivered after it heals instead of being lost. */
  setLateDelivery(on: boolean): void {
    this.#lateDelivery = on;
  }

  /** Adds up to this delay to each message to or from parties with the tag; 0 ends it. */
  slow(tag: string, ms: number): void {
    this.#slowMs.set(tag, ms);
  }

  /** Loses this share of the replies of parties with the tag, after the call took effect. */
  loseReplies(tag: string, share: number): void {
    this.#replyLoss.set(tag, share);
  }

  /** Fails every call in flight between parties with these tags, as a lost connection does. */
  reset(a: string, b: string): void {
    for (const call of [...this.#calls]) if (matches([a, b], call.from, call.to)) call.fail();
  }

  /**
   * Delays by `ms` what is on its way between parties with these tags, and what they send within
   * `forMs`. Messages sent afterwards overtake it, as over a new connection.
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

  /** Whether messages between the two are slowed down or replies are lost. */
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

  /** Fails the calls that a killed party will not answer. */
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
