import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Log } from "../ports/log.ts";
import {
  CONFIG_KEY,
  ConfigDocumentSchema,
  type ConfigDocument,
} from "../protocol/config-document.ts";
import { KeyIndex } from "../state/api-keys.ts";
import { KeyWatcher, type KeyWatcherOptions } from "./key-watcher.ts";
import { ConfigView, type PeerState, type Unsubscribe } from "./ports.ts";

/** State of the other entries, from which a platform-wide outage is detected. */
export abstract class OutageView {
  /** Availability zones of the active members; undefined until the homes document was read. */
  abstract zones(): ReadonlySet<string> | undefined;
  /**
   * Peers with their last gossip. `requestedAt` must not be later than the time at which the peer
   * produced the gossip, so that the age of the gossip is never understated.
   */
  abstract peers(): Iterable<PeerState>;
}

/** Options of {@link ConfigFollower}. */
export interface ConfigFollowerOptions extends Omit<KeyWatcherOptions, "key" | "listener"> {
  readonly log: Log;
  /** Availability zone of this entry. */
  readonly zone: string;
  readonly outage: OutageView;
  /**
   * Maximum age in milliseconds of the last confirmation. Above it, requests with API keys are
   * refused, except in a platform-wide outage. @default 4000
   */
  readonly keyFreshnessMs?: number;
}

/** Follows the configuration from the platform and from peers. Adopts only higher revisions. */
export class ConfigFollower extends ConfigView {
  readonly #options: ConfigFollowerOptions & { readonly keyFreshnessMs: number };
  readonly #watcher: KeyWatcher;
  readonly #listeners = new Set<(config: ConfigDocument) => void>();
  #current: ConfigDocument | undefined;
  #text: string | undefined;
  #keys: KeyIndex | undefined;
  /** Monotonic time at which the current revision was last known to be the newest. */
  #confirmedAt = -Infinity;
  /** Revision of the last configuration read from the platform; 0 if it was not usable. */
  #platformRevision = 0;

  constructor({ keyFreshnessMs = 4000, ...rest }: ConfigFollowerOptions) {
    super();
    this.#options = { keyFreshnessMs, ...rest };
    this.#watcher = new KeyWatcher({
      ...this.#options,
      maxAgeMs: keyFreshnessMs,
      key: CONFIG_KEY,
      listener: {
        onRead: (entry, sentAt) => {
          const usable = entry !== undefined && this.#adoptIfNewer(entry.value, sentAt);
          this.#platformRevision = usable ? (this.#current?.revision ?? 0) : 0;
        },
        onConfirmed: (sentAt) => {
          // A peer may have supplied a higher revision, which this reply does not confirm.
          if (this.#platformRevision === this.#current?.revision) this.#confirm(sentAt);
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

  current(): ConfigDocument | undefined {
    return this.#current;
  }

  /** Stored text of the adopted document, for peers that request it. */
  documentText(): string | undefined {
    return this.#text;
  }

  ageMs(): number {
    return this.#options.clock.now() - this.#confirmedAt;
  }

  platformReachable(): boolean {
    return this.#watcher.isPlatformReachable();
  }

  /**
   * Processes a document from a peer. `ageMs` is the age of the peer's confirmation: the age stated
   * in its gossip plus the time since that gossip was requested, or `Infinity` for none. Returns
   * false if the document is malformed, older than the adopted one, or another document with the
   * same revision.
   */
  adopt(documentText: string, ageMs: number): boolean {
    return this.#adoptIfNewer(documentText, this.#options.clock.now() - ageMs);
  }

  /** Processes a peer's confirmation of a revision; `ageMs` as in {@link ConfigFollower.adopt}. */
  confirm(revision: number, ageMs: number): void {
    if (revision !== this.#current?.revision) return;
    this.#confirm(this.#options.clock.now() - ageMs);
  }

  keyedWorkAllowed(): boolean {
    if (this.#current === undefined) return false;
    return this.ageMs() <= this.#options.keyFreshnessMs || this.platformWideOutage();
  }

  teamOfKey(key: string): string | undefined {
    return this.#keys?.teamOf(key);
  }

  onChange(listener: (config: ConfigDocument) => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Adopts the document if its revision is higher. Returns true if it is now the adopted one. */
  #adoptIfNewer(text: string, confirmedAt: number): boolean {
    const parsed = parseConfigDocument(text);
    const { counters, log } = this.#options;
    if (parsed.err) {
      counters.event("config_malformed");
      log.error({ detail: parsed.val }, "stored configuration is malformed");
      return false;
    }
    const offered = parsed.val;
    const revision = this.#current?.revision ?? 0;
    if (offered.revision < revision) {
      counters.event("config_revision_back");
      log.warn(
        { revision, offered: offered.revision },
        "ignored a configuration with a lower revision",
      );
      return false;
    }
    if (offered.revision === revision) {
      if (offered.writeId !== this.#current?.writeId) {
        counters.event("config_revision_clash");
        log.error({ revision }, "a different configuration has the same revision");
        return false;
      }
      this.#confirm(confirmedAt);
      return true;
    }
    this.#adopt(offered, text, confirmedAt);
    return true;
  }

  #adopt(config: ConfigDocument, text: string, confirmedAt: number): void {
    this.#current = config;
    this.#text = text;
    this.#keys = new KeyIndex(config);
    // Confirmations of the previous revision do not apply to this one.
    this.#confirmedAt = confirmedAt;
    this.#options.counters.event("config_adopted");
    this.#options.log.info({ revision: config.revision }, "adopted configuration");
    for (const listener of this.#listeners) listener(config);
  }

  #confirm(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  platformWideOutage(): boolean {
    const { outage, clock, keyFreshnessMs, zone } = this.#options;
    const zones = outage.zones();
    if (zones === undefined || zones.size === 0 || this.#watcher.isPlatformReachable())
      return false;
    const since = clock.now() - keyFreshnessMs;
    // Gossip without a known time does not count as contact.
    const inContact = [...outage.peers()].filter(
      ({ requestedAt }) => Number.isFinite(requestedAt) && requestedAt >= since,
    );
    if (inContact.some((peer) => peer.message.platformReachable)) return false;
    const reachedZones = new Set([zone, ...inContact.map((peer) => peer.hello.zone)]);
    return [...zones].every((member) => reachedZones.has(member));
  }
}

/** Parses a stored configuration document. The error names the path of the invalid value. */
export function parseConfigDocument(text: string): Result<ConfigDocument, string> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return Err("not JSON");
  }
  const parsed = v.safeParse(ConfigDocumentSchema, json);
  if (parsed.success) return Ok(parsed.output);
  const issue = parsed.issues[0];
  return Err(`${v.getDotPath(issue) ?? "document"}: ${issue.message}`);
}
