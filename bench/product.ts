/** Runs entry instances as they are, on a virtual clock with simulated links and servers. */
import { EntryInstance } from "../src/coordination/entry-instance.ts";
import type { TaskResult, TaskSpec } from "../src/platform/backend-server.ts";
import { CONFIG_KEY } from "../src/protocol/config-document.ts";
import { fleetKey } from "../src/protocol/fleet-document.ts";
import { ENTRY_DEFAULTS, type EntrySettings } from "../src/settings/entry-settings.ts";
import { KeyValueStore } from "../src/stand-ins/key-value-store.ts";
import { SimulatedBackendServer, TaskRunner } from "../src/stand-ins/simulated-backend-server.ts";
import { FaultyBackendConnector, type BackendParty } from "../test/fakes/faulty-backend.ts";
import { FaultyKeyValue } from "../test/fakes/faulty-key-value.ts";
import { Links, type LinkOutcome, type LinksOptions, type Party } from "../test/fakes/links.ts";
import { PeerNetwork } from "../test/fakes/peer-network.ts";
import { ProcessClock, ProcessGate } from "../test/fakes/process-gate.ts";
import { QUIET_LOG } from "../test/fakes/quiet.ts";
import { SeededRandom } from "../test/fakes/seeded-random.ts";
import { LaggingInstances, StaleInstanceList } from "../test/fakes/stale-instance-list.ts";
import {
  ENTRIES_PER_ZONE,
  GROUP,
  keyOf,
  LATENCY_MS,
  plannedConfig,
  plannedFleet,
  plannedServers,
  SLOTS,
  ZONES,
} from "./fleet.ts";
import { HeapClock } from "./heap-clock.ts";
import { Recorder, type Figures } from "./recorder.ts";
import type { Arrival, Fault, Scenario } from "./scenarios.ts";

/** Time for entry instances to acquire servers, share homes and settle, in milliseconds. */
const WARM_UP_MS = 15_000;

class CountingLinks extends Links {
  readonly #recorder: Recorder;

  constructor(options: LinksOptions, recorder: Recorder) {
    super(options);
    this.#recorder = recorder;
  }

  override call<T>(
    from: Party,
    to: Party,
    deliver: () => Promise<T>,
    timeoutMs: number,
  ): Promise<LinkOutcome<T>> {
    if (to.tags.includes("platform")) this.#recorder.called("platform", from.tags[0]!);
    else if (to.tags.includes("entry")) this.#recorder.called("peer", from.tags[0]!);
    return super.call(from, to, deliver, timeoutMs);
  }
}

class PlannedRunner extends TaskRunner {
  readonly #requests: readonly Arrival[];

  constructor(requests: readonly Arrival[]) {
    super();
    this.#requests = requests;
  }

  run(spec: TaskSpec): { readonly runMs: number; readonly result: TaskResult } {
    const { runMs } = this.#requests[numberOf(spec)]!;
    return { runMs, result: { kind: "answer", payload: spec.payload } };
  }
}

/** The body of a request is its number. */
function numberOf(spec: TaskSpec): number {
  return Number(Buffer.from(spec.payload.body).toString());
}

class ProductFleet {
  readonly clock = new HeapClock();
  readonly recorder: Recorder;
  readonly links: Links;
  readonly entries: readonly EntryInstance[];
  readonly #random: SeededRandom;
  readonly #store: KeyValueStore;
  readonly #platform: Party;
  readonly #network: PeerNetwork;
  readonly #servers: readonly BackendParty[];
  readonly #instances: LaggingInstances;
  readonly #requests: readonly Arrival[];

  constructor(requests: readonly Arrival[], random: SeededRandom) {
    const { clock } = this;
    this.#requests = requests;
    this.#random = random;
    this.recorder = new Recorder(clock, requests);
    this.links = new CountingLinks({ clock, random, latencyMs: LATENCY_MS }, this.recorder);
    this.#store = new KeyValueStore({ clock });
    this.#platform = { tags: ["platform"], gate: new ProcessGate({ clock }) };
    this.#network = new PeerNetwork({ links: this.links });
    this.#servers = this.#newServers();
    const instances = plannedServers().map(({ pool: _pool, ...listed }) => listed);
    this.#instances = new LaggingInstances({ clock, instances });
    this.entries = ZONES.flatMap((zone, z) =>
      Array.from({ length: ENTRIES_PER_ZONE }, (_, n) =>
        this.#newEntry(zone, z * ENTRIES_PER_ZONE + n + 1),
      ),
    );
  }

