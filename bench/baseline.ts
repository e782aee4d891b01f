/**
 * The policy that the product is compared with: first come first served at each entry instance,
 * which has a fixed equal part of each pool's slots and of each team's limit. No forwarding, no
 * lending and no priorities; nothing is asked of the platform or of peers.
 */
import type { Random } from "../src/platform/random.ts";
import { ENTRIES, LATENCY_MS, POOLS, SLOTS, TEAMS } from "./fleet.ts";
import { HeapClock } from "./heap-clock.ts";
import { Recorder, type Figures } from "./recorder.ts";
import type { Arrival, Scenario } from "./scenarios.ts";

interface PoolPart {
  free: number;
  /** Numbers of the queued requests in order of arrival. */
  readonly queue: Set<number>;
}

class StaticEntry {
  readonly #pools = new Map<string, PoolPart>();
  readonly #room = new Map<string, number>();
  readonly #start: (n: number, done: () => void) => void;
  readonly #requests: readonly Arrival[];

  constructor(
    index: number,
    requests: readonly Arrival[],
    start: (n: number, done: () => void) => void,
  ) {
    this.#requests = requests;
    this.#start = start;
    for (const { name, servers } of POOLS)
      this.#pools.set(name, { free: equalPart(servers * SLOTS, index), queue: new Set() });
    for (const { name, upperLimit } of TEAMS) this.#room.set(name, equalPart(upperLimit, index));
  }

  submit(n: number): void {
    const pool = this.#poolOf(n);
    pool.queue.add(n);
    this.#startQueued();
  }

  /** True if the request was still queued. */
  withdraw(n: number): boolean {
    return this.#poolOf(n).queue.delete(n);
  }

  #poolOf(n: number): PoolPart {
    return this.#pools.get(this.#requests[n]!.queue)!;
  }

  #startQueued(): void {
    for (const pool of this.#pools.values()) {
      const full = new Set<string>();
      for (const n of pool.queue) {
        if (pool.free <= 0 || full.size === TEAMS.length) break;
        const { team } = this.#requests[n]!;
        if (this.#room.get(team)! > 0) this.#launch(pool, n, team);
        else full.add(team);
      }
    }
  }

  #launch(pool: PoolPart, n: number, team: string): void {
    pool.queue.delete(n);
    pool.free--;
    this.#room.set(team, this.#room.get(team)! - 1);
    this.#start(n, () => {
      pool.free++;
      this.#room.set(team, this.#room.get(team)! + 1);
      this.#startQueued();
    });
  }
}

/** Part of a whole number; parts differ by at most one. */
function equalPart(whole: number, index: number): number {
  return Math.floor(whole / ENTRIES) + (index < whole % ENTRIES ? 1 : 0);
}

/** Runs the requests under the baseline policy. */
export async function runBaseline(
  scenario: Scenario,
  requests: readonly Arrival[],
  random: Random,
): Promise<Figures> {
  const clock = new HeapClock();
  const recorder = new Recorder(clock, requests);
  const latency = (): number => LATENCY_MS * (1 + random.next());
  const start = (n: number, done: () => void): void => {
    clock.schedule(latency(), () => {
      recorder.started(n);
      clock.schedule(requests[n]!.runMs, () => {
        recorder.ended(n);
        clock.schedule(latency(), () => {
          recorder.replied(n, undefined);
          done();
        });
      });
    });
  };
  const entries = Array.from({ length: ENTRIES }, (_, n) => new StaticEntry(n, requests, start));
  recorder.begin();
  for (const [n, { at, entry, timeoutMs }] of requests.entries()) {
    clock.schedule(at, () => {
      recorder.submitted(n);
      entries[entry]!.submit(n);
      clock.schedule(timeoutMs, () => {
        if (entries[entry]!.withdraw(n)) recorder.replied(n, "deadline");
      });
    });
  }
  await clock.advanceTo(scenario.loadMs + scenario.timeoutMs + 1000);
  return recorder.figures();
}
