import PQueue from "p-queue";
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Clock } from "../ports/clock.ts";
import {
  KeyValueService,
  type KvDelete,
  type KvEntry,
  type KvError,
  type KvPut,
  type KvWatch,
  type KvWatchReply,
} from "../ports/key-value-service.ts";
import {
  keyPath,
  KvEntrySchema,
  KvErrorSchema,
  KvLeaseSchema,
  KvListSchema,
  KvWatchReplySchema,
  KvWrittenSchema,
} from "../protocol/key-value-http.ts";
import type { EventCounter } from "./frame-socket.ts";
import { HttpClient, type HttpCall, type HttpFailure } from "./http-client.ts";

/**
 * Limit for one entry instance. The call rate that the service supports grows more slowly than the
 * fleet, so no entry instance may use all of it.
 */
const MAX_CONCURRENT_CALLS = 8;
/** A queued call with less time left is not sent: it would time out with an unknown outcome. */
const MIN_REMAINING_MS = 50;
/** Watches use separate connections, so that they do not block other calls while they wait. */
const MAX_WATCHES = 64;

/** Options of {@link HttpKeyValueService}. */
export interface HttpKeyValueServiceOptions {
  readonly clock: Clock;
  /** Counts each call sent, as `kv_call_<kind>`. */
  readonly counter: EventCounter;
  /** Base URL, `http://IP:PORT`. */
  readonly url: string;
  /** Timeout of a call including its wait in the queue, in milliseconds. @default 1000 */
  readonly timeoutMs?: number;
}

type CallKind = "get" | "list" | "put" | "delete" | "watch" | "grant" | "renew" | "revoke";
type Call = Omit<HttpCall, "origin" | "timeoutMs">;
type KvResult<T> = Promise<Result<T, KvError>>;

/** HTTP client of the key-value service. */
export class HttpKeyValueService extends KeyValueService {
  readonly #options: Required<HttpKeyValueServiceOptions>;
  readonly #http: HttpClient;
  readonly #watchHttp: HttpClient;
  readonly #queue = new PQueue({ concurrency: MAX_CONCURRENT_CALLS });

  constructor({ timeoutMs = 1000, ...rest }: HttpKeyValueServiceOptions) {
    super();
    this.#options = { timeoutMs, ...rest };
    this.#http = new HttpClient({ clock: rest.clock, connections: MAX_CONCURRENT_CALLS });
    this.#watchHttp = new HttpClient({ clock: rest.clock, connections: MAX_WATCHES });
  }

  async get(key: string): KvResult<KvEntry | undefined> {
    const reply = await this.#read("get", { method: "GET", path: keyPath(key) }, KvEntrySchema);
    return reply.err && reply.val === "absent" ? Ok(undefined) : absentAsUnavailable(reply);
  }

  async list(prefix: string): KvResult<readonly KvEntry[]> {
    const path = `/v1/keys?prefix=${encodeURIComponent(prefix)}`;
    const reply = await this.#read("list", { method: "GET", path }, KvListSchema);
    return absentAsUnavailable(reply).map(({ entries }) => entries);
  }

  async put({ key, ...json }: KvPut): KvResult<number> {
    const call = { method: "PUT", path: keyPath(key), json } as const;
    const reply = await this.#write("put", call, KvWrittenSchema);
    return reply.map(({ revision }) => revision);
  }

  delete({ key, expectedRevision }: KvDelete): KvResult<void> {
    const path = `${keyPath(key)}?expectedRevision=${expectedRevision}`;
    return this.#write("delete", { method: "DELETE", path }, v.void());
  }

  async watch({ key, afterRevision, waitMs }: KvWatch): KvResult<KvWatchReply> {
    const query = `after=${afterRevision}&waitMs=${waitMs}`;
    const path = `/v1/watch/${encodeURIComponent(key)}?${query}`;
    const timeoutMs = waitMs + this.#options.timeoutMs;
    const sent = this.#send("watch", { method: "GET", path }, KvWatchReplySchema, timeoutMs);
    const reply = absentAsUnavailable(ambiguousAsUnavailable(await sent));
    return reply.map((watched) =>
      watched.changed ? { changed: true, entry: watched.entry ?? undefined } : watched,
    );
  }

