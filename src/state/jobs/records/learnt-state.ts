/** Converts between learnt durations, speeds and health and the entries of their record. */
import type { LearntEntry, LearntQueue, LearntServer } from "../../../protocol/learnt-record.ts";
import type { ServerHealth } from "../execution/server-health.ts";
import type { ServerSpeed } from "../execution/server-speed.ts";
import type { DurationModel, DurationModels } from "../scheduling/duration-model.ts";

/** Deviation from the usual speed below which the speed is not stored. */
const MIN_SPEED_DEVIATION = 0.1;

/** A backend server about which something may have been learnt. */
export interface LearntAboutServer {
  readonly id: string;
  readonly bootedAt: number;
  readonly speed: ServerSpeed;
  readonly health: ServerHealth;
  /** True if the boot's lease is certainly no longer than schedulers have granted to it. */
  readonly leaseAsGranted: boolean;
  /** Called if the former scheduler knew the lease of this boot to be as granted. */
  trustLease(): void;
}

/** Times of one moment on the two clocks, in milliseconds. */
export interface Moment {
  /** Monotonic time. */
  readonly now: number;
  /** Unix time. */
  readonly wallTime: number;
}

/** Entries of the record, with the time of the last change of each. */
export class LearntState {
  #entries = new Map<string, LearntEntry>();

  /** Takes the entries of the former scheduler, so that unchanged ones keep their time stamps. */
  inherit(entries: readonly LearntEntry[]): void {
    for (const entry of entries) this.#entries.set(keyOf(entry), entry);
  }

  /** Present entries. */
  get entries(): readonly LearntEntry[] {
    return [...this.#entries.values()];
  }

  /** Entry of the given boot of a server; undefined if nothing is known about it. */
  serverEntry({ id, bootedAt }: LearntAboutServer): LearntServer | undefined {
    const entry = this.#entries.get(keyOf({ kind: "server", id }));
    return entry?.kind === "server" && entry.bootedAt === bootedAt ? entry : undefined;
  }

  /** Replaces the entries by the present state. Returns true if something has changed. */
  update(durations: DurationModels, servers: Iterable<LearntAboutServer>, moment: Moment): boolean {
    const entries = new Map<string, LearntEntry>();
    const add = (entry: LearntEntry): void => {
      const known = this.#entries.get(keyOf(entry));
      entries.set(keyOf(entry), known !== undefined && isSame(known, entry) ? known : entry);
    };
    for (const [name, model] of durations.all())
      if (!model.empty) add(queueEntry(name, model, moment));
    for (const server of servers) {
      const entry = newServerEntry(server, moment);
      if (entry !== undefined) add(entry);
    }
    const former = this.#entries;
    const changed =
      entries.size !== former.size ||
      [...entries].some(([key, entry]) => former.get(key) !== entry);
    this.#entries = entries;
    return changed;
  }
}

/** Restores the model of a queue unless this scheduler has already recorded durations in it. */
export function restoreQueue(entry: LearntQueue, durations: DurationModels): void {
  const model = durations.forQueue(entry.name);
  if (!model.empty || !model.restore(entry.model)) return;
  model.tail.restore(entry.tail);
  model.siblingTail.restore(entry.siblingTail);
}

/** Restores speed, health and trust in the lease of a server that has the boot of the entry. */
export function restoreServer(
  { bootedAt, ratio, failures, quarantinedUntil, leaseAsGranted }: LearntServer,
  server: LearntAboutServer,
  { now, wallTime }: Moment,
): void {
  if (server.bootedAt !== bootedAt) return;
  if (leaseAsGranted) server.trustLease();
  // What this scheduler has measured itself is newer than the record.
  if (server.speed.ratio !== 1 || server.health.consecutiveFailures > 0) return;
  if (ratio !== 1) server.speed.restore(ratio, now);
  if (failures > 0) server.health.restoreProbation(failures, quarantinedUntil - wallTime, now);
}

function queueEntry(name: string, model: DurationModel, { wallTime }: Moment): LearntQueue {
  return {
    ...{ kind: "queue", name, changedAt: wallTime, model: model.toNumbers() },
    ...{ tail: model.tail.toNumbers(), siblingTail: model.siblingTail.toNumbers() },
  };
}

function newServerEntry(
  { id, bootedAt, speed, health, leaseAsGranted }: LearntAboutServer,
  { now, wallTime }: Moment,
): LearntServer | undefined {
  const rounded = Math.round(speed.ratio * 100) / 100;
  const ratio = Math.abs(rounded - 1) < MIN_SPEED_DEVIATION ? 1 : rounded;
  const failures = health.onProbation ? health.consecutiveFailures : 0;
  if (failures === 0 && ratio === 1 && !leaseAsGranted) return undefined;
  const left = health.quarantinedUntil - now;
  const quarantinedUntil = left > 0 ? Math.round(wallTime + left) : 0;
  return {
    ...{ kind: "server", id, bootedAt, changedAt: wallTime, ratio, failures },
    ...{ quarantinedUntil, leaseAsGranted },
  };
}

function isSame(a: LearntEntry, b: LearntEntry): boolean {
  return JSON.stringify({ ...a, changedAt: 0 }) === JSON.stringify({ ...b, changedAt: 0 });
}

function keyOf(entry: Pick<LearntQueue, "kind" | "name"> | Pick<LearntServer, "kind" | "id">) {
  return `${entry.kind}/${entry.kind === "queue" ? entry.name : entry.id}`;
}
