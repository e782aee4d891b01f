import type { ServerRecord, ServerState } from "../protocol/fleet-document.ts";

/** Every allowed change of state. */
const NEXT_STATES: Readonly<Record<ServerState, readonly ServerState[]>> = {
  serving: ["draining", "quarantined", "leaving"],
  draining: ["serving", "empty", "leaving"],
  empty: ["serving", "moving", "rebooting", "leaving"],
  moving: ["serving", "leaving"],
  rebooting: ["serving", "leaving"],
  quarantined: ["draining", "leaving"],
  // The instance list may have dropped a live server for a while.
  leaving: ["serving"],
};

/** True if a server may go from one state to the other. */
export function isTransitionAllowed(from: ServerState, to: ServerState): boolean {
  return NEXT_STATES[from].includes(to);
}

/** Options of {@link transitionTo}. */
export interface TransitionOptions {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly at: number;
  /** Pool that a draining server goes to once it is empty. */
  readonly moveTo?: string | undefined;
}

/**
 * The record in its next state. `moving` puts the server into the pool it moves to and raises its
 * epoch. Throws if the change is not allowed, which is a fault of the calling rule.
 */
export function transitionTo(
  server: ServerRecord,
  state: ServerState,
  { at, moveTo }: TransitionOptions,
): ServerRecord {
  if (!isTransitionAllowed(server.state, state)) {
    throw new Error(`${server.name} may not go from ${server.state} to ${state}`);
  }
  const { moveTo: target, ...rest } = server;
  const next = { ...rest, state, since: at };
  switch (state) {
    case "moving":
      if (target === undefined) throw new Error(`${server.name} has no pool to move to`);
      return { ...next, pool: target, epoch: server.epoch + 1 };
    case "draining":
      return moveTo === undefined ? next : { ...next, moveTo };
    case "empty":
      return target === undefined ? next : { ...next, moveTo: target };
    case "serving":
      return server.state === "rebooting" ? { ...next, rebootedAt: at } : next;
    default:
      return next;
  }
}

/**
 * Marks a drained server as empty. Only for the holder of its lease, after it stopped dispatching
 * under a document that shows `draining` and saw no tasks. Undefined if the record in the document
 * is not `draining` any more.
 */
export function markEmpty(
  servers: readonly ServerRecord[],
  name: string,
  at: number,
): readonly ServerRecord[] | undefined {
  const server = servers.find((candidate) => candidate.name === name);
  if (server?.state !== "draining") return undefined;
  return replaceServer(servers, transitionTo(server, "empty", { at }));
}

/** The servers with one record replaced. */
export function replaceServer(
  servers: readonly ServerRecord[],
  next: ServerRecord,
): readonly ServerRecord[] {
  return servers.map((server) => (server.name === next.name ? next : server));
}