  async grantLease(ttlMs: number): KvResult<string> {
    const call = { method: "POST", path: "/v1/leases", json: { ttlMs } } as const;
    return (await this.#write("grant", call, KvLeaseSchema)).map(({ leaseId }) => leaseId);
  }

  renewLease(leaseId: string): KvResult<void> {
    return this.#write("renew", { method: "PUT", path: leasePath(leaseId) }, v.void());
  }

  revokeLease(leaseId: string): KvResult<void> {
    return this.#write("revoke", { method: "DELETE", path: leasePath(leaseId) }, v.void());
  }

  /** Closes all connections. Pending calls fail. */
  async close(): Promise<void> {
    await Promise.all([this.#http.close(), this.#watchHttp.close()]);
  }

  async #write<T>(kind: CallKind, call: Call, schema: v.GenericSchema<unknown, T>): KvResult<T> {
    return absentAsUnavailable(await this.#sendQueued(kind, call, schema));
  }

  async #read<T>(
    kind: CallKind,
    call: Call,
    schema: v.GenericSchema<unknown, T>,
  ): Promise<Result<T, KvError | "absent">> {
    return ambiguousAsUnavailable(await this.#sendQueued(kind, call, schema));
  }

  #sendQueued<T>(
    kind: CallKind,
    call: Call,
    schema: v.GenericSchema<unknown, T>,
  ): Promise<Result<T, KvError | "absent">> {
    const deadline = this.#options.clock.now() + this.#options.timeoutMs;
    return this.#queue.add(async () => {
      const remainingMs = deadline - this.#options.clock.now();
      if (remainingMs >= MIN_REMAINING_MS) return this.#send(kind, call, schema, remainingMs);
      this.#options.counter.event("kv_queue_timeout");
      return Err({ kind: "unavailable", detail: "timed out in the queue behind earlier calls" });
    });
  }

  async #send<T>(
    kind: CallKind,
    call: Call,
    schema: v.GenericSchema<unknown, T>,
    timeoutMs: number,
  ): Promise<Result<T, KvError | "absent">> {
    this.#options.counter.event(`kv_call_${kind}`);
    const http = kind === "watch" ? this.#watchHttp : this.#http;
    const reply = await http.call({ ...call, origin: this.#options.url, timeoutMs });
    if (reply.err) return Err(errorFromFailure(reply.val));
    const { status, body } = reply.val;
    if (status >= 300) return Err(errorFromReply(status, body));
    const parsed = v.safeParse(schema, body);
    if (parsed.success) return Ok(parsed.output);
    return Err({ kind: "ambiguous", detail: `unexpected reply to ${kind}` });
  }
}

function leasePath(leaseId: string): string {
  return `/v1/leases/${encodeURIComponent(leaseId)}`;
}

function errorFromFailure({ kind, detail }: HttpFailure): KvError {
  return { kind: kind === "not-sent" ? "unavailable" : "ambiguous", detail };
}

function errorFromReply(status: number, body: unknown): KvError | "absent" {
  const parsed = v.safeParse(KvErrorSchema, body);
  // Only the service itself can state that nothing was written; other 5xx replies do not prove it.
  if (!parsed.success) return { kind: "ambiguous", detail: `reply with status ${status}` };
  const reply = parsed.output;
  switch (reply.error) {
    case "absent":
      return "absent";
    case "conflict":
      return { kind: "conflict", current: reply.current ?? undefined };
    case "lease-lapsed":
      return { kind: "lease-lapsed" };
    default:
      return { kind: "unavailable", detail: reply.detail };
  }
}

/** Maps `ambiguous` to `unavailable`: a read has no effect, so a lost reply is a plain failure. */
function ambiguousAsUnavailable<T>(
  result: Result<T, KvError | "absent">,
): Result<T, KvError | "absent"> {
  return result.mapErr((err) =>
    err !== "absent" && err.kind === "ambiguous"
      ? { kind: "unavailable", detail: err.detail }
      : err,
  );
}

/** Maps `absent` to `unavailable`, for calls where `absent` is not a valid reply. */
function absentAsUnavailable<T>(result: Result<T, KvError | "absent">): Result<T, KvError> {
  return result.mapErr((err) =>
    err === "absent" ? { kind: "unavailable", detail: "unknown path" } : err,
  );
}
