import type { Log } from "../../src/ports/log.ts";
import { CONFIG_KEY, type ConfigDocument } from "../../src/protocol/config-document.ts";
import { fleetKey } from "../../src/protocol/fleet-document.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { FaultyKeyValue } from "../fakes/faulty-key-value.ts";
import { Links, type Party } from "../fakes/links.ts";
import type { PeerNetwork } from "../fakes/peer-network.ts";
import { ProcessGate } from "../fakes/process-gate.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { onClock, VirtualClock } from "../fakes/virtual-clock.ts";
import { Callers } from "./callers.ts";
import { EntrySlot, observedNetwork, type EntryEnvironment } from "./entry-slot.ts";
import type { EntryFactory, Mutant } from "./entry-under-test.ts";
import { expectedAnswer } from "./jobs.ts";
import { GROUP, plannedConfig, plannedRecords, TEAMS } from "./fleet-plan.ts";
import type { StoredFleet } from "./fleet-history.ts";
import { ObservedStore } from "./observed-store.ts";
import { OperatorDesk } from "./operator-desk.ts";
import { Oracle } from "./oracle.ts";
import { ServerFarm } from "./server-farm.ts";
import type { Property, Violation } from "./violations.ts";

/** Longest step between two looks at who can reach the platform, in milliseconds. */
const STEP_MS = 250;
/** Time for which a fault that ended still excuses failures, in milliseconds. */
const AFTERMATH_MS = 15_000;
/** Time for the entry instances to acquire their servers at the beginning, in milliseconds. */
const WARM_UP_MS = 8000;

/** Options of {@link World}. */
export interface WorldOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly factory: EntryFactory;
  readonly mutant?: Mutant | undefined;
  /** Only violations of this property count. */
  readonly property?: Property | undefined;
  readonly log: Log;
}

/** Ends a command sequence; the oracle has the details. */
export class ViolationSeen extends Error {}

/** A simulated fleet with its entry instances, callers and operators, on a virtual clock. */
export class World {
  readonly clock = new VirtualClock();
  readonly zones: readonly string[];
  readonly random: SeededRandom;
  readonly links: Links;
  readonly oracle: Oracle;
  readonly farm: ServerFarm;
  readonly slots: readonly EntrySlot[];
  readonly callers: Callers;
  readonly operators: OperatorDesk;
  /** Whether a process ended without or with notice, so that its memory is gone. */
  memoryLost = false;
  readonly #operations: Promise<unknown>[] = [];
  readonly #incarnationAt = new Map<string, string>();
  #calmFrom = 0;
  readonly #store: ObservedStore;
  readonly #options: WorldOptions;
  readonly #platform: Party;
  readonly #network: PeerNetwork;