  async start(runMs: number): Promise<void> {
    const { clock } = this;
    const config = JSON.stringify(plannedConfig(clock.wallTime(), runMs));
    const fleet = JSON.stringify(plannedFleet(clock.wallTime()));
    await this.#store.put({ key: CONFIG_KEY, value: config, expectedRevision: 0 });
    await this.#store.put({ key: fleetKey(GROUP), value: fleet, expectedRevision: 0 });
    for (const entry of this.entries) void entry.start();
    await clock.advanceTo(clock.now() + WARM_UP_MS);
  }

  async submit(n: number): Promise<void> {
    const { entry, queue, team, priority, timeoutMs } = this.#requests[n]!;
    this.recorder.submitted(n);
    const reply = await this.entries[entry]!.requests.submit(
      {
        queue,
        key: keyOf(team),
        idempotencyKey: undefined,
        priority,
        idempotent: undefined,
        timeoutMs,
        payload: { contentType: "text/plain", body: Buffer.from(String(n)) },
      },
      "sync",
    );
    this.recorder.replied(n, reply.kind === "refusal" ? reply.refusal.reason : undefined);
  }

  schedule({ kind, fromMs, toMs }: Fault): void {
    const cuts: readonly (readonly [string, string])[] =
      kind === "platform-down"
        ? [["platform", "entry"]]
        : [...ZONES.slice(1).map((zone) => `zone:${zone}`), "platform"].map((other) => [
            `zone:${ZONES[0]}`,
            other,
          ]);
    for (const [a, b] of cuts) {
      this.clock.schedule(fromMs, () => {
        this.links.cut(a, b);
      });
      this.clock.schedule(toMs, () => {
        this.links.heal(a, b);
      });
    }
  }

  #newServers(): readonly BackendParty[] {
    const { clock, recorder } = this;
    const runner = new PlannedRunner(this.#requests);
    const observe = (event: "start" | "end", spec: TaskSpec): void => {
      if (event === "start") recorder.started(numberOf(spec));
      else recorder.ended(numberOf(spec));
    };
    return plannedServers().map(({ name, address, zone }) => ({
      address,
      party: {
        tags: [`server:${name}`, `zone:${zone}`, "server"],
        gate: new ProcessGate({ clock }),
      },
      server: new SimulatedBackendServer({ clock, name, slots: SLOTS, runner, observe }),
    }));
  }

  #newEntry(zone: string, index: number): EntryInstance {
    const { clock, links } = this;
    const platform = this.#platform;
    const party: Party = {
      tags: [`entry:${index}`, `zone:${zone}`, "entry"],
      gate: new ProcessGate({ clock }),
    };
    return new EntryInstance({
      settings: settingsOf(zone, index),
      clock: new ProcessClock({ base: clock, gate: party.gate }),
      random: new SeededRandom(Math.floor(this.#random.next() * 2 ** 32)),
      keyValue: new FaultyKeyValue({ links, party, platform, store: this.#store }),
      instanceList: new StaleInstanceList({ links, party, platform, instances: this.#instances }),
      backends: new FaultyBackendConnector({ links, party, servers: this.#servers }),
      peerTransport: this.#network.transport(party),
      log: QUIET_LOG,
    });
  }
}

function settingsOf(zone: string, index: number): EntrySettings {
  return {
    ...ENTRY_DEFAULTS,
    zone,
    group: GROUP,
    callerAddress: `10.0.0.${index}:7000`,
    adminAddress: `10.0.0.${index}:7001`,
    peerAddress: `10.0.0.${index}:7002`,
    keyValueUrl: "http://10.2.0.1:2379",
    instanceListUrl: "http://10.2.0.2:2380",
  };
}

/** Runs the requests against entry instances. */
export async function runProduct(
  scenario: Scenario,
  requests: readonly Arrival[],
  random: SeededRandom,
): Promise<Figures> {
  const fleet = new ProductFleet(requests, random);
  await fleet.start(scenario.runMs);
  const { clock, recorder } = fleet;
  recorder.begin();
  if (scenario.fault !== undefined) fleet.schedule(scenario.fault);
  for (const [n, { at }] of requests.entries()) clock.schedule(at, () => void fleet.submit(n));
  await clock.advanceTo(clock.now() + scenario.loadMs + scenario.timeoutMs + 1000);
  const figures = recorder.figures();
  for (const entry of fleet.entries) entry.kill();
  return figures;
}
