import type { ServerRecord, ServerState } from "../protocol/fleet-document.ts";

/** Allowed state transitions. */
const NEXT_STATES: Readonly<Record<ServerState, readonly ServerState[]>> = {
  serving: ["draining", "quarantined", "leaving"],
  draining: ["serving", "empty", "leaving"],
  empty: ["serving", "moving", "rebooting", "leaving"],
  moving: ["serving", "leaving"],
  rebooting: ["serving", "leaving"],
  quarantined: ["draining", "leaving"],
  // The instance list may temporarily omit a live server.
  leaving: ["serving"],
};

/** True if a server may change from one state to the other. */
export function isTransitionAllowed(from: ServerState, to: ServerState): boolean {
  return NEXT_STATES[from].includes(to);
}

/** Options of {@link transitionTo}. */
export interface TransitionOptions {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly at: number;
  /** Pool to which a draining server moves once it is empty. */
  readonly moveTo?: string | undefined;
}

/**
 * Returns the record in its next state. `moving` assigns the server to its target pool and
 * increments its epoch. Throws if the transition is not allowed, which is a bug in the calling
 * rule.
 */
export function transitionTo(
  server: ServerRecord,
  state: ServerState,
  { at, moveTo }: TransitionOptions,
): ServerRecord {
  if (!isTransitionAllowed(server.state, state)) {
    throw new Error(`${server.name} may not go from state ${server.state} to ${state}`);
  }
  const { moveTo: target, ...rest } = server;
  const next = { ...rest, state, since: at };
  switch (state) {
    case "moving":
      if (target === undefined) throw new Error(`${server.name} has no target pool for its move`);
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
 * Marks a drained server as empty. Only the holder of its lease may call this, after it read
 * `draining` in the document, stopped dispatching to the server and found no tasks on it. Undefined
 * if the record in the document is no longer `draining`.
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

/** Returns the servers with the record of the same name replaced. */
export function replaceServer(
  servers: readonly ServerRecord[],
  next: ServerRecord,
): readonly ServerRecord[] {
  return servers.map((server) => (server.name === next.name ? next : server));
}
