/** Marks a draining server as empty in the fleet document once no task runs on it. */
import {
  fleetKey,
  FleetDocumentSchema,
  type FleetDocument,
  type ServerRecord,
} from "../protocol/fleet-document.ts";
import type { Clock } from "../ports/clock.ts";
import type { DocumentKind, DocumentStore } from "./document-store.ts";

/** Fleet document as stored, without the revision it was read at. */
export type StoredFleet = Omit<FleetDocument, "revision">;

/** Kind of a group's fleet document. */
export function fleetKind(group: string): DocumentKind<StoredFleet> {
  return { key: fleetKey(group), schema: FleetDocumentSchema };
}

/** Options of {@link ServerDrain}. */
export interface ServerDrainOptions {
  readonly store: DocumentStore;
  readonly clock: Clock;
  readonly group: string;
}

/**
 * Blocks dispatch to a server from before `empty` is written until the fleet document read here is
 * at least as new as that write. Otherwise a late reply with an older revision would allow dispatch
 * to a server that the planner is about to move or reboot.
 */
export class ServerDrain {
  readonly #options: ServerDrainOptions;
  /** Revision that must have been read before dispatch to a server is allowed again. */
  readonly #blockedUntil = new Map<string, number>();

  constructor(options: ServerDrainOptions) {
    this.#options = options;
  }

  /** True while the server's drain blocks dispatch to it. */
  blocksDispatch(server: string, fleetRevision: number): boolean {
    const until = this.#blockedUntil.get(server);
    if (until === undefined) return false;
    if (fleetRevision < until) return true;
    this.#blockedUntil.delete(server);
    return false;
  }

  /** Writes `empty` if the server is still draining and lists no tasks. */
  async tryMarkEmpty(server: ServerRecord, listsNoTasks: () => Promise<boolean>): Promise<void> {
    if (this.#blockedUntil.has(server.name)) return;
    this.#blockedUntil.set(server.name, Infinity);
    if (!(await listsNoTasks())) {
      this.#blockedUntil.delete(server.name);
      return;
    }
    const { store, clock, group } = this.#options;
    const since = clock.wallTime();
    const result = await store.update(fleetKind(group), (fleet, writeId) => {
      const isDraining = (one: ServerRecord): boolean =>
        one.name === server.name && one.state === "draining" && one.epoch === server.epoch;
      if (fleet?.servers.some(isDraining) !== true) return undefined;
      const servers = fleet.servers.map((one) =>
        isDraining(one) ? { ...one, state: "empty" as const, since } : one,
      );
      return { ...fleet, servers, writeId };
    });
    if (result.ok) this.#blockedUntil.set(server.name, result.val.current?.revision ?? 0);
    else if (result.val.kind === "ambiguous") {
      this.#blockedUntil.set(server.name, result.val.expectedRevision + 1);
    } else this.#blockedUntil.delete(server.name);
  }
}
