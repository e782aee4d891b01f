/**
 * The baseline policy that the product is compared with: each entry instance serves requests first
 * come, first served, on a fixed, equal part of each pool's slots and of each team's limit. It has
 * no forwarding, lending, priorities or retries, and makes no calls to the platform or to peers.
 * Maintenance runs rack by rack, on all servers of a rack at once, regardless of the availability
 * budgets.
 */
import type { ServerState } from "../src/protocol/fleet-document.ts";
import type { SeededRandom } from "../test/fakes/seeded-random.ts";
import { FaultTarget } from "./faults.ts";
import { initialServers, teamsOf } from "./fleet.ts";
import { FleetObserver } from "./fleet-observer.ts";
import { HeapClock } from "./heap-clock.ts";
import { OUTCOME_GRACE_MS } from "./product.ts";
import { REBOOT_MS, type RunOptions } from "./product-fleet.ts";
import { Recorder, type RunResult } from "./recorder.ts";
import { TIME_TO_FAILURE_MS } from "./simulated-parts.ts";
import { entryCount, SLOTS_PER_SERVER, type Site } from "./site.ts";
import { StaticEntry, type StaticSlot } from "./static-entry.ts";

/** A simulated fleet under the baseline policy. */
class BaselineFleet extends FaultTarget {
  readonly clock = new HeapClock();
  readonly site: Site;
  readonly recorder: Recorder;
  readonly #options: RunOptions;
  readonly #random: SeededRandom;
  readonly #observer: FleetObserver;
  readonly #states: Map<string, ServerState>;
  readonly #lostServers = new Set<string>();
  readonly #failingServers = new Set<string>();
  readonly #entries: readonly StaticEntry[];
  readonly #slots: readonly StaticSlot[];

  constructor(options: RunOptions) {
    super();
    const { site, scenario, requests, random } = options;
    this.#options = options;
    this.#random = random;
    this.site = site;
    this.#observer = new FleetObserver(site);
    const servers = initialServers(site);
    this.#states = new Map(servers.map(({ name }) => [name, "serving"]));
    this.#slots = servers.flatMap(({ name, pool }) =>
      Array.from({ length: SLOTS_PER_SERVER }, () => ({ server: name, pool, running: undefined })),
    );
    const running = (server: string): number =>
      this.#slots.filter((slot) => slot.server === server && slot.running !== undefined).length;
    const probe = { observer: this.#observer, running, keepsReserve: false, lostBudget: () => 0 };
    this.recorder = new Recorder({ clock: this.clock, site, scenario, requests, probe });
    this.#entries = Array.from({ length: entryCount(site) }, (_, index) => this.#newEntry(index));
  }

