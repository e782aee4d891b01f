import { Err, Ok, type Result } from "ts-results";
import {
  InstanceControl,
  type ControlError,
  type ControlledInstance,
  type ControlOrder,
} from "../../../src/ports/instance-control.ts";
import type { JobCluster } from "./job-cluster.ts";

/** Time in ms that a maintenance takes. */
const MAINTENANCE_MS = 2000;

/** One instance and the server that runs on it. */
interface FakeInstance {
  readonly name: string;
  server: string | undefined;
  boots: number;
}

/** Instances of a cluster's backend servers. After its maintenance an instance runs another server. */
export class FakeInstances extends InstanceControl {
  /** Names of the instances whose maintenance was carried out, in order. */
  readonly maintained: string[] = [];
  readonly #cluster: JobCluster;
  readonly #instances = new Map<string, FakeInstance>();

  constructor(cluster: JobCluster) {
    super();
    this.#cluster = cluster;
  }

  /** Name of the instance that a server runs on. */
  static nameOf(server: string): string {
    return `m-${server}`;
  }

  list(): Promise<Result<readonly ControlledInstance[], ControlError>> {
    return Promise.resolve(Ok(this.#known().map((instance) => this.#listed(instance))));
  }

  move(): Promise<Result<void, ControlError>> {
    return Promise.resolve(Err({ kind: "invalid", detail: "there is one pool" }));
  }

  maintain({ instance: name }: ControlOrder): Promise<Result<void, ControlError>> {
    const instance = this.#instances.get(name);
    if (instance?.server === undefined) return Promise.resolve(Err({ kind: "busy" }));
    this.maintained.push(name);
    this.#cluster.crash(instance.server);
    instance.server = undefined;
    this.#cluster.clock.schedule(MAINTENANCE_MS, () => {
      const server = `${name}-${++instance.boots}`;
      instance.server = server;
      this.#cluster.addServer(server);
    });
    return Promise.resolve(Ok(undefined));
  }

  #known(): readonly FakeInstance[] {
    const onInstances = new Set([...this.#instances.values()].map(({ server }) => server));
    for (const { id, up } of this.#cluster.servers.values()) {
      if (!up || onInstances.has(id)) continue;
      const name = FakeInstances.nameOf(id);
      this.#instances.set(name, { name, server: id, boots: 0 });
    }
    return [...this.#instances.values()];
  }

  #listed({ name, server }: FakeInstance): ControlledInstance {
    const capacity = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    return {
      ...{ name, server, pool: "pool", zone: "z", labels: [] },
      capacity: this.#cluster.servers.get(server ?? "")?.capacity ?? capacity,
      state: server === undefined ? "upkeep" : "up",
    };
  }
}
