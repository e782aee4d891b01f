/** Typed JSON documents in the key-value service, changed by compare-and-swap. */
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService, KvEntry, KvError } from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import { fullJitterMs } from "./backoff.ts";
import type { Counters } from "./ports.ts";

const CONFLICT_BACKOFF = { baseMs: 10, maxMs: 500 };
const OUTAGE_BACKOFF = { baseMs: 50, maxMs: 5000 };
const DEFAULT_DEADLINE_MS = 4000;

/** Base of every stored document: a random id that is new for each write. */
export interface StoredDocument {
  readonly writeId: string;
}

/** Key and schema of a document. */
export interface DocumentKind<T extends StoredDocument> {
  readonly key: string;
  readonly schema: v.GenericSchema<unknown, T>;
}

/** A document with its revision in the key-value service. */
export interface Versioned<T> {
  readonly revision: number;
  readonly value: T;
}

/** Why a document could not be read or changed. */
export type DocumentError =
  /**
   * Outages or conflicts lasted until the deadline. This call wrote nothing, unless a write whose
   * reply was lost took effect and was then overwritten.
   */
  | { readonly kind: "unavailable"; readonly detail: string }
  /**
   * The outcome of a write is unknown. It may have taken effect, or may still do so while the
   * document remains at `expectedRevision`.
   */
  | { readonly kind: "ambiguous"; readonly expectedRevision: number; readonly detail: string }
  /** The stored value does not match the schema. */
  | { readonly kind: "malformed"; readonly detail: string };

/**
 * Computes the next value of a document with the given write id; undefined leaves the document
 * unchanged. Called again after a conflict or a lost reply, so the result must depend only on the
 * value passed in.
 */
export type Change<T> = (current: T | undefined, writeId: string) => T | undefined;

/** Result of an update, with the latest known document. */
export interface UpdateOutcome<T> {
  readonly written: boolean;
  readonly current: Versioned<T> | undefined;
}

/** Options of {@link DocumentStore.update}. */
export interface UpdateOptions<T> {
  /** Last known document, which makes the first read unnecessary. */
  readonly from?: Versioned<T> | undefined;
  /** Time in milliseconds after which no further attempt is made. @default 4000 */
  readonly deadlineMs?: number;
}

/** Options of {@link DocumentStore}. */
export interface DocumentStoreOptions {
  readonly kv: KeyValueService;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
}

type PutOutcome<T> =
  | { readonly kind: "written"; readonly current: Versioned<T> }
  | { readonly kind: "changed"; readonly current: Versioned<T> | undefined }
  | { readonly kind: "retry" }
  | { readonly kind: "failed"; readonly err: DocumentError };

/** Reads and updates documents. */
export class DocumentStore {
  readonly #kv: KeyValueService;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #counters: Counters;

  constructor({ kv, clock, random, counters }: DocumentStoreOptions) {
    this.#kv = kv;
    this.#clock = clock;
    this.#random = random;
    this.#counters = counters;
  }

  /** Reads the document without retries; undefined if it does not exist. */
  async read<T extends StoredDocument>(
    kind: DocumentKind<T>,
  ): Promise<Result<Versioned<T> | undefined, DocumentError>> {
    const reply = await this.#kv.get(kind.key);
    if (!reply.ok) return Err(unavailable(reply.val));
    return decodeDocument(kind, reply.val);
  }

