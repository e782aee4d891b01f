import * as v from "valibot";
import type { KvEntry } from "../ports/key-value-service.ts";
import type { Log } from "../ports/log.ts";
import { FleetDocumentSchema, fleetKey, type FleetDocument } from "../protocol/fleet-document.ts";
import { KeyWatcher, type KeyWatcherOptions } from "./key-watcher.ts";
import { FleetView, type Unsubscribe } from "./ports.ts";

/**
 * Longest wait of one watch. A change ends it at once, and the age of the last confirmation has no
 * limit: a caller that needs a newer confirmation calls `refresh`.
 */
const FLEET_WATCH_MS = 5000;

/** Options of {@link FleetFollower}. */
export interface FleetFollowerOptions extends Omit<KeyWatcherOptions, "key" | "listener"> {
  readonly log: Log;
  /** Pool group of the fleet document. */
  readonly group: string;
}

/** Follows the fleet document of one pool group. */
export class FleetFollower extends FleetView {
  readonly #options: FleetFollowerOptions;
  readonly #watcher: KeyWatcher;
  readonly #listeners = new Set<(fleet: FleetDocument) => void>();
  #current: FleetDocument | undefined;
  #confirmedAt = -Infinity;
  #refreshing: Promise<void> | undefined;

  constructor(options: FleetFollowerOptions) {
    super();
    this.#options = options;
    this.#watcher = new KeyWatcher({
      watchMs: FLEET_WATCH_MS,
      ...options,
      key: fleetKey(options.group),
      listener: {
        onRead: (entry, sentAt) => {
          this.#handleEntry(entry, sentAt);
        },
        onConfirmed: (sentAt) => {
          this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
        },
      },
    });
  }

  start(): void {
    this.#watcher.start();
  }

  stop(): void {
    this.#watcher.stop();
  }

  current(): FleetDocument | undefined {
    return this.#current;
  }

  confirmedAt(): number {
    return this.#confirmedAt;
  }

  refresh(): Promise<void> {
    this.#refreshing ??= this.#get().finally(() => {
      this.#refreshing = undefined;
    });
    return this.#refreshing;
  }

  onChange(listener: (fleet: FleetDocument) => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  async #get(): Promise<void> {
    const { clock, keyValue, group } = this.#options;
    const sentAt = clock.now();
    const reply = await keyValue.get(fleetKey(group));
    if (reply.ok) this.#handleEntry(reply.val, sentAt);
  }

  #handleEntry(entry: KvEntry | undefined, sentAt: number): void {
    if (entry !== undefined) this.#adopt(entry);
    // Not confirmed if the new document is malformed and the previous one stays in use, or if a
    // late reply shows an older document.
    if (entry?.revision === this.#current?.revision)
      this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
  }

  #adopt(entry: KvEntry): void {
    // Replies may arrive out of order. An older document must not restore an earlier pool or state.
    if (entry.revision <= (this.#current?.revision ?? 0)) return;
    const fleet = parseFleetDocument(entry);
    if (fleet === undefined) {
      this.#options.counters.event("fleet_malformed");
      this.#options.log.error({ group: this.#options.group }, "stored fleet document is malformed");
      return;
    }
    this.#current = fleet;
    for (const listener of this.#listeners) listener(fleet);
  }
}

/** Parses a stored fleet document; undefined if it is malformed. */
export function parseFleetDocument(entry: KvEntry): FleetDocument | undefined {
  let json: unknown;
  try {
    json = JSON.parse(entry.value);
  } catch {
    return undefined;
  }
  const parsed = v.safeParse(FleetDocumentSchema, json);
  return parsed.success ? { ...parsed.output, revision: entry.revision } : undefined;
}
