import type { Clock } from "../platform/clock.ts";
import type { Random } from "../platform/random.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import { goTo, replaceServer } from "../state/fleet-transitions.ts";
import type { FleetStore } from "./fleet-store.ts";
import type { Counters, FleetView, HeldServers } from "./ports.ts";

/** Writes lost to other writers of the fleet document before the next round tries again. */
const WRITE_ATTEMPTS = 5;

/** Options of {@link RebootKeeper}. */
export interface RebootKeeperOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly fleet: FleetView;
  readonly held: HeldServers;
  readonly store: FleetStore;
  /** @default 500 */
  readonly intervalMs?: number;
}

/**
 * Reboots servers under this entry's leases whose record says `rebooting`, and records the end.
 * The planner ordered the reboot of an empty server, so a repeated reboot loses nothing.
 */
export class RebootKeeper {
  readonly #options: Required<RebootKeeperOptions>;
  readonly #stop = new AbortController();
  /** Servers rebooted by this entry whose record is not written yet, with the order's time. */
  readonly #rebooted = new Map<string, number>();
  #started = false;

  constructor({ intervalMs = 500, ...rest }: RebootKeeperOptions) {
    this.#options = { intervalMs, ...rest };
  }

  start(): void {
    if (this.#started) return;
    this.#started = true;
    void this.#run();
  }

  stop(): void {
    this.#stop.abort();
  }

  async #run(): Promise<void> {
    const { clock, intervalMs } = this.#options;
    while (!this.#stopped()) {
      await this.round();
      await clock.sleep(intervalMs, this.#stop.signal);
    }
  }

  #stopped(): boolean {
    return this.#stop.signal.aborted;
  }

  /** Reboots what is ordered and records what was done. */
  async round(): Promise<void> {
    const servers = this.#options.fleet.current()?.servers ?? [];
    const ordered = servers.filter((server) => server.state === "rebooting");
    for (const name of [...this.#rebooted.keys()]) {
      if (!ordered.some((server) => server.name === name)) this.#rebooted.delete(name);
    }
    await Promise.all(ordered.map((server) => this.#carryOut(server)));
  }

  async #carryOut(server: ServerRecord): Promise<void> {
    const { held, counters } = this.#options;
    if (this.#rebooted.get(server.name) !== server.since) {
      const client = held.client(server.name);
      if (client === undefined) return;
      const reply = await client.backend.reboot(client.leaseId);
      if (reply.err) {
        // Without a reply the reboot may have been done; it is ordered again under a new lease.
        counters.event("reboot_failed");
        return;
      }
      counters.event("server_rebooted");
      this.#rebooted.set(server.name, server.since);
    }
    await this.#record(server);
  }

  async #record(server: ServerRecord): Promise<void> {
    const { store, clock, random } = this.#options;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
      const read = await store.read();
      if (read.err || read.val === undefined) return;
      const current = read.val.servers.find((candidate) => candidate.name === server.name);
      if (current?.state !== "rebooting" || current.since !== server.since) return;
      const at = clock.wallTime();
      const servers = replaceServer(read.val.servers, goTo(current, "serving", { at }));
      const written = await store.write({ ...read.val, servers, writeId: random.uuidV7(at) });
      if (written.kind !== "raced") return;
    }
  }
}
