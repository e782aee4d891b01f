import type { Log } from "../../src/ports/log.ts";
import { CONFIG_KEY, type ConfigDocument } from "../../src/protocol/config-document.ts";
import { fleetKey } from "../../src/protocol/fleet-document.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { FaultyKeyValue } from "../fakes/faulty-key-value.ts";
import { Links, type Party } from "../fakes/links.ts";
import type { PeerNetwork } from "../fakes/peer-network.ts";
import { ProcessGate } from "../fakes/process-gate.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../fakes/virtual-clock.ts";
import { Callers } from "./callers.ts";
import { EntrySlot, observedNetwork, type EntryEnvironment } from "./entry-slot.ts";
import type { EntryFactory, Mutant } from "./entry-under-test.ts";
import { expectedAnswer } from "./job-runner.ts";
import { GROUP, initialConfig, initialRecords, TEAMS } from "./fleet-plan.ts";
import type { StoredFleet } from "./fleet-history.ts";
import { ObservedStore } from "./observed-store.ts";
import { SimulatedOperators } from "./simulated-operators.ts";
import { Oracle } from "./oracle.ts";
import { ServerFarm } from "./server-farm.ts";
import type { Property, Violation } from "./violations.ts";

/** Longest time between two observations of the reachability, in milliseconds. */
const STEP_MS = 250;
/** Time after the end of a fault in which failures are still attributed to it, in milliseconds. */
const FAULT_EFFECT_MS = 15_000;
/** Time in which entry instances acquire their servers after the start, in milliseconds. */
const WARM_UP_MS = 8000;

/** Options of {@link World}. */
export interface WorldOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly factory: EntryFactory;
  readonly mutant?: Mutant | undefined;
  /** Only violations of this property count. @default every property */
  readonly property?: Property | undefined;
  readonly log: Log;
}

