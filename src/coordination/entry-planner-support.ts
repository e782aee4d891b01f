import { Err, Ok, type Result } from "ts-results";
import type { BackendConnector } from "../ports/backend-server.ts";
import type { AckReply } from "../protocol/peer-messages.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import { PlannerSupport } from "./planner.ts";
import type { FleetView, HeldServers, Peers } from "./ports.ts";

const REBOOT_CALL_TIMEOUT_MS = 5000;
const PROBE_LEASE_ID = "probe";

/** Options of {@link EntryPlannerSupport}. */
export interface EntryPlannerSupportOptions {
  readonly isLeader: () => boolean;
  readonly backends: BackendConnector;
  readonly held: HeldServers;
  readonly peers: Peers;
  readonly fleet: FleetView;
}

/** Lets the planner act through the entry instance it runs in. */
export class EntryPlannerSupport extends PlannerSupport {
  readonly #options: EntryPlannerSupportOptions;

  constructor(options: EntryPlannerSupportOptions) {
    super();
    this.#options = options;
  }

  isLeader(): boolean {
    return this.#options.isLeader();
  }

  /** Zones of the group are those of its recorded servers and of its entries in contact. */
  inGroup(zone: string): boolean {
    const { peers, fleet } = this.#options;
    const { self } = peers;
    if (zone === self.zone) return true;
    const entries = [...peers.gossip().values()].map(({ hello }) => hello);
    if (entries.some((hello) => hello.group === self.group && hello.zone === zone)) return true;
    return fleet.current()?.servers.some((server) => server.zone === zone) ?? false;
  }

  async reboot(server: ServerRecord): Promise<Result<void, string>> {
    const { peers, held } = this.#options;
    if (held.client(server.name) !== undefined) return this.#rebootOrdered(server.name);
    const holder = [...peers.gossip().values()].find(({ message }) =>
      message.held.includes(server.name),
    );
    if (holder === undefined) return Err("no entry instance holds its lease");
    const req = { type: "reboot" as const, server: server.name };
    const reply = await peers.call(holder.hello.incarnation, req, REBOOT_CALL_TIMEOUT_MS);
    if (reply.err) return Err(`holder not reached: ${reply.val.kind}`);
    return reply.val.accepted ? Ok(undefined) : Err("refused by the holder");
  }

  /** Answers a planner that runs at another entry. */
  async handleReboot(server: string): Promise<AckReply> {
    const done = await this.#rebootOrdered(server);
    return { type: "ack", accepted: done.ok };
  }

  /**
   * A refused connection shows that no process listens at the address. A time-out shows nothing:
   * the server may run behind a network partition.
   */
  async confirmGone(server: ServerRecord): Promise<boolean> {
    const probe = await this.#options.backends.connect(server.address).listTasks(PROBE_LEASE_ID);
    return probe.err && probe.val.kind === "unreachable" && probe.val.detail.includes("REFUSED");
  }

  /** A planner that was paused may ask for a reboot that another has taken back since. */
  async #rebootOrdered(server: string): Promise<Result<void, string>> {
    const record = this.#options.fleet.current()?.servers.find((one) => one.name === server);
    if (record?.state !== "rebooting") return Err("its record does not say rebooting");
    const client = this.#options.held.client(server);
    if (client === undefined) return Err("its lease is not held here");
    const done = await client.backend.reboot(client.leaseId);
    return done.ok ? Ok(undefined) : Err(done.val.kind);
  }
}