  submit(n: number): void {
    const { entry: index, at, timeoutMs, cancelAt } = this.#options.requests[n]!;
    const candidates = [...this.#entries.slice(index), ...this.#entries.slice(0, index)];
    const entry = candidates.find(({ dead }) => !dead)!;
    this.recorder.submitted(n);
    entry.submit(n);
    this.clock.schedule(timeoutMs, () => {
      if (entry.removeQueued(n)) this.#reply(entry, n, "deadline");
    });
    if (cancelAt === undefined) return;
    this.clock.schedule(cancelAt - at, () => {
      if (!entry.waiting.has(n)) return;
      this.recorder.cancelled(n);
      this.recorder.cancelReplied(n);
      if (entry.removeQueued(n)) this.#reply(entry, n, "cancelled");
    });
  }

  /** Drains and reboots every server, one rack after another. */
  async maintain(): Promise<void> {
    const servers = initialServers(this.site);
    for (const rack of [...new Set(servers.map((server) => server.rack))].sort()) {
      const names = servers.filter((server) => server.rack === rack).map(({ name }) => name);
      this.#setState(names, "draining");
      await Promise.all(names.map((name) => this.#reboot(name)));
    }
  }

  cut(): void {
    return;
  }

  heal(): void {
    return;
  }

  loseServer(name: string): void {
    this.#lostServers.add(name);
    this.#observer.recordLoss(this.clock.now(), name);
    for (const slot of this.#slots) {
      if (slot.server === name && slot.running !== undefined)
        this.#endTask(slot, slot.running, "server_lost");
    }
  }

  restoreServer(name: string): void {
    this.#lostServers.delete(name);
    this.#observer.recordRestore(name);
    for (const entry of this.#entries) entry.startQueued();
  }

  setFailing(name: string): void {
    this.#failingServers.add(name);
  }

  killEntry(index: number): void {
    for (const n of this.#entries[index]!.kill()) this.recorder.replied(n, "connection_lost");
  }

  replaceEntry(index: number): void {
    this.#entries[index]!.dead = false;
  }

  serverInMaintenance(): string | undefined {
    return this.#observer.serverInMaintenance();
  }

  #newEntry(index: number): StaticEntry {
    const { site } = this;
    const { scenario, requests } = this.#options;
    const entries = entryCount(site);
    // Slots are distributed per pool, so that every entry has a part of each pool.
    const slots = site.pools.flatMap(({ name }) =>
      this.#slots.filter((slot) => slot.pool === name).filter((_, n) => n % entries === index),
    );
    return new StaticEntry({
      ...{ site, index, entries, slots, requests, teams: teamsOf(site, scenario) },
      acceptsWork: (server) =>
        this.#states.get(server) === "serving" && !this.#lostServers.has(server),
      start: (n, slot) => {
        this.#startTask(n, slot);
      },
    });
  }

  #latency(): number {
    return this.site.latencyMs * (1 + this.#random.next());
  }

  #startTask(n: number, slot: StaticSlot): void {
    const { runMs, neverSucceeds } = this.#options.requests[n]!;
    slot.running = n;
    const fails = neverSucceeds || this.#failingServers.has(slot.server);
    this.clock.schedule(this.#latency(), () => {
      if (slot.running !== n) return;
      this.recorder.started(n);
      if (this.#failingServers.has(slot.server)) this.recorder.failedByServer();
      this.clock.schedule(fails ? TIME_TO_FAILURE_MS : runMs, () => {
        if (slot.running === n) this.#endTask(slot, n, fails ? "task_failed" : undefined);
      });
    });
  }

  /** Frees the slot of a task; the entry gets the result after the latency of a link. */
  #endTask(slot: StaticSlot, n: number, failure: string | undefined): void {
    const entry = this.#entries.find((each) => each.owns(slot))!;
    if (this.recorder.isRunning(n)) this.recorder.ended(n);
    slot.running = undefined;
    this.clock.schedule(this.#latency(), () => {
      this.#reply(entry, n, failure);
      entry.taskEnded(n);
    });
  }

  #reply(entry: StaticEntry, n: number, refusal: string | undefined): void {
    if (entry.waiting.delete(n)) this.recorder.replied(n, refusal);
  }

  async #reboot(name: string): Promise<void> {
    const cannotReboot = (): boolean =>
      this.#lostServers.has(name) ||
      this.#slots.some((slot) => slot.server === name && slot.running !== undefined);
    while (cannotReboot()) await this.clock.sleep(100);
    this.#setState([name], "rebooting");
    await this.clock.sleep(REBOOT_MS);
    this.#setState([name], "serving");
    for (const entry of this.#entries) entry.startQueued();
  }

  #setState(names: readonly string[], state: ServerState): void {
    for (const name of names) this.#states.set(name, state);
    const servers = initialServers(this.site).filter(({ name }) => names.includes(name));
    this.#observer.recordServers(
      this.clock.now(),
      servers.map(({ name, pool }) => ({ name, pool, state })),
    );
  }
}

/** Runs the requests under the baseline policy. */
export async function runBaseline(options: RunOptions): Promise<RunResult> {
  const { scenario, requests } = options;
  const fleet = new BaselineFleet(options);
  const { clock, recorder } = fleet;
  recorder.begin();
  for (const fault of scenario.faults ?? []) fault.schedule(fleet);
  if (scenario.maintenanceParallel !== undefined) void fleet.maintain();
  for (const [n, { at }] of requests.entries()) {
    clock.schedule(at, () => {
      fleet.submit(n);
    });
  }
  await clock.advanceTo(scenario.loadMs + scenario.timeoutMs + OUTCOME_GRACE_MS);
  return recorder.result();
}
