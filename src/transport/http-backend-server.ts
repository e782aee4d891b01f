import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import {
  BackendConnector,
  BackendServer,
  type BackendError,
  type BackendEvents,
  type BackendResult,
  type LeaseGrant,
  type LeaseRenewal,
  type TaskRecord,
  type TaskRef,
  type TaskSpec,
} from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import {
  BackendErrorSchema,
  EventsSchema,
  toBackendEvents,
  LeaseGrantSchema,
  toTaskRecord,
  RenewalSchema,
  toStartBody,
  TaskListSchema,
} from "../protocol/backend-http.ts";
import { HttpClient, type HttpCall, type HttpFailure } from "./http-client.ts";

/** Limit of connections that a backend server accepts. */
const MAX_CONNECTIONS = 64;

/** Options of {@link HttpBackendConnector}. */
export interface HttpBackendConnectorOptions {
  readonly clock: Clock;
  /**
   * Timeout of a call in milliseconds. A poll for events adds its own wait time to it.
   * @default 1000
   */
  readonly timeoutMs?: number;
}

/** Creates clients of backend servers, which share one HTTP client. */
export class HttpBackendConnector extends BackendConnector {
  readonly #http: HttpClient;
  readonly #timeoutMs: number;

  constructor({ clock, timeoutMs = 1000 }: HttpBackendConnectorOptions) {
    super();
    this.#http = new HttpClient({ clock, connections: MAX_CONNECTIONS });
    this.#timeoutMs = timeoutMs;
  }

  connect(address: string): BackendServer {
    return new HttpBackendServer(this.#http, address, this.#timeoutMs);
  }

  /** Closes all connections. Pending calls fail. */
  close(): Promise<void> {
    return this.#http.close();
  }
}

type Call = Omit<HttpCall, "origin" | "timeoutMs">;

class HttpBackendServer extends BackendServer {
  readonly #http: HttpClient;
  readonly #origin: string;
  readonly #timeoutMs: number;

  constructor(http: HttpClient, origin: string, timeoutMs: number) {
    super();
    this.#http = http;
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
  }

  acquireLease(holder: string, ttlMs: number): BackendResult<LeaseGrant> {
    const json = { holder, ttlMs };
    return this.#send({ method: "POST", path: "/lease", json }, LeaseGrantSchema);
  }

  renewLease(leaseId: string, ttlMs: number): BackendResult<LeaseRenewal> {
    const call = { method: "PUT", path: leasePath(leaseId), json: { ttlMs } } as const;
    return this.#send(call, RenewalSchema);
  }

  releaseLease(leaseId: string, successor?: string): BackendResult<void> {
    const json = { successor };
    return this.#send({ method: "DELETE", path: leasePath(leaseId), json }, v.void());
  }

  startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    const json = toStartBody(leaseId, spec);
    return this.#send({ method: "POST", path: "/tasks", json }, v.void());
  }

  async listTasks(leaseId: string): BackendResult<readonly TaskRecord[]> {
    const path = `/tasks?leaseId=${encodeURIComponent(leaseId)}`;
    const reply = await this.#send({ method: "GET", path }, TaskListSchema);
    return reply.map(({ tasks }) => tasks.map(toTaskRecord));
  }

  async pollEvents(leaseId: string, after: number, waitMs: number): BackendResult<BackendEvents> {
    const query = `leaseId=${encodeURIComponent(leaseId)}&after=${after}&waitMs=${waitMs}`;
    const call = { method: "GET", path: `/events?${query}` } as const;
    return (await this.#send(call, EventsSchema, waitMs)).map(toBackendEvents);
  }

  stopTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.#taskAction("stop", leaseId, ref);
  }

  checkpointTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.#taskAction("checkpoint", leaseId, ref);
  }

  acknowledgeTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.#taskAction("ack", leaseId, ref);
  }

  reboot(leaseId: string): BackendResult<void> {
    return this.#send({ method: "POST", path: "/reboot", json: { leaseId } }, v.void());
  }

  #taskAction(
    action: "stop" | "checkpoint" | "ack",
    leaseId: string,
    { requestId, attempt }: TaskRef,
  ): BackendResult<void> {
    const path = `/tasks/${encodeURIComponent(requestId)}/${attempt}/${action}`;
    return this.#send({ method: "POST", path, json: { leaseId } }, v.void());
  }

  async #send<T>(
    call: Call,
    schema: v.GenericSchema<unknown, T>,
    waitMs = 0,
  ): Promise<Result<T, BackendError>> {
    const timeoutMs = this.#timeoutMs + waitMs;
    const reply = await this.#http.call({ ...call, origin: this.#origin, timeoutMs });
    if (reply.err) return Err(errorFromFailure(reply.val));
    const { status, body } = reply.val;
    if (status >= 300) return Err(errorFromReply(status, body));
    const parsed = v.safeParse(schema, body);
    if (parsed.success) return Ok(parsed.output);
    return Err({ kind: "ambiguous", detail: `unexpected reply to ${call.method} ${call.path}` });
  }
}

function leasePath(leaseId: string): string {
  return `/lease/${encodeURIComponent(leaseId)}`;
}

function errorFromFailure({ kind, detail }: HttpFailure): BackendError {
  return { kind: kind === "not-sent" ? "unreachable" : "ambiguous", detail };
}

function errorFromReply(status: number, body: unknown): BackendError {
  const parsed = v.safeParse(BackendErrorSchema, body);
  // Only the server itself can state that the call had no effect. A reply in another format, such
  // as one from a proxy, does not prove it.
  if (!parsed.success) return { kind: "ambiguous", detail: `reply with status ${status}` };
  const reply = parsed.output;
  switch (reply.error) {
    case "held":
      return { kind: "held", holder: reply.holder };
    case "rejected":
      return { kind: "rejected", detail: reply.detail };
    case "unavailable":
      return { kind: "unreachable", detail: reply.detail };
    default:
      return { kind: reply.error };
  }
}
