import { BackendConnector, type BackendServer } from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import type { ListedInstance } from "../ports/instance-list.ts";
import { ConfigurableRunner } from "../stand-ins/configurable-runner.ts";
import { KeyValueStore } from "../stand-ins/key-value-store.ts";
import { SimulatedBackendServer } from "../stand-ins/simulated-backend-server.ts";
import { StaticInstanceList } from "../stand-ins/static-instance-list.ts";

const SERVERS_PER_RACK = 4;
const SLOTS = 8;
const CORES = 64;
const MEMORY_GB = 256;

/** Options of {@link DevPlatform}. */
export interface DevPlatformOptions {
  readonly clock: Clock;
  readonly zones: readonly string[];
  /** Total number of backend servers in all zones. */
  readonly servers: number;
}

/** In-memory stand-ins for all services of the platform. */
export class DevPlatform extends BackendConnector {
  readonly keyValue: KeyValueStore;
  readonly instanceList: StaticInstanceList;
  readonly #servers = new Map<string, SimulatedBackendServer>();

  constructor({ clock, zones, servers }: DevPlatformOptions) {
    super();
    this.keyValue = new KeyValueStore({ clock });
    this.instanceList = new StaticInstanceList();
    for (let index = 0; index < servers; index++) {
      const instance = listedInstance(index, zones);
      this.instanceList.set(instance);
      const runner = new ConfigurableRunner();
      const options = { clock, name: instance.name, slots: SLOTS, runner };
      this.#servers.set(instance.address, new SimulatedBackendServer(options));
    }
  }

  connect(address: string): BackendServer {
    const server = this.#servers.get(address);
    if (server === undefined) throw new Error(`no backend server at ${address}`);
    return server;
  }
}

function listedInstance(index: number, zones: readonly string[]): ListedInstance {
  const zone = zones[index % zones.length] ?? "zone-1";
  const indexInZone = Math.floor(index / zones.length);
  const name = `${zone}-${indexInZone + 1}`;
  return {
    name,
    zone,
    address: `http://127.0.0.1:${20_000 + index}`,
    rack: `${zone}-rack-${Math.floor(indexInZone / SERVERS_PER_RACK) + 1}`,
    cores: CORES,
    memoryGb: MEMORY_GB,
    accelerators: 0,
    slots: SLOTS,
    state: "live",
  };
}
