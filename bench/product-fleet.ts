import { EntryInstance } from "../src/coordination/entry-instance.ts";
import type { TaskSpec } from "../src/ports/backend-server.ts";
import { CONFIG_KEY } from "../src/protocol/config-document.ts";
import { fleetKey, type FleetDocument } from "../src/protocol/fleet-document.ts";
import type { LedgerDocument } from "../src/protocol/ledger-document.ts";
import { ENTRY_DEFAULTS, type EntrySettings } from "../src/settings/entry-settings.ts";
import { KeyValueStore } from "../src/stand-ins/key-value-store.ts";
import { FaultyBackendConnector } from "../test/fakes/faulty-backend.ts";
import { FaultyKeyValue } from "../test/fakes/faulty-key-value.ts";
import type { Party } from "../test/fakes/links.ts";
import { PeerNetwork } from "../test/fakes/peer-network.ts";
import { ProcessClock, ProcessGate } from "../test/fakes/process-gate.ts";
import { NOOP_LOG } from "../test/fakes/observability-fakes.ts";
import { SeededRandom } from "../test/fakes/seeded-random.ts";
import { LaggingInstances, FaultyInstanceList } from "../test/fakes/faulty-instance-list.ts";
import { ObservedStore } from "../test/fuzz/observed-store.ts";
import { FaultTarget } from "./faults.ts";
import { initialConfig, initialFleet, initialServers } from "./fleet.ts";
import { FleetObserver } from "./fleet-observer.ts";
import { HeapClock } from "./heap-clock.ts";
import { CountingPeerTransport } from "./counting-peer-transport.ts";
import { Recorder } from "./recorder.ts";
import type { Arrival, Scenario } from "./scenario.ts";
import {
  ObservedLinks,
  requestNumberOf,
  PlannedRunner,
  RebootReportingServer,
  type FleetServer,
} from "./simulated-parts.ts";
import { entryCount, SLOTS_PER_SERVER, zoneIndexOfEntry, type Site } from "./site.ts";

/** Time for entry instances to acquire servers, assign hash slots and stabilise, in ms. */
const WARM_UP_MS = 15_000;
/** Time from the reboot order until the server is reachable again, in milliseconds. */
export const REBOOT_MS = 8000;
/** Delay until a rebooting server is cut off, so that its reply to the order arrives, in ms. */
const REBOOT_REPLY_MS = 10;

/** An entry instance with its simulated process. */
export interface EntryProcess {
  readonly instance: EntryInstance;
  readonly party: Party;
  /** Requests whose callers wait for a reply from this entry. */
  readonly waiting: Set<number>;
}

/** Input of one run, the same for the baseline and the product. */
export interface RunOptions {
  readonly site: Site;
  readonly scenario: Scenario;
  readonly requests: readonly Arrival[];
  readonly random: SeededRandom;
}

/** Real entry instances with simulated links, servers and platform. */
export class ProductFleet extends FaultTarget {
  readonly clock = new HeapClock();
  readonly site: Site;
  readonly recorder: Recorder;
  readonly #options: RunOptions;
  readonly #links: ObservedLinks;
  readonly #store: ObservedStore;
  readonly #platform: Party;
  readonly #network: PeerNetwork;
  readonly #servers: ReadonlyMap<string, FleetServer>;
  readonly #instances: LaggingInstances;
  readonly #observer: FleetObserver;
  readonly #ledgers = new Map<string, LedgerDocument>();
  readonly #entries: (EntryProcess | undefined)[];

