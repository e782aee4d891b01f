import type { RegisteredServer } from "../../../protocol/fleet-config.ts";
import { ServerListener } from "../job-feeds.ts";
import type { ServerDriver } from "../execution/server-driver.ts";

/** Options of {@link FleetDrivers}. */
export interface FleetDriversOptions {
  /** Opens a driver. `former` is the closed driver of an earlier boot. */
  readonly open: (registration: RegisteredServer, former: ServerDriver | undefined) => ServerDriver;
  /**
   * Called when a server id registers for the first time, or a later boot becomes known. Its driver
   * is open but has sent nothing yet.
   */
  readonly onNewBoot: (server: string, bootedAt: number) => void;
  /** Called after each registration. */
  readonly onChange: () => void;
}

/** Keeps one driver for each backend server that is registered or still has runs. */
export class FleetDrivers extends ServerListener {
  readonly #options: FleetDriversOptions;
  readonly #drivers = new Map<string, ServerDriver>();
  /** Drivers by pool; undefined after a change. */
  #byPool: ReadonlyMap<string, readonly ServerDriver[]> | undefined;
  #loaded = false;

  constructor(options: FleetDriversOptions) {
    super();
    this.#options = options;
  }

  /** True once the registered servers have been read. */
  get loaded(): boolean {
    return this.#loaded;
  }

  get(server: string): ServerDriver | undefined {
    return this.#drivers.get(server);
  }

  all(): Iterable<ServerDriver> {
    return this.#drivers.values();
  }

  /** Drivers of the backend servers that are registered in a pool. */
  inPool(pool: string): readonly ServerDriver[] {
    this.#byPool ??= groupByPool(this.#drivers.values());
    return this.#byPool.get(pool) ?? [];
  }

  reset(servers: readonly RegisteredServer[]): void {
    const present = new Set(servers.map(({ id }) => id));
    for (const id of this.#drivers.keys()) if (!present.has(id)) this.removed(id);
    for (const server of servers) this.registered(server);
    this.#loaded = true;
  }

  registered(server: RegisteredServer): void {
    const driver = this.#drivers.get(server.id);
    if (driver?.bootedAt === server.bootedAt) {
      if (!driver.closed) driver.updateRegistration(server);
    } else if (driver === undefined || driver.bootedAt < server.bootedAt) {
      this.#openBoot(server, { registered: true });
    }
    this.#byPool = undefined;
    this.#options.onChange();
  }

  /**
   * Opens a driver for a later boot that was found before its registration. The boot gets no new tasks
   * until it registers, because its pool and capacity may differ from the former boot's.
   */
  rebooted(server: RegisteredServer): void {
    const driver = this.#drivers.get(server.id);
    if (driver !== undefined && driver.bootedAt >= server.bootedAt) return;
    this.#openBoot(server, { registered: false });
    this.#byPool = undefined;
  }

  #openBoot(server: RegisteredServer, { registered }: { readonly registered: boolean }): void {
    const former = this.#drivers.get(server.id);
    former?.close();
    const driver = this.#options.open(server, former);
    driver.absent = !registered;
    this.#drivers.set(server.id, driver);
    this.#options.onNewBoot(server.id, server.bootedAt);
    void driver.run();
  }

  removed(id: string): void {
    const driver = this.#drivers.get(id);
    if (driver === undefined) return;
    driver.absent = true;
    driver.requestPoll();
  }

  /** Closes and removes the drivers of servers that are no longer registered and have no runs. */
  prune(hasRuns: (server: string) => boolean): void {
    for (const [id, driver] of this.#drivers) {
      if (!driver.absent || hasRuns(id)) continue;
      driver.close();
      this.#drivers.delete(id);
      this.#byPool = undefined;
    }
  }

  close(): void {
    for (const driver of this.#drivers.values()) driver.close();
  }
}

function groupByPool(
  drivers: Iterable<ServerDriver>,
): ReadonlyMap<string, readonly ServerDriver[]> {
  const pools = new Map<string, ServerDriver[]>();
  for (const driver of drivers) {
    const { pool } = driver.registration;
    const group = pools.get(pool);
    if (group === undefined) pools.set(pool, [driver]);
    else group.push(driver);
  }
  return pools;
}