  /**
   * Applies a change by compare-and-swap and retries after conflicts and lost replies until the
   * deadline. An update whose reply was lost and that was then overwritten appears as a conflict,
   * so the change is applied again, to the newer value.
   */
  async update<T extends StoredDocument>(
    kind: DocumentKind<T>,
    change: Change<T>,
    { from, deadlineMs = DEFAULT_DEADLINE_MS }: UpdateOptions<T> = {},
  ): Promise<Result<UpdateOutcome<T>, DocumentError>> {
    const end = this.#clock.now() + deadlineMs;
    let current = from;
    let known = from !== undefined;
    for (let retry = 0; ; retry++) {
      if (!known) {
        const read = await this.#readUntil(kind, end);
        if (!read.ok) return read;
        current = read.val;
        known = true;
      }
      const writeId = this.#random.hex(8);
      const next = change(current?.value, writeId);
      if (next === undefined) return Ok({ written: false, current });
      const outcome = await this.#put(kind, current?.revision ?? 0, { ...next, writeId }, end);
      if (outcome.kind === "written") return Ok({ written: true, current: outcome.current });
      if (outcome.kind === "failed") return Err(outcome.err);
      if (outcome.kind === "changed") current = outcome.current;
      this.#counters.retry(outcome.kind === "changed" ? "kv_conflict" : "kv_unavailable");
      if (!(await this.#pause(retry, CONFLICT_BACKOFF, end))) {
        return Err({
          kind: "unavailable",
          detail: `conflicts or outages prevented a write of ${kind.key} before the deadline`,
        });
      }
    }
  }

  /** Writes one value. Retries while the outcome is unknown, until the deadline. */
  async #put<T extends StoredDocument>(
    kind: DocumentKind<T>,
    expectedRevision: number,
    value: T,
    end: number,
  ): Promise<PutOutcome<T>> {
    const put = { key: kind.key, value: JSON.stringify(value), expectedRevision };
    let ambiguous = false;
    for (let retry = 0; ; retry++) {
      const reply = await this.#kv.put(put);
      if (reply.ok) return { kind: "written", current: { revision: reply.val, value } };
      const err = reply.val;
      if (err.kind === "conflict") return this.#afterConflict(kind, err.current, value);
      // Writes at the same expected revision take effect at most once in total, so an earlier write
      // that is still in flight cannot take effect after one of them was stored.
      if (err.kind === "ambiguous") {
        ambiguous = true;
        this.#counters.retry("kv_ambiguous");
      } else if (!ambiguous) {
        if (this.#clock.now() < end) return { kind: "retry" };
        return { kind: "failed", err: unavailable(err) };
      }
      if (!(await this.#pause(retry, OUTAGE_BACKOFF, end))) {
        const detail = `outcome of a write of ${kind.key} is unknown`;
        return { kind: "failed", err: { kind: "ambiguous", expectedRevision, detail } };
      }
    }
  }

  #afterConflict<T extends StoredDocument>(
    kind: DocumentKind<T>,
    entry: KvEntry | undefined,
    value: T,
  ): PutOutcome<T> {
    const decoded = decodeDocument(kind, entry);
    if (!decoded.ok) return { kind: "failed", err: decoded.val };
    const current = decoded.val;
    if (current?.value.writeId === value.writeId) return { kind: "written", current };
    return { kind: "changed", current };
  }

  async #readUntil<T extends StoredDocument>(
    kind: DocumentKind<T>,
    end: number,
  ): Promise<Result<Versioned<T> | undefined, DocumentError>> {
    for (let retry = 0; ; retry++) {
      const read = await this.read(kind);
      if (read.ok || read.val.kind === "malformed") return read;
      this.#counters.retry("kv_unavailable");
      if (!(await this.#pause(retry, OUTAGE_BACKOFF, end))) return read;
    }
  }

  /** Waits before a retry. Returns false, without waiting, if the deadline would pass first. */
  async #pause(
    retry: number,
    limits: { readonly baseMs: number; readonly maxMs: number },
    end: number,
  ): Promise<boolean> {
    const delay = fullJitterMs(this.#random, retry, limits);
    if (this.#clock.now() + delay >= end) return false;
    await this.#clock.sleep(delay);
    return true;
  }
}

/** Parses a stored entry. */
export function decodeDocument<T extends StoredDocument>(
  kind: DocumentKind<T>,
  entry: KvEntry | undefined,
): Result<Versioned<T> | undefined, DocumentError> {
  if (entry === undefined) return Ok(undefined);
  let json: unknown;
  try {
    json = JSON.parse(entry.value);
  } catch {
    return Err({ kind: "malformed", detail: `${kind.key} is not valid JSON` });
  }
  const parsed = v.safeParse(kind.schema, json);
  if (parsed.success) return Ok({ revision: entry.revision, value: parsed.output });
  const path = v.getDotPath(parsed.issues[0]) ?? "document";
  return Err({ kind: "malformed", detail: `${kind.key}: ${path}: ${parsed.issues[0].message}` });
}

function unavailable(err: KvError): DocumentError {
  const detail = "detail" in err ? err.detail : err.kind;
  return { kind: "unavailable", detail };
}