  constructor(options: RunOptions) {
    super();
    const { clock } = this;
    const { site, random } = options;
    this.#options = options;
    this.site = site;
    this.#observer = new FleetObserver(site);
    this.#links = new ObservedLinks({ clock, random, latencyMs: site.latencyMs });
    this.#store = new ObservedStore({
      inner: new KeyValueStore({ clock }),
      onWrite: (key, value) => {
        this.#observeWrite(key, value);
      },
    });
    this.#platform = { tags: ["platform"], gate: new ProcessGate({ clock }) };
    this.#network = new PeerNetwork({ links: this.#links });
    const instances = initialServers(site).map(({ pool: _pool, ...listed }) => listed);
    this.#instances = new LaggingInstances({ clock, instances });
    this.#servers = new Map(
      initialServers(site).map((initialServer) => this.#newServer(initialServer)),
    );
    this.recorder = this.#newRecorder();
    this.#entries = Array.from({ length: entryCount(site) }, (_, index) => this.#newEntry(index));
  }

  async start(): Promise<void> {
    const { clock, site } = this;
    const { scenario } = this.#options;
    const config = JSON.stringify(initialConfig(site, scenario, clock.wallTime()));
    const fleet = JSON.stringify(initialFleet(site, clock.wallTime() + WARM_UP_MS));
    await this.#store.put({ key: CONFIG_KEY, value: config, expectedRevision: 0 });
    await this.#store.put({ key: fleetKey(site.group), value: fleet, expectedRevision: 0 });
    for (const entry of this.#entries) void entry?.instance.start();
    await clock.advanceTo(clock.now() + WARM_UP_MS);
  }

  /**
   * The entry instance that a load balancer chooses for the given index: the first ready one from
   * there on, or else the first running one.
   */
  readyEntry(index: number): EntryProcess {
    const candidates = [...this.#entries.slice(index), ...this.#entries.slice(0, index)];
    const running = candidates.filter((entry) => entry !== undefined);
    return running.find(({ instance }) => instance.notReadyReasons().length === 0) ?? running[0]!;
  }

  stop(): void {
    for (const entry of this.#entries) entry?.instance.kill();
  }

  cut(a: string, b: string): void {
    this.#links.cut(a, b);
  }

  heal(a: string, b: string): void {
    this.#links.heal(a, b);
  }

  loseServer(name: string): void {
    this.cut(`host:${name}`, "entry");
    this.#servers.get(name)!.server.restart();
    this.#observer.recordLoss(this.clock.now(), name);
  }

  restoreServer(name: string): void {
    this.heal(`host:${name}`, "entry");
    this.#observer.recordRestore(name);
  }

  setFailing(name: string): void {
    this.#servers.get(name)!.runner.failing = true;
  }

  killEntry(index: number): void {
    const killed = this.#entries[index];
    if (killed === undefined) return;
    this.#entries[index] = undefined;
    killed.party.gate.kill();
    this.#links.partyDied(killed.party);
    killed.instance.kill();
    for (const n of killed.waiting) this.recorder.replied(n, "connection_lost");
    killed.waiting.clear();
  }

  replaceEntry(index: number): void {
    const entry = this.#newEntry(index);
    this.#entries[index] = entry;
    void entry.instance.start();
  }

  serverInMaintenance(): string | undefined {
    return this.#observer.serverInMaintenance();
  }

  #newRecorder(): Recorder {
    const { site, scenario, requests } = this.#options;
    const probe = {
      observer: this.#observer,
      running: (server: string): number => this.#servers.get(server)!.server.running.length,
      keepsReserve: true,
      lostBudget: (): number => this.#lostBudget(),
    };
    const recorder = new Recorder({ clock: this.clock, site, scenario, requests, probe });
    this.#links.onCall = (from, to) => {
      if (to.tags.includes("platform")) recorder.platformCall(from.tags[0]!);
      else if (to.tags.includes("entry")) recorder.peerCall(from.tags[0]!);
    };
    return recorder;
  }

  #observeWrite(key: string, value: string): void {
    if (key === fleetKey(this.site.group)) {
      const { servers } = JSON.parse(value) as FleetDocument;
      this.#observer.recordServers(this.clock.now(), servers);
    } else if (key.startsWith("ledger/")) {
      this.#ledgers.set(key, JSON.parse(value) as LedgerDocument);
    }
  }

  /** Task budget that the ledgers record for incarnations that no longer run. */
  #lostBudget(): number {
    const live = new Set(this.#network.live.map(({ incarnation }) => incarnation));
    const rows = [...this.#ledgers.values()].flatMap(({ teams }) =>
      teams.flatMap((team) => team.rows),
    );
    return rows.reduce((sum, row) => sum + (live.has(row.incarnation) ? 0 : row.budget), 0);
  }

  #newServer({
    name,
    address,
    zone,
  }: ReturnType<typeof initialServers>[number]): readonly [string, FleetServer] {
    const { clock } = this;
    const runner = new PlannedRunner(this.#options.requests);
    const observe = (event: "start" | "end", spec: TaskSpec): void => {
      if (event === "start" && runner.failing) this.recorder.failedByServer();
      if (event === "start") this.recorder.started(requestNumberOf(spec));
      else this.recorder.ended(requestNumberOf(spec));
    };
    // The loss of a host and a reboot cut different tags, so that the end of one does not restore the
    // links that the other still cuts.
    const tags = [`server:${name}`, `host:${name}`, `zone:${zone}`, "server"];
    const server = new RebootReportingServer({
      clock,
      name,
      slots: SLOTS_PER_SERVER,
      runner,
      observe,
    });
    server.onReboot = (): void => {
      clock.schedule(REBOOT_REPLY_MS, () => {
        this.cut(`server:${name}`, "entry");
      });
      clock.schedule(REBOOT_MS, () => {
        this.heal(`server:${name}`, "entry");
      });
    };
    const party = { tags, gate: new ProcessGate({ clock }) };
    return [name, { name, address, party, server, runner }];
  }

  #newEntry(index: number): EntryProcess {
    const { clock, site } = this;
    const zone = site.zones[zoneIndexOfEntry(site, index)]!;
    const tag = `entry:${index + 1}`;
    const party: Party = {
      tags: [tag, `zone:${zone}`, "entry"],
      gate: new ProcessGate({ clock }),
    };
    const [links, platform, store] = [this.#links, this.#platform, this.#store];
    const instance = new EntryInstance({
      settings: settingsOf(site, zone, index + 1),
      clock: new ProcessClock({ base: clock, gate: party.gate }),
      random: new SeededRandom(Math.floor(this.#options.random.next() * 2 ** 32)),
      keyValue: new FaultyKeyValue({ links, party, platform, store }),
      instanceList: new FaultyInstanceList({ links, party, platform, instances: this.#instances }),
      backends: new FaultyBackendConnector({ links, party, servers: [...this.#servers.values()] }),
      peerTransport: new CountingPeerTransport({
        inner: this.#network.transport(party),
        sent: (bytes) => {
          this.recorder.peerBytes(tag, bytes);
        },
      }),
      log: NOOP_LOG,
    });
    return { instance, party, waiting: new Set() };
  }
}

/** Settings of an entry instance; `index` counts from 1. */
function settingsOf({ group }: Site, zone: string, index: number): EntrySettings {
  return {
    ...ENTRY_DEFAULTS,
    zone,
    group,
    callerAddress: `10.0.0.${index}:7000`,
    adminAddress: `10.0.0.${index}:7001`,
    peerAddress: `10.0.0.${index}:7002`,
    keyValueUrl: "http://10.2.0.1:2379",
    instanceListUrl: "http://10.2.0.2:2380",
  };
}
