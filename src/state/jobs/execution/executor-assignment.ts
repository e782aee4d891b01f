/**
 * Assignment of backend servers to executors: entry instances that send the scheduler's orders to
 * them. It depends on nothing but the live sessions and the registered servers, so every scheduler
 * computes the same and nothing is stored.
 */
import type { SessionRecord } from "../../../protocol/job-records.ts";

/** Up to this many servers, the scheduler sends all orders itself. */
const MAX_DIRECT_SERVERS = 20;
/**
 * Servers of one executor. With more executors each batch has fewer orders, and its fixed cost is
 * most of what the scheduler pays for an order.
 */
const SERVERS_PER_EXECUTOR = 30;

/** A backend server to be assigned. */
export interface AssignableServer {
  readonly id: string;
  readonly zone: string;
}

/**
 * Maps servers to executors of their zones. A zone has a number of slots in proportion to its
 * servers. Each server and each entry instance of the zone belongs to one slot by its hash, and the
 * entry instance with the highest weight in a slot, by hash and strength, is the executor of the
 * slot's servers. So the loss of an entry instance moves only the servers that it had, and two slots
 * share an executor only if one of them has no entry instance of its own.
 */
export class ExecutorAssignment {
  readonly #maxDirectServers: number;
  /** Executors by slot, by zone; undefined where the scheduler sends directly. */
  readonly #executors = new Map<string, readonly (SessionRecord | undefined)[]>();
  /** Slots of servers and the number of slots for which they were computed. */
  readonly #slots = new Map<string, { readonly slots: number; readonly slot: number }>();

  /** `maxDirectServers`: size of a fleet up to which there are no executors. @default 20 */
  constructor(maxDirectServers = MAX_DIRECT_SERVERS) {
    this.#maxDirectServers = maxDirectServers;
  }

  /** Recomputes the executors. `scheduler` is the name of the entry instance that schedules. */
  update(
    servers: Iterable<AssignableServer>,
    sessions: readonly SessionRecord[],
    scheduler: string,
  ): void {
    this.#executors.clear();
    const counts = new Map<string, number>();
    let total = 0;
    for (const { zone } of servers) {
      counts.set(zone, (counts.get(zone) ?? 0) + 1);
      total++;
    }
    if (total <= this.#maxDirectServers) return;
    for (const [zone, count] of counts) {
      const slots = Math.max(1, Math.round(count / SERVERS_PER_EXECUTOR));
      // The scheduler's own processor time is the scarcest, so other instances relieve it.
      const candidates = sessions.filter((each) => each.zone === zone && each.name !== scheduler);
      this.#executors.set(zone, executorsOfSlots(slots, candidates));
    }
  }

  /** Executor of a server; undefined if the scheduler sends to it directly. */
  executor({ id, zone }: AssignableServer): SessionRecord | undefined {
    const executors = this.#executors.get(zone);
    if (executors === undefined) return undefined;
    let known = this.#slots.get(id);
    if (known?.slots !== executors.length) {
      known = { slots: executors.length, slot: homeSlot(id, executors.length) };
      this.#slots.set(id, known);
    }
    return executors[known.slot];
  }

  /** Forgets a server that is no longer registered. */
  forget(id: string): void {
    this.#slots.delete(id);
  }
}

function executorsOfSlots(
  slots: number,
  candidates: readonly SessionRecord[],
): readonly (SessionRecord | undefined)[] {
  const homes = candidates.map(({ name }) => homeSlot(name, slots));
  return Array.from({ length: slots }, (_, slot) => {
    const own = candidates.filter((_candidate, index) => homes[index] === slot);
    return heaviest(own.length > 0 ? own : candidates, slot);
  });
}

/** The highest random weight wins, so that an executor is elected in proportion to its strength. */
function heaviest(candidates: readonly SessionRecord[], slot: number): SessionRecord | undefined {
  let best: SessionRecord | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const weight = -candidate.strength / Math.log(unitHash(`${slot} ${candidate.name}`));
    if (best !== undefined && weight <= bestWeight) continue;
    best = candidate;
    bestWeight = weight;
  }
  return best;
}

/** Rendezvous hashing: one more slot moves only the share that the new slot gets. */
function homeSlot(name: string, slots: number): number {
  let home = 0;
  let highest = -1;
  for (let slot = 0; slot < slots; slot++) {
    const weight = unitHash(`${name} ${slot}`);
    if (weight <= highest) continue;
    home = slot;
    highest = weight;
  }
  return home;
}

/** Hash of a text in the open interval from 0 to 1: FNV-1a with the final mix of MurmurHash3. */
function unitHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  hash ^= hash >>> 16;
  return ((hash >>> 0) + 0.5) / 2 ** 32;
}
