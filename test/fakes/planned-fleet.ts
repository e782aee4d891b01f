import { readFileSync } from "node:fs";
import { Ok, type Result } from "ts-results";
import { FleetFollower } from "../../src/coordination/fleet-follower.ts";
import { KeyValueFleetStore, type FleetWriteOutcome } from "../../src/coordination/fleet-store.ts";
import { Planner, PlannerSupport } from "../../src/coordination/planner.ts";
import { InstanceList, type ListedInstance } from "../../src/ports/instance-list.ts";
import type { KvError, KvPut } from "../../src/ports/key-value-service.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import type { FleetDocument, ServerRecord } from "../../src/protocol/fleet-document.ts";
import { readTemplate } from "../../src/settings/template-file.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { FleetHealth, type FleetSituation } from "../../src/state/fleet-situation.ts";
import { markEmpty } from "../../src/state/fleet-transitions.ts";
import { EQUAL_WEIGHTS } from "./builders.ts";
import { FakeConfig } from "./entry-fakes.ts";
import { NOOP_LOG, RecordedCounters } from "./observability-fakes.ts";
import { SeededRandom } from "./seeded-random.ts";
import { VirtualClock } from "./virtual-clock.ts";

/** `examples/piedra-viva.ini` at revision 1 with equal weights. `change` replaces single fields. */
export function exampleConfig(change: Partial<ConfigDocument> = {}): ConfigDocument {
  const file = "examples/piedra-viva.ini";
  const content = readTemplate(file, readFileSync(file, "utf8")).unwrap();
  return {
    ...content,
    revision: 1,
    weights: EQUAL_WEIGHTS,
    writeId: "w",
    acceptedAt: 0,
    ...change,
  };
}

/** Instances of the example (35 by default), four per rack, spread over three zones. */
export function exampleInstances(count = 35): readonly ListedInstance[] {
  return Array.from({ length: count }, (_, index) => {
    const rackNumber = Math.floor(index / 4);
    return {
      name: `s${String(index).padStart(2, "0")}`,
      address: `http://127.0.0.1:${9000 + index}`,
      zone: `andina-${"abc"[rackNumber % 3] ?? ""}`,
      rack: `r${rackNumber}`,
      ...{ cores: 64, memoryGb: 256, accelerators: 0, slots: 8, state: "live" as const },
    };
  });
}

/** Serving servers of the example, filled pool by pool so that each rack belongs to one pool. */
export function serversByRack(): readonly ServerRecord[] {
  const pools = exampleConfig().pools.flatMap((pool) =>
    Array.from({ length: pool.targetSize }, () => pool.name),
  );
  return exampleInstances().map(({ state: _state, ...instance }, index) => ({
    ...instance,
    pool: pools[index] ?? "shared",
    ...{ state: "serving" as const, epoch: 1, rebootedAt: 0, since: 0 },
  }));
}

/** Fleet health that tests set directly. */
export class TestHealth extends FleetHealth {
  override readonly detectionDelayMs = 0;
  readonly down = new Set<string>();
  readonly failing = new Set<string>();

  isLive(server: string): boolean {
    return !this.down.has(server);
  }

  isFaulty(server: string): boolean {
    return this.failing.has(server);
  }
}

/** A fleet situation for tests that call planning rules directly. */
export function situationOf(
  servers: readonly ServerRecord[],
  change: Partial<FleetSituation> = {},
): FleetSituation {
  return {
    ...{ group: "andina", servers, listed: undefined, wallTimeMs: 1_700_000_000_000 },
    config: exampleConfig(),
    health: new TestHealth(),
    confirmedGone: new Set(),
    rebooted: new Set(),
    ...change,
  };
}

/** An instance list that tests set directly. */
export class FixedInstanceList extends InstanceList {
  instances: readonly ListedInstance[] = [];

  /** Names of servers that the list omits. */
  readonly missing = new Set<string>();

  list(): Promise<Result<readonly ListedInstance[], never>> {
    return Promise.resolve(Ok(this.instances.filter(({ name }) => !this.missing.has(name))));
  }
}

/** A key-value store that records the fleet document of every write that took effect. */
class RecordingStore extends KeyValueStore {
  readonly fleets: FleetDocument[] = [];

  override async put(put: KvPut): Promise<Result<number, KvError>> {
    const reply = await super.put(put);
    if (reply.ok) this.fleets.push({ ...(JSON.parse(put.value) as FleetDocument), revision: 0 });
    return reply;
  }
}

/** A fleet store whose writes a test can delay, as in a paused process. */
class PausableStore extends KeyValueFleetStore {
  /** Writes wait for this promise. */
  untilResumed: Promise<void> = Promise.resolve();

