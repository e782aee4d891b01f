import { ServerRegistry, type ServerListener } from "../../../src/coordination/jobs/job-feeds.ts";
import type { RegisteredServer } from "../../../src/protocol/fleet-config.ts";
import type { SimulatedJobServer } from "../../../src/stand-ins/simulated-job-server.ts";
import { zoneOfServer } from "./zones.ts";

/** Registrations of the simulated servers, delivered when a test says that one has changed. */
export class FakeRegistry extends ServerRegistry {
  zone = zoneOfServer;
  readonly draining = new Set<string>();
  /** Cold time of servers in ms, by server id. */
  readonly coldMs = new Map<string, number>();
  /** Labels of servers that have others than the default ones, by server id. */
  readonly labels = new Map<string, readonly string[]>();
  readonly #servers: ReadonlyMap<string, SimulatedJobServer>;
  /** Registrations as last delivered, which may be of a former boot. */
  readonly #delivered = new Map<string, RegisteredServer>();
  readonly #listeners = new Set<ServerListener>();

  constructor(servers: ReadonlyMap<string, SimulatedJobServer>) {
    super();
    this.#servers = servers;
  }

  follow(listener: ServerListener, signal: AbortSignal): Promise<void> {
    listener.reset([...this.#delivered.values()]);
    this.#listeners.add(listener);
    return new Promise((resolve) => {
      signal.addEventListener("abort", () => {
        this.#listeners.delete(listener);
        resolve();
      });
    });
  }

  changed(id: string): void {
    const server = this.#servers.get(id);
    const registration = server?.up === true ? this.#registration(server) : undefined;
    if (registration === undefined) this.#delivered.delete(id);
    else this.#delivered.set(id, registration);
    for (const listener of this.#listeners) {
      if (registration === undefined) listener.removed(id);
      else listener.registered(registration);
    }
  }

  #registration({ id, capacity, bootedAt }: SimulatedJobServer): RegisteredServer {
    return {
      ...{ id, capacity, bootedAt, pool: "pool", address: id, zone: this.zone(id) },
      coldRemainingMs: this.coldMs.get(id) ?? 0,
      draining: this.draining.has(id),
      labels: this.labels.get(id) ?? ["kind", "rack"],
      rack: "rack",
    };
  }
}
