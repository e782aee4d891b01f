import { Err, Ok, type Result } from "ts-results";
import {
  InstanceControl,
  type ControlError,
  type ControlledInstance,
  type ControlOrder,
} from "../../../src/ports/instance-control.ts";
import type { Resources } from "../../../src/protocol/job-spec.ts";
import { NO_RESOURCES } from "../../../src/state/jobs/scheduling/resources.ts";
import type { JobCluster } from "./job-cluster.ts";

/** Time in ms that a maintenance takes. */
const MAINTENANCE_MS = 2000;
/** Time in ms that a move to another pool takes. */
const MOVE_MS = 1500;

/** Pool of the cluster's backend servers. */
export const POOL = "pool";
/** Pool of the instances that are switched off. */
export const SPARE_POOL = "rest";

/** An instance that is in the spare pool at first. */
export interface SpareInstance {
  readonly name: string;
  readonly capacity: Resources;
  /** False if its moves are accepted but no server ever runs on it. @default true */
  readonly joins?: boolean;
}

/** One instance and the server that runs on it. */
interface FakeInstance {
  readonly name: string;
  /** Undefined for an instance of a server that the cluster was created with. */
  readonly spare: SpareInstance | undefined;
  pool: string;
  server: string | undefined;
  away: "moving" | "upkeep" | undefined;
  boots: number;
}

/** Instances of a cluster's backend servers. After its maintenance an instance runs another server. */
export class FakeInstances extends InstanceControl {
  /** Names of the instances whose maintenance was carried out, in order. */
  readonly maintained: string[] = [];
  readonly #cluster: JobCluster;
  readonly #instances = new Map<string, FakeInstance>();

  constructor(cluster: JobCluster, spares: readonly SpareInstance[] = []) {
    super();
    this.#cluster = cluster;
    for (const spare of spares) {
      const { name } = spare;
      const off = { pool: SPARE_POOL, server: undefined, away: undefined, boots: 0 };
      this.#instances.set(name, { name, spare, ...off });
    }
  }

  /** Name of the instance that a server runs on. */
  static nameOf(server: string): string {
    return `m-${server}`;
  }

  list(): Promise<Result<readonly ControlledInstance[], ControlError>> {
    return Promise.resolve(Ok(this.#known().map((instance) => this.#listed(instance))));
  }

  move({ instance: name }: ControlOrder, pool: string): Promise<Result<void, ControlError>> {
    const instance = this.#instances.get(name);
    if (instance === undefined)
      return Promise.resolve(Err({ kind: "invalid", detail: "there is no such instance" }));
    if (instance.away !== undefined) return Promise.resolve(Err({ kind: "busy" }));
    if (instance.pool === pool) return Promise.resolve(Ok(undefined));
    this.#stop(instance);
    instance.pool = pool;
    instance.away = "moving";
    if (instance.spare?.joins ?? true)
      this.#cluster.clock.schedule(MOVE_MS, () => {
        instance.away = undefined;
        if (pool !== SPARE_POOL) this.#boot(instance);
      });
    return Promise.resolve(Ok(undefined));
  }

  maintain({ instance: name }: ControlOrder): Promise<Result<void, ControlError>> {
    const instance = this.#instances.get(name);
    if (instance?.server === undefined) return Promise.resolve(Err({ kind: "busy" }));
    this.maintained.push(name);
    this.#stop(instance);
    instance.away = "upkeep";
    this.#cluster.clock.schedule(MAINTENANCE_MS, () => {
      instance.away = undefined;
      this.#boot(instance);
    });
    return Promise.resolve(Ok(undefined));
  }

  #stop(instance: FakeInstance): void {
    if (instance.server !== undefined) this.#cluster.crash(instance.server);
    instance.server = undefined;
  }

  #boot(instance: FakeInstance): void {
    const server = `${instance.name}-${++instance.boots}`;
    instance.server = server;
    this.#cluster.addServer(server, instance.spare?.capacity);
  }

  #known(): readonly FakeInstance[] {
    const onInstances = new Set([...this.#instances.values()].map(({ server }) => server));
    for (const { id, up } of this.#cluster.servers.values()) {
      if (!up || onInstances.has(id)) continue;
      const name = FakeInstances.nameOf(id);
      const running = { pool: POOL, server: id, away: undefined, boots: 0 };
      this.#instances.set(name, { name, spare: undefined, ...running });
    }
    return [...this.#instances.values()];
  }

  #listed({ name, server, spare, pool, away }: FakeInstance): ControlledInstance {
    const capacity = this.#cluster.servers.get(server ?? "")?.capacity ?? spare?.capacity;
    return {
      ...{ name, server, pool, zone: "z", labels: [] },
      ...{ capacity: capacity ?? NO_RESOURCES, state: away ?? "up" },
    };
  }
}