  override async write(next: FleetDocument): Promise<FleetWriteOutcome> {
    await this.untilResumed;
    return super.write(next);
  }
}

class TestSupport extends PlannerSupport {
  readonly #fleet: PlannedFleet;

  constructor(fleet: PlannedFleet) {
    super();
    this.#fleet = fleet;
  }

  isLeader(): boolean {
    return true;
  }

  isZoneInGroup(): boolean {
    return true;
  }

  async reboot(server: ServerRecord): Promise<Result<void, string>> {
    const { clock, health, rebootOrders, rebootDownMs } = this.#fleet;
    rebootOrders.push(server);
    await clock.sleep(2000);
    health.down.add(server.name);
    clock.schedule(rebootDownMs, () => health.down.delete(server.name));
    return Ok(undefined);
  }

  confirmGone(server: ServerRecord): Promise<boolean> {
    return Promise.resolve(this.#fleet.health.down.has(server.name));
  }
}

/** Maintenance waves on any day and at any time, of at most 3 servers at once. */
export const MAINTENANCE = { startMinute: 0, endMinute: 1440, everyDays: 21, maxParallel: 3 };

/** A fleet with lease holders and one planner, whose servers are all due for a reboot. */
export function fleetInMaintenanceWave(
  change: Partial<ConfigDocument> = {},
  times: Partial<Pick<PlannedFleet, "drainMs" | "rebootDownMs">> = {},
): { readonly fleet: PlannedFleet; readonly planner: Planner } {
  const fleet = Object.assign(new PlannedFleet(), times);
  fleet.config.document = exampleConfig({ maintenance: MAINTENANCE, ...change });
  fleet.startLeaseHolders();
  return { fleet, planner: fleet.addPlanner(1).planner };
}

/** The example fleet with any number of planners, and lease holders that drain servers. */
export class PlannedFleet {
  readonly clock = new VirtualClock();
  readonly kv = new RecordingStore({ clock: this.clock });
  readonly config = new FakeConfig(exampleConfig());
  readonly list = new FixedInstanceList();
  readonly health = new TestHealth();
  readonly counters = new RecordedCounters();
  readonly rebootOrders: ServerRecord[] = [];
  /** Time in milliseconds that a draining server needs to finish its tasks. */
  drainMs = 3000;
  /** Time in milliseconds for which a server is down after a reboot was ordered. */
  rebootDownMs = 1000;
  readonly #store = new KeyValueFleetStore({ keyValue: this.kv, group: "andina" });

  constructor() {
    this.list.instances = exampleInstances();
  }

  /**
   * Starts a planner that considers itself the leader. Two such planners exist after a takeover
   * from a paused one.
   */
  addPlanner(seed: number): { readonly planner: Planner; readonly store: PausableStore } {
    const store = new PausableStore({ keyValue: this.kv, group: "andina" });
    const random = new SeededRandom(seed);
    const common = { clock: this.clock, counters: this.counters, log: NOOP_LOG, random };
    const fleet = new FleetFollower({ ...common, keyValue: this.kv, group: "andina" });
    fleet.start();
    const planner = new Planner({
      ...{ ...common, store, fleet, group: "andina" },
      ...{ config: this.config, health: this.health },
      instanceList: this.list,
      support: new TestSupport(this),
    });
    planner.start();
    return { planner, store };
  }

  /** Stores the servers of {@link serversByRack}. */
  async seed(): Promise<void> {
    const servers = serversByRack();
    await this.#store.write({
      revision: 0,
      writeId: "seed",
      group: "andina",
      servers,
      retired: [],
    });
  }

  async servers(): Promise<readonly ServerRecord[]> {
    return (await this.#store.read()).unwrap()?.servers ?? [];
  }

  /** Simulates the lease holders: marks draining servers empty once their tasks have ended. */
  startLeaseHolders(): void {
    const poll = async (): Promise<void> => {
      for (;;) {
        await this.clock.sleep(200);
        await this.#markOneEmpty();
      }
    };
    void poll();
  }

  async #markOneEmpty(): Promise<void> {
    const fleet = (await this.#store.read()).unwrap();
    const now = this.clock.wallTime();
    const drained = fleet?.servers.find(
      (s) => s.state === "draining" && now - s.since >= this.drainMs && this.health.isLive(s.name),
    );
    if (fleet === undefined || drained === undefined) return;
    const servers = markEmpty(fleet.servers, drained.name, now) ?? fleet.servers;
    await this.#store.write({ ...fleet, servers, writeId: `holder-${now}` });
  }
}
