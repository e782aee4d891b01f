import { Err, Ok, type Result } from "ts-results";
import type { BackendConnector } from "../ports/backend-server.ts";
import type { AckReply } from "../protocol/peer-messages.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import { PlannerSupport } from "./planner.ts";
import type { FleetView, HeldServers, Peers } from "./ports.ts";

const REBOOT_CALL_TIMEOUT_MS = 5000;
/** Id of no lease: the call only tests whether a process listens at the address. */
const PROBE_LEASE_ID = "probe";

/** Options of {@link EntryPlannerSupport}. */
export interface EntryPlannerSupportOptions {
  readonly isLeader: () => boolean;
  readonly backends: BackendConnector;
  readonly held: HeldServers;
  readonly peers: Peers;
  readonly fleet: FleetView;
}

/** Gives the planner access to the leases, peers and backend servers of its entry instance. */
export class EntryPlannerSupport extends PlannerSupport {
  readonly #options: EntryPlannerSupportOptions;

  constructor(options: EntryPlannerSupportOptions) {
    super();
    this.#options = options;
  }

  isLeader(): boolean {
    return this.#options.isLeader();
  }

  /** The zones of the group are those of its recorded servers and of its reachable entries. */
  isZoneInGroup(zone: string): boolean {
    const { peers, fleet } = this.#options;
    const { self } = peers;
    if (zone === self.zone) return true;
    const entries = [...peers.gossip().values()].map(({ hello }) => hello);
    if (entries.some((hello) => hello.group === self.group && hello.zone === zone)) return true;
    return fleet.current()?.servers.some((server) => server.zone === zone) ?? false;
  }

  async reboot(server: ServerRecord): Promise<Result<void, string>> {
    const { peers, held } = this.#options;
    if (held.client(server.name) !== undefined) return this.#rebootHeldServer(server.name);
    const holder = [...peers.gossip().values()].find(({ message }) =>
      message.held.includes(server.name),
    );
    if (holder === undefined)
      return Err("no reachable entry instance holds the lease of the server");
    const req = { type: "reboot" as const, server: server.name };
    const reply = await peers.call(holder.hello.incarnation, req, REBOOT_CALL_TIMEOUT_MS);
    if (reply.err) return Err(`lease holder could not be called: ${reply.val.kind}`);
    return reply.val.accepted ? Ok(undefined) : Err("refused by the lease holder");
  }

  /** Handles a reboot request of a planner in another entry. */
  async handleReboot(server: string): Promise<AckReply> {
    const done = await this.#rebootHeldServer(server);
    return { type: "ack", accepted: done.ok };
  }

  /**
   * Only a refused connection proves that no process listens at the address. A timeout proves
   * nothing, since the server may still run behind a network partition.
   */
  async confirmGone(server: ServerRecord): Promise<boolean> {
    const probe = await this.#options.backends.connect(server.address).listTasks(PROBE_LEASE_ID);
    return probe.err && probe.val.kind === "unreachable" && probe.val.detail.includes("REFUSED");
  }

  /**
   * Reboots a held server if its record is in state `rebooting`. A planner that was paused may
   * request a reboot that another planner has revoked since.
   */
  async #rebootHeldServer(server: string): Promise<Result<void, string>> {
    const record = this.#options.fleet.current()?.servers.find((one) => one.name === server);
    if (record?.state !== "rebooting")
      return Err("the record of the server is not in state rebooting");
    const client = this.#options.held.client(server);
    if (client === undefined)
      return Err("this entry instance does not hold the lease of the server");
    const done = await client.backend.reboot(client.leaseId);
    return done.ok ? Ok(undefined) : Err(done.val.kind);
  }
}