  constructor(options: WorldOptions) {
    const { seed, zones, entriesPerZone, factory, mutant, log } = options;
    this.#options = options;
    const { clock } = this;
    this.zones = zones;
    this.random = new SeededRandom(seed);
    this.links = new Links({ clock, random: this.random });
    this.oracle = new Oracle({ now: () => clock.now(), expectedAnswer });
    const { links, oracle, random } = this;
    this.farm = new ServerFarm({ clock, links, oracle, zones, wrap: mutant?.server });
    this.#platform = { tags: ["platform"], gate: new ProcessGate({ clock }) };
    const inner = new KeyValueStore({ clock });
    this.#store = new ObservedStore({
      inner: mutant?.store?.(inner) ?? inner,
      onWrite: (key, value) => {
        this.#written(key, value);
      },
    });
    this.#network = observedNetwork(links, oracle);
    const env: EntryEnvironment = {
      clock,
      links,
      random,
      oracle,
      farm: this.farm,
      network: this.#network,
      store: this.#store,
      platform: this.#platform,
      factory,
      mutant,
      log,
    };
    this.slots = zones.flatMap((zone, z) =>
      Array.from({ length: entriesPerZone }, (_, n) => {
        return new EntrySlot({ index: z * entriesPerZone + n + 1, zone, env });
      }),
    );
    this.callers = new Callers({ oracle });
    const desk: Party = { tags: ["operator"], gate: new ProcessGate({ clock }) };
    const keyValue = new FaultyKeyValue({
      links,
      party: desk,
      platform: this.#platform,
      store: this.#store,
    });
    this.operators = new OperatorDesk({ keyValue, clock, oracle, random });
  }

  /** Stores the first documents, starts every entry instance and lets them settle. */
  async start(): Promise<void> {
    const { clock, zones } = this;
    const config = plannedConfig(zones, clock.wallTime());
    const servers = plannedRecords(zones, clock.wallTime());
    const fleet = { writeId: "initial", group: GROUP, servers, retired: [] };
    await this.#store.put({ key: CONFIG_KEY, value: JSON.stringify(config), expectedRevision: 0 });
    await this.#store.put({
      key: fleetKey(GROUP),
      value: JSON.stringify(fleet),
      expectedRevision: 0,
    });
    for (const team of TEAMS) await this.complete(this.operators.giveKey(team));
    for (const slot of this.slots) slot.start();
    await this.advance(WARM_UP_MS);
  }

  /** Violations of the property under test, or of any. */
  get violations(): readonly Violation[] {
    const { property } = this.#options;
    const found = this.oracle.violations;
    return property === undefined ? found : found.filter((v) => v.property === property);
  }

  /** Ends the command sequence early once a violation was seen. */
  throwIfViolated(): void {
    if (this.violations.length > 0) throw new ViolationSeen();
  }

  /** The place of the live process that holds a duty. */
  async dutyHolder(duty: string): Promise<EntrySlot | undefined> {
    const value = (await this.#store.get(`duties/${duty}`)).unwrap()?.value ?? "";
    const holder = this.#network.live.find((hello) => value.includes(hello.incarnation));
    return this.slots.find((slot) => slot.peerAddress === holder?.address);
  }

  /** Ends every process, so that nothing of the run stays behind. */
  dispose(): void {
    for (const slot of this.slots) slot.kill();
  }

  /** Incarnations that accept connections from peers. */
  incarnations(): readonly string[] {
    return this.#network.live.map((hello) => hello.incarnation);
  }

  slot(index: number): EntrySlot {
    return this.slots[index % this.slots.length]!;
  }

  zone(index: number): string {
    return this.zones[index % this.zones.length]!;
  }

  /** Notes that a fault lasts for the given time; its effects may last somewhat longer. */
  disturb(forMs: number): void {
    this.#calmFrom = Math.max(this.#calmFrom, this.clock.now() + forMs + AFTERMATH_MS);
  }

  /** Whether no fault and none of its effects can excuse a failure now. */
  isCalm(): boolean {
    return this.clock.now() >= this.#calmFrom;
  }

  /** Shuts an entry instance down gracefully and replaces it. */
  shutDown(slot: EntrySlot): void {
    this.memoryLost = true;
    const calm = this.isCalm();
    const running = slot.runningCalls();
    const done = async (): Promise<void> => {
      const ended = await slot.shutDown();
      if (ended && calm && this.isCalm()) this.oracle.checkCut(slot.tag, running);
      await this.clock.sleep(1000);
      slot.start();
    };
    this.background(done());
  }

  /** Lets an action go on while time passes; it must not throw. */
  background(action: Promise<unknown>): void {
    action.catch((error: unknown) => {
      this.oracle.threw("a background action", error);
    });
  }

  /** Lets an operator's command go on while time passes. */
  operate(command: Promise<unknown>): void {
    this.background(command);
    this.#operations.push(command.catch(() => undefined));
  }

  /** Lets time pass until every operator's command has ended. */
  async settleOperators(): Promise<void> {
    await this.complete(Promise.all(this.#operations));
  }

  /** Lets time pass until an action is done. */
  async complete<T>(action: Promise<T>): Promise<T> {
    return onClock(this.clock, action);
  }

  /** Lets time pass. */
  async advance(ms: number): Promise<void> {
    const end = this.clock.now() + ms;
    for (let left = ms; left > 0; left = end - this.clock.now()) {
      this.observe();
      await this.clock.advance(Math.min(STEP_MS, left));
    }
    this.observe();
  }

  /** Lets time pass until the condition holds; false if it does not within the limit. */
  async advanceUntil(condition: () => boolean, limitMs: number): Promise<boolean> {
    const end = this.clock.now() + limitMs;
    while (!condition()) {
      if (this.clock.now() >= end) return false;
      await this.advance(STEP_MS);
    }
    return true;
  }

  /** Tells the oracle who can see the platform now. Called after every change of a fault. */
  observe(): void {
    this.#noteRestarts();
    const processes = this.slots.filter((slot) => slot.process !== undefined);
    const seeing = processes.filter((slot) => this.#seesPlatform(slot));
    const whole = this.#inContact(processes);
    this.oracle.outages.observed({
      processes: this.incarnations().join(" "),
      whole,
      platformCut: processes.every(({ process }) =>
        this.links.isCut(process!.party, this.#platform),
      ),
    });
    this.oracle.operators.reachable({
      some: seeing.length > 0,
      all: seeing.length === processes.length,
      inContact: whole ? this.incarnations() : [],
    });
    const blind = new Set(processes.filter((s) => !seeing.includes(s)).map((s) => s.zone));
    const zones = this.farm.instances.frozen ? [] : this.zones;
    this.farm.reportLeaving(new Set(zones.filter((zone) => !blind.has(zone))));
  }

  /** An entry that was retired starts anew in its process without the memory of its calls. */
  #noteRestarts(): void {
    for (const { address, incarnation } of this.#network.live) {
      const before = this.#incarnationAt.get(address);
      if (before !== undefined && before !== incarnation) this.memoryLost = true;
      this.#incarnationAt.set(address, incarnation);
    }
  }

  /** Whether every two processes reach each other and each zone has one. */
  #inContact(processes: readonly EntrySlot[]): boolean {
    const zones = new Set(processes.map((slot) => slot.zone));
    const working = processes.every(({ process }) => {
      return !process!.stopping && !process!.party.gate.paused;
    });
    const parties = processes.map((slot) => slot.process!.party);
    return (
      working &&
      zones.size === this.zones.length &&
      parties.every((a) =>
        parties.every((b) => !this.links.isCut(a, b) && !this.links.impaired(a, b)),
      )
    );
  }

  #seesPlatform(slot: EntrySlot): boolean {
    const party = slot.process!.party;
    if (party.gate.paused || slot.process!.stopping) return false;
    return !this.links.isCut(party, this.#platform) && !this.links.impaired(party, this.#platform);
  }

  #written(key: string, value: string): void {
    if (key === CONFIG_KEY) {
      this.oracle.operators.accepted(JSON.parse(value) as ConfigDocument);
      this.observe();
    } else if (key === fleetKey(GROUP)) {
      this.oracle.fleet.written(JSON.parse(value) as StoredFleet);
    }
  }
}
