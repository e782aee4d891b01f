import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService, KvEntry, KvError } from "../ports/key-value-service.ts";
import { CONFIG_KEY, type ConfigDocument } from "../protocol/config-document.ts";
import { parseConfigDocument } from "./config-follower.ts";

const HISTORY_PREFIX = "config-history/";
const HISTORY_LIMIT = 50;
const WRITE_ATTEMPTS = 5;
/** Attempts of reads and of writes to the history, which are idempotent. */
const IDEMPOTENT_ATTEMPTS = 4;
const RETRY_DELAY_MS = 200;

/** A configuration with its revision in the key-value service. */
export interface StoredConfig {
  readonly document: ConfigDocument;
  readonly kvRevision: number;
}

/** Why the stored configuration could not be read or written. */
export type ConfigStoreError =
  /** Another write was stored first; nothing was written. */
  | { readonly kind: "raced" }
  /** Nothing was read or written. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /**
   * The outcome of the write is unknown: it may have taken effect, or may do so later. The
   * `writeId` of the stored document shows which.
   */
  | { readonly kind: "unknown"; readonly writeId: string; readonly detail: string }
  | { readonly kind: "malformed"; readonly detail: string };

/** Options of {@link ConfigStore}. */
export interface ConfigStoreOptions {
  readonly clock: Clock;
  readonly keyValue: KeyValueService;
}

/** Reads and writes the configuration document and its history. */
export class ConfigStore {
  readonly #clock: Clock;
  readonly #keyValue: KeyValueService;

  constructor({ clock, keyValue }: ConfigStoreOptions) {
    this.#clock = clock;
    this.#keyValue = keyValue;
  }

  /** Returns undefined if no configuration was stored yet. */
  async read(): Promise<Result<StoredConfig | undefined, ConfigStoreError>> {
    const read = await this.#retryIdempotent(() => this.#keyValue.get(CONFIG_KEY));
    if (read.err) return Err({ kind: "unavailable", detail: describeError(read.val) });
    if (read.val === undefined) return Ok(undefined);
    const document = parseConfigDocument(read.val.value);
    if (document.err) return Err({ kind: "malformed", detail: document.val });
    return Ok({ document: document.val, kvRevision: read.val.revision });
  }

  /** Superseded configurations, newest first. */
  async readHistory(): Promise<Result<readonly ConfigDocument[], ConfigStoreError>> {
    const listed = await this.#retryIdempotent(() => this.#keyValue.list(HISTORY_PREFIX));
    if (listed.err) return Err({ kind: "unavailable", detail: describeError(listed.val) });
    const documents = listed.val.flatMap((entry) => {
      const parsed = parseConfigDocument(entry.value);
      return parsed.ok ? [parsed.val] : [];
    });
    return Ok([...documents].sort((a, b) => b.revision - a.revision));
  }

  /** Reads one superseded configuration; undefined if it is no longer in the history. */
  async readSuperseded(
    revision: number,
  ): Promise<Result<ConfigDocument | undefined, ConfigStoreError>> {
    const read = await this.#retryIdempotent(() => this.#keyValue.get(historyKey(revision)));
    if (read.err) return Err({ kind: "unavailable", detail: describeError(read.val) });
    const parsed = read.val === undefined ? undefined : parseConfigDocument(read.val.value);
    return Ok(parsed?.ok === true ? parsed.val : undefined);
  }

  /**
   * Replaces `base`, which was read before, with the next configuration. `base` is added to the
   * history before the write, so that the history contains every superseded revision. A writer
   * whose reply was lost relies on this to find out whether its write took effect.
   */
  async write(
    base: StoredConfig | undefined,
    next: ConfigDocument,
  ): Promise<Result<void, ConfigStoreError>> {
    if (base !== undefined) {
      const kept = await this.#addToHistory(base.document);
      if (kept.err) return kept;
    }
    return this.#put(base?.kvRevision ?? 0, next);
  }

  /**
   * Deletes all but the newest `HISTORY_LIMIT` entries of the history. Entries that remain after a
   * failure are deleted by the next writer.
   */
  async pruneHistory(): Promise<void> {
    const listed = await this.#keyValue.list(HISTORY_PREFIX);
    if (listed.err) return;
    const old = [...listed.val].sort((a, b) => revisionOf(b) - revisionOf(a)).slice(HISTORY_LIMIT);
    for (const entry of old) {
      await this.#keyValue.delete({ key: entry.key, expectedRevision: entry.revision });
    }
  }

  async #retryIdempotent<T>(call: () => Promise<Result<T, KvError>>): Promise<Result<T, KvError>> {
    for (let attempt = 1; ; attempt++) {
      const reply = await call();
      if (reply.ok || reply.val.kind === "conflict" || attempt === IDEMPOTENT_ATTEMPTS)
        return reply;
      await this.#clock.sleep(RETRY_DELAY_MS * attempt);
    }
  }

  async #addToHistory(document: ConfigDocument): Promise<Result<void, ConfigStoreError>> {
    const key = historyKey(document.revision);
    const value = JSON.stringify(document);
    const put = { key, value, expectedRevision: 0 };
    const kept = await this.#retryIdempotent(() => this.#keyValue.put(put));
    // A conflict means that the revision is already stored; its content never differs.
    if (kept.ok || kept.val.kind === "conflict") return Ok(undefined);
    return Err({ kind: "unavailable", detail: `history: ${describeError(kept.val)}` });
  }

  /**
   * Retries the same compare-and-swap until its outcome is certain, at most `WRITE_ATTEMPTS` times.
   * Retries are safe, because at most one attempt can match the expected revision.
   */
  async #put(
    expectedRevision: number,
    next: ConfigDocument,
  ): Promise<Result<void, ConfigStoreError>> {
    const value = JSON.stringify(next);
    let ambiguous = false;
    let detail = "";
    for (let attempt = 1; attempt <= WRITE_ATTEMPTS; attempt++) {
      const put = await this.#keyValue.put({ key: CONFIG_KEY, value, expectedRevision });
      if (put.ok) return Ok(undefined);
      if (put.val.kind === "conflict")
        return this.#resolveConflict(next, put.val.current, ambiguous);
      ambiguous ||= put.val.kind === "ambiguous";
      detail = describeError(put.val);
      await this.#clock.sleep(RETRY_DELAY_MS * attempt);
    }
    if (!ambiguous) return Err({ kind: "unavailable", detail });
    return Err({ kind: "unknown", writeId: next.writeId, detail });
  }

  /** Determines whether the conflict was caused by an earlier attempt of this same write. */
  async #resolveConflict(
    next: ConfigDocument,
    current: KvEntry | undefined,
    ambiguous: boolean,
  ): Promise<Result<void, ConfigStoreError>> {
    if (!ambiguous) return Err({ kind: "raced" });
    const document = current === undefined ? undefined : parseConfigDocument(current.value);
    if (document?.ok === true && document.val.writeId === next.writeId) return Ok(undefined);
    const kept = await this.readSuperseded(next.revision);
    if (kept.err)
      return Err({ kind: "unknown", writeId: next.writeId, detail: "history could not be read" });
    return kept.val?.writeId === next.writeId ? Ok(undefined) : Err({ kind: "raced" });
  }
}

function historyKey(revision: number): string {
  return `${HISTORY_PREFIX}${revision}`;
}

function revisionOf(entry: KvEntry): number {
  return Number(entry.key.slice(HISTORY_PREFIX.length));
}

function describeError(err: { readonly kind: string; readonly detail?: string }): string {
  return err.detail === undefined ? err.kind : `${err.kind}: ${err.detail}`;
}
