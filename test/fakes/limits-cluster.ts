/** Servers, a key-value store, and entries with state and membership modules only, in memory. */
import type { StoredFleet } from "../../src/coordination/server-drain.ts";
import type { TaskSpec } from "../../src/ports/backend-server.ts";
import { fleetKey, type ServerRecord } from "../../src/protocol/fleet-document.ts";
import type { SlotOwnershipDocument } from "../../src/protocol/slot-ownership-document.ts";
import { ledgerKey, type LedgerDocument } from "../../src/protocol/ledger-document.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import {
  SimulatedBackendServer,
  TaskRunner,
} from "../../src/stand-ins/simulated-backend-server.ts";
import { gossipMessage, serverRecord } from "./builders.ts";
import { Entry, GROUP, type ClusterContext } from "./limits-entry.ts";
import { TestConfig } from "./limits-ports.ts";
import { SeededRandom } from "./seeded-random.ts";
import { VirtualClock } from "./virtual-clock.ts";

const GOSSIP_MS = 200;

/** Options of {@link Cluster}. */
export interface ClusterOptions {
  readonly seed?: number;
  /** Upper limit of the team. */
  readonly limit?: number;
  /** Number of servers in each zone. */
  readonly servers?: number;
  readonly zones?: readonly string[];
  /** Number of slots of each server. */
  readonly slots?: number;
  /** Run time of a task in milliseconds. @default random between 50 and 450 */
  readonly runMs?: () => number;
}

/** A small fleet on a virtual clock that counts the running tasks of the team. */
export class Cluster implements ClusterContext {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly kv: KeyValueStore;
  readonly config: TestConfig;
  readonly entries: Entry[] = [];
  readonly servers = new Map<string, SimulatedBackendServer>();
  running = 0;
  peakRunning = 0;
  started = 0;
  /** Number of started tasks without a team. */
  startsWithoutTeam = 0;
  /** Number of starts after which more tasks of the team ran than its upper limit allows. */
  startsOverLimit = 0;
  /** Number of starts of an attempt that had already been started before. */
  duplicateStarts = 0;
  readonly #seen = new Set<string>();
  readonly #cut = new Set<string>();

  constructor({
    seed = 1,
    limit = 6,
    servers = 3,
    zones = ["a"],
    slots = 8,
    runMs = () => 50 + this.random.next() * 400,
  }: ClusterOptions = {}) {
    this.random = new SeededRandom(seed);
    this.kv = new KeyValueStore({ clock: this.clock });
    this.config = new TestConfig(limit);
    const runner = new (class extends TaskRunner {
      run(): ReturnType<TaskRunner["run"]> {
        return { runMs: runMs(), result: { kind: "stopped", checkpointed: false } };
      }
    })();
    const records = zones.flatMap((zone) =>
      Array.from({ length: servers }, (_, i) =>
        serverRecord(`${zone}${i}`, { zone, slots, epoch: 0 }),
      ),
    );
    for (const { name } of records) {
      const observe = (event: "start" | "end", spec: TaskSpec): void => {
        this.#observe(event, spec);
      };
      const { clock } = this;
      this.servers.set(name, new SimulatedBackendServer({ clock, name, slots, runner, observe }));
    }
    const fleet: StoredFleet = { writeId: "w", group: GROUP, servers: records, retired: [] };
    void this.kv.put({
      key: fleetKey(GROUP),
      value: JSON.stringify(fleet),
      expectedRevision: 0,
    });
    void this.#gossip();
  }

  addEntry(incarnation: string, zone = "a"): Entry {
    const entry = new Entry(this, incarnation, zone);
    this.entries.push(entry);
    return entry;
  }

  entry(incarnation: string): Entry {
    const entry = this.entries.find((each) => each.hello.incarnation === incarnation);
    if (entry === undefined) throw new Error(`entry instance "${incarnation}" does not exist`);
    return entry;
  }

  server(address: string): SimulatedBackendServer {
    const server = this.servers.get(address);
    if (server === undefined) throw new Error(`no backend server has the address "${address}"`);
    return server;
  }

  /** Cuts or restores the connection between two entries. */
  setCut(a: Entry, b: Entry, cut: boolean): void {
    const key = [a.hello.incarnation, b.hello.incarnation].sort().join();
    if (cut) this.#cut.add(key);
    else this.#cut.delete(key);
  }

  connected(a: Entry, b: Entry): boolean {
    if ([a, b].some((entry) => entry.gate.dead || entry.gate.paused)) return false;
    return !this.#cut.has([a.hello.incarnation, b.hello.incarnation].sort().join());
  }

  async ledger(): Promise<LedgerDocument["teams"]> {
    const shards = await Promise.all([0, 1].map((shard) => this.kv.get(ledgerKey(shard))));
    return shards.flatMap((reply) => {
      const entry = reply.unwrap();
      return entry === undefined ? [] : (JSON.parse(entry.value) as LedgerDocument).teams;
    });
  }

  async slotOwnership(): Promise<SlotOwnershipDocument> {
    return JSON.parse((await this.kv.get("homes")).unwrap()!.value) as SlotOwnershipDocument;
  }

  /** Applies a change to every server record in the fleet document, as the planner does. */
  async changeFleet(change: (server: ServerRecord) => ServerRecord): Promise<void> {
    const entry = (await this.kv.get(fleetKey(GROUP))).unwrap()!;
    const fleet = JSON.parse(entry.value) as StoredFleet;
    const value = JSON.stringify({ ...fleet, servers: fleet.servers.map(change) });
    await this.kv.put({ key: entry.key, value, expectedRevision: entry.revision });
  }

  async fleetRecord(name: string): Promise<ServerRecord> {
    const fleet = JSON.parse((await this.kv.get(fleetKey(GROUP))).unwrap()!.value) as StoredFleet;
    return fleet.servers.find((server) => server.name === name)!;
  }

  #observe(event: "start" | "end", spec: TaskSpec): void {
    if (spec.team !== undefined) this.running += event === "start" ? 1 : -1;
    this.peakRunning = Math.max(this.peakRunning, this.running);
    if (event === "end") return;
    this.started++;
    if (spec.team !== undefined && this.running > (this.config.current().teams[0]?.upperLimit ?? 0))
      this.startsOverLimit++;
    const key = `${spec.requestId}#${spec.attempt}`;
    if (this.#seen.has(key)) this.duplicateStarts++;
    this.#seen.add(key);
    if (spec.team === undefined) this.startsWithoutTeam++;
  }

  async #gossip(): Promise<void> {
    for (;;) {
      await this.clock.sleep(GOSSIP_MS);
      for (const from of this.entries) {
        for (const to of this.entries) {
          if (from !== to && this.connected(from, to)) deliverGossip(from, to);
        }
      }
    }
  }
}

function deliverGossip(from: Entry, to: Entry): void {
  to.peers.states.set(from.hello.incarnation, {
    hello: from.hello,
    requestedAt: to.clock.now(),
    message: gossipMessage({
      fleetRevision: from.fleet.current()?.revision ?? 0,
      teams: from.budgets.loads(),
      stopping: from.stopping,
      ...from.leases.gossipHeld(),
    }),
  });
}