/** Ends a command sequence after a violation, whose details the oracle has. */
export class ViolationError extends Error {}

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
  readonly operators: SimulatedOperators;
  /** Whether the memory of any process was lost, by a kill, a shutdown or a retirement. */
  memoryLost = false;
  readonly #operatorCommands: Promise<unknown>[] = [];
  readonly #incarnationAt = new Map<string, string>();
  #faultFreeFrom = 0;
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
        this.#onWrite(key, value);
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
    const operatorParty: Party = { tags: ["operator"], gate: new ProcessGate({ clock }) };
    const keyValue = new FaultyKeyValue({
      links,
      party: operatorParty,
      platform: this.#platform,
      store: this.#store,
    });
    this.operators = new SimulatedOperators({ keyValue, clock, oracle, random });
  }

  /** Stores the initial documents, starts every entry instance and waits for the warm-up. */
  async start(): Promise<void> {
    const { clock, zones } = this;
    const config = initialConfig(zones, clock.wallTime());
    const servers = initialRecords(zones, clock.wallTime());
    const fleet = { writeId: "initial", group: GROUP, servers, retired: [] };
    await this.#store.put({ key: CONFIG_KEY, value: JSON.stringify(config), expectedRevision: 0 });
    await this.#store.put({
      key: fleetKey(GROUP),
      value: JSON.stringify(fleet),
      expectedRevision: 0,
    });
    for (const team of TEAMS) await this.advanceUntilSettled(this.operators.issueKey(team));
    for (const slot of this.slots) slot.start();
    await this.advance(WARM_UP_MS);
  }

  /** Violations of the property under test, or of every property if none is selected. */
  get violations(): readonly Violation[] {
    const { property } = this.#options;
    const found = this.oracle.violations;
    return property === undefined ? found : found.filter((v) => v.property === property);
  }

  /** Throws a {@link ViolationError} if there is a violation. */
  throwIfViolated(): void {
    if (this.violations.length > 0) throw new ViolationError();
  }

  /** The slot of the live process that holds a leader role; undefined if none does. */
  async findLeader(role: string): Promise<EntrySlot | undefined> {
    const value = (await this.#store.get(`duties/${role}`)).unwrap()?.value ?? "";
    const holder = this.#network.live.find((hello) => value.includes(hello.incarnation));
    return this.slots.find((slot) => slot.peerAddress === holder?.address);
  }

  /** Kills every process, so that no timer or promise of the run continues. */
  dispose(): void {
    for (const slot of this.slots) slot.kill();
  }

  /** Incarnations of the processes that accept connections from peers. */
  incarnations(): readonly string[] {
    return this.#network.live.map((hello) => hello.incarnation);
  }

  /** The slot at the index, modulo the number of slots. */
  slot(index: number): EntrySlot {
    return this.slots[index % this.slots.length]!;
  }

  /** The availability zone at the index, modulo the number of zones. */
  zone(index: number): string {
    return this.zones[index % this.zones.length]!;
  }

  /** Records a fault of the given duration. Its effects may last up to `FAULT_EFFECT_MS` longer. */
  recordFault(forMs: number): void {
    this.#faultFreeFrom = Math.max(this.#faultFreeFrom, this.clock.now() + forMs + FAULT_EFFECT_MS);
  }

  /** Whether no current or recent fault can explain a failure now. */
  isFaultFree(): boolean {
    return this.clock.now() >= this.#faultFreeFrom;
  }

  /** Shuts an entry instance down gracefully and starts its replacement. */
  shutDown(slot: EntrySlot): void {
    this.memoryLost = true;
    const faultFreeBefore = this.isFaultFree();
    const runningCalls = slot.runningCalls();
    const replace = async (): Promise<void> => {
      const ended = await slot.shutDown();
      if (ended && faultFreeBefore && this.isFaultFree())
        this.oracle.checkInterruptedCalls(slot.tag, runningCalls);
      await this.clock.sleep(1000);
      slot.start();
    };
    this.runInBackground(replace());
  }

  /** Runs an action concurrently with later commands. A rejection is a violation. */
  runInBackground(action: Promise<unknown>): void {
    action.catch((error: unknown) => {
      this.oracle.threw("a background action", error);
    });
  }

  /** Runs an operator's command concurrently with later commands. */
  runOperatorCommand(command: Promise<unknown>): void {
    this.runInBackground(command);
    this.#operatorCommands.push(command.catch(() => undefined));
  }

  /** Advances the clock until every operator's command has ended. */
  async settleOperators(): Promise<void> {
    await this.advanceUntilSettled(Promise.all(this.#operatorCommands));
  }

  /** Advances the clock until an action has settled. */
  async advanceUntilSettled<T>(action: Promise<T>): Promise<T> {
    return advanceUntilSettled(this.clock, action);
  }

  /** Advances the clock. */
  async advance(ms: number): Promise<void> {
    const end = this.clock.now() + ms;
    for (let left = ms; left > 0; left = end - this.clock.now()) {
      this.observe();
      await this.clock.advance(Math.min(STEP_MS, left));
    }
    this.observe();
  }

  /** Advances the clock until the condition holds; false if it does not hold within the limit. */
  async advanceUntil(condition: () => boolean, limitMs: number): Promise<boolean> {
    const end = this.clock.now() + limitMs;
    while (!condition()) {
      if (this.clock.now() >= end) return false;
      await this.advance(STEP_MS);
    }
    return true;
  }

  /**
   * Reports to the oracle which processes reach the platform and each other, and which leaving
   * servers are visible. Called after every change of a fault.
   */
  observe(): void {
    this.#detectRestarts();
    const processes = this.slots.filter((slot) => slot.process !== undefined);
    const reaching = processes.filter((slot) => this.#reachesPlatform(slot));
    const fullyConnected = this.#areFullyConnected(processes);
    this.oracle.outages.observed({
      processes: this.incarnations().join(" "),
      fullyConnected,
      platformCut: processes.every(({ process }) =>
        this.links.isCut(process!.party, this.#platform),
      ),
    });
    this.oracle.operators.reachabilityObserved({
      some: reaching.length > 0,
      all: reaching.length === processes.length,
      connectedIncarnations: fullyConnected ? this.incarnations() : [],
    });
    const unreachableZones = new Set(
      processes.filter((s) => !reaching.includes(s)).map((s) => s.zone),
    );
    const zones = this.farm.instanceList.frozen ? [] : this.zones;
    this.farm.reportLeaving(new Set(zones.filter((zone) => !unreachableZones.has(zone))));
  }

  /**
   * Detects new incarnations. A retired entry instance restarts within its process and loses the
   * memory of its calls.
   */
  #detectRestarts(): void {
    for (const { address, incarnation } of this.#network.live) {
      const before = this.#incarnationAt.get(address);
      if (before !== undefined && before !== incarnation) this.memoryLost = true;
      this.#incarnationAt.set(address, incarnation);
    }
  }

  /** Whether all processes run, no link between them is cut or impaired and each zone has one. */
  #areFullyConnected(processes: readonly EntrySlot[]): boolean {
    const zones = new Set(processes.map((slot) => slot.zone));
    const allRunning = processes.every(({ process }) => {
      return !process!.stopping && !process!.party.gate.paused;
    });
    const parties = processes.map((slot) => slot.process!.party);
    return (
      allRunning &&
      zones.size === this.zones.length &&
      parties.every((a) =>
        parties.every((b) => !this.links.isCut(a, b) && !this.links.impaired(a, b)),
      )
    );
  }

  #reachesPlatform(slot: EntrySlot): boolean {
    const party = slot.process!.party;
    if (party.gate.paused || slot.process!.stopping) return false;
    return !this.links.isCut(party, this.#platform) && !this.links.impaired(party, this.#platform);
  }

  #onWrite(key: string, value: string): void {
    if (key === CONFIG_KEY) {
      this.oracle.operators.accepted(JSON.parse(value) as ConfigDocument);
      this.observe();
    } else if (key === fleetKey(GROUP)) {
      this.oracle.fleet.written(JSON.parse(value) as StoredFleet);
    }
  }
}
