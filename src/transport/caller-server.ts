import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import polka, { type Request } from "polka";
import type { Clock } from "../ports/clock.ts";
import type { Log } from "../ports/log.ts";
import type { CallerReply, Counters, RequestService } from "../coordination/ports.ts";
import type { RanState, Refusal, RefusalReason } from "../protocol/refusal.ts";
import { parseRequestLookup, parseSubmitHeaders, type SubmitHeaders } from "./caller-request.ts";
import { closeGracefully } from "./graceful-close.ts";
import { rawProblemResponse, writeProblem } from "./problem-response.ts";
import { BodyReader } from "./request-body.ts";

const MAX_BODY_BYTES = 256 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
const RECEIVE_TIMEOUT_MS = 10_000;
/** Interval at which Node.js checks for timed-out requests; its default is 30 s. */
const TIMEOUT_CHECK_MS = 500;
/** An entry instance has about 128 MB of memory in total. */
const MAX_BUFFERED_BODY_BYTES = 32 * 1024 * 1024;
const RETRY_AFTER_MS = 1000;

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly requests: RequestService;
  /** Time limit for receiving a whole request, in milliseconds. @default 10000 */
  readonly receiveTimeoutMs?: number;
  /** Limit in bytes for all request bodies buffered at once. @default 33554432 */
  readonly maxBufferedBodyBytes?: number;
}

/** HTTP server for callers, see section 10.1 of docs/design.md. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #bodies: BodyReader;
  readonly #server: Server;
  #closing = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    const { clock, receiveTimeoutMs = RECEIVE_TIMEOUT_MS, maxBufferedBodyBytes } = options;
    this.#bodies = new BodyReader({
      clock,
      maxBytes: MAX_BODY_BYTES,
      timeoutMs: receiveTimeoutMs,
      maxBufferedBytes: maxBufferedBodyBytes ?? MAX_BUFFERED_BODY_BYTES,
    });
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: receiveTimeoutMs,
      // Fallback: BodyReader times out earlier, and its refusal can use the request headers.
      requestTimeout: receiveTimeoutMs * 2,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    });
    this.#server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => {
      this.#onClientError(err, socket);
    });
    this.#route();
  }

  /** Listens on an address and returns the port. Port 0 selects a free port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops accepting connections and resolves once all open requests have their response. */
  async close(): Promise<void> {
    this.#closing = true;
    await closeGracefully(this.#server);
  }

  #route(): void {
    const { requests } = this.#options;
    const app = polka({
      server: this.#server,
      onNoMatch: (req, res) => {
        const detail = `There is no ${req.method ?? ""} on this path.`;
        this.#sendRefusal(res, {
          reason: "unsupported",
          detail,
          ran: ranStateBeforeSubmission(req),
        });
      },
      onError: (err, _req, res) => {
        this.#sendInternalError(err, res);
      },
    });
    app.post("/v1/queues/:queue/requests", this.#withErrorHandling(this.#submit.bind(this)));
    app.get("/v1/requests/:id", this.#withErrorHandling(this.#query.bind(this)));
    app.delete("/v1/requests/:id", this.#withErrorHandling(this.#cancel.bind(this)));
    app.post("/v1/request-ids", (_req, res) => {
      writeJson(res, 201, { request_id: requests.issueId() });
    });
    this.#server.on("request", (req: IncomingMessage, res: ServerResponse) => {
      if (this.#closing) res.setHeader("Connection", "close");
      // Without this, a connection whose response is sent during shutdown would stay open until its
      // idle timeout.
      res.once("close", () => {
        if (this.#closing) this.#server.closeIdleConnections();
      });
      app.handler(req as Request, res);
    });
  }

  /** Responds to an unexpected error with a refusal instead of leaving the connection open. */
  #withErrorHandling(handle: (req: Request, res: ServerResponse) => Promise<void>) {
    return (req: unknown, res: ServerResponse): void => {
      handle(req as Request, res).catch((err: unknown) => {
        this.#sendInternalError(err, res);
      });
    };
  }

  async #submit(req: Request, res: ServerResponse): Promise<void> {
    const queue = decodePathParameter(req.params.queue);
    const headers = parseSubmitHeaders(req.headers);
    if (queue === undefined || "problem" in headers) {
      const detail = "problem" in headers ? headers.problem : "The queue name is not valid.";
      this.#sendRefusal(res, { reason: "malformed", detail, ran: ranStateBeforeSubmission(req) });
      return;
    }
    const body = await this.#bodies.read(req);
    if (body.err) {
      if (body.val !== "gone") this.#sendBodyRefusal(req, res, body.val);
      return;
    }
    await this.#callService(queue, headers.value, body.val, res);
    this.#bodies.release(body.val);
  }

  async #callService(
    queue: string,
    headers: SubmitHeaders,
    body: Uint8Array,
    res: ServerResponse,
  ): Promise<void> {
    const { contentType, async: respondAsync, ...fields } = headers;
    const mode = respondAsync ? "async" : "sync";
    const payload = { contentType, body };
    writeReply(res, await this.#options.requests.submit({ ...fields, queue, payload }, mode));
  }

  async #query(req: Request, res: ServerResponse): Promise<void> {
    const lookup = this.#parseLookup(req, res, req.query.wait_ms);
    if (lookup === undefined) return;
    const { id, key, waitMs } = lookup;
    writeReply(res, await this.#options.requests.query(id, key, waitMs));
  }

  async #cancel(req: Request, res: ServerResponse): Promise<void> {
    const lookup = this.#parseLookup(req, res, undefined);
    if (lookup === undefined) return;
    const reply = await this.#options.requests.cancel(lookup.id, lookup.key);
    const cancelled = reply.kind === "refusal" && reply.refusal.reason === "cancelled";
    if (!cancelled) {
      writeReply(res, reply);
      return;
    }
    const { ran } = reply.refusal;
    writeJson(res, 200, { request_id: lookup.id, state: "cancelled", ran });
  }

  #parseLookup(
    req: Request,
    res: ServerResponse,
    waitMs: unknown,
  ):
    { readonly id: string; readonly key: string | undefined; readonly waitMs: number } | undefined {
    const id = decodePathParameter(req.params.id);
    const lookup = parseRequestLookup(req.headers.authorization, waitMs);
    if (id !== undefined && "value" in lookup) return { id, ...lookup.value };
    const detail = "problem" in lookup ? lookup.problem : "The id is not valid.";
    this.#sendRefusal(res, { reason: "malformed", detail, ran: "unknown" });
    return undefined;
  }

  #sendBodyRefusal(
    req: IncomingMessage,
    res: ServerResponse,
    reason: Extract<RefusalReason, "too_large" | "slow_request" | "overload">,
  ): void {
    const details = {
      too_large: `The body exceeds ${MAX_BODY_BYTES} bytes.`,
      slow_request: "The request was not received in time.",
      overload: "Too many request bodies are being held.",
    };
    const refusal = { reason, detail: details[reason], ran: ranStateBeforeSubmission(req) };
    const retry = reason === "overload" ? { retryAfterMs: RETRY_AFTER_MS } : {};
    this.#sendRefusal(res, { ...refusal, ...retry }, reason === "slow_request");
  }

  /** Counts and sends a refusal by this server itself, without the request service. */
  #sendRefusal(res: ServerResponse, refusal: Refusal, close = false): void {
    this.#options.counters.refusal(refusal.reason);
    writeProblem(res, refusal, close);
  }

  #sendInternalError(err: unknown, res: ServerResponse): void {
    this.#options.log.error({ err }, "request handler failed");
    const detail = "The entry instance failed while it handled the request.";
    this.#sendRefusal(res, { reason: "internal", detail, ran: "unknown" }, true);
  }

  /** Refuses an unparsable request, with `ran` unknown: it may have had an idempotency key. */
  #onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const [reason, status] = clientErrorReason(err.code);
    this.#options.counters.refusal(reason);
    const detail = "The request could not be read.";
    socket.end(rawProblemResponse({ reason, detail, ran: "unknown" }, status));
  }
}

function clientErrorReason(code: string | undefined): [RefusalReason, number | undefined] {
  if (code === "HPE_HEADER_OVERFLOW") return ["too_large", 431];
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return ["slow_request", undefined];
  return ["malformed", undefined];
}

/**
 * Whether a request that is refused before its owner was asked may already have run. With an
 * idempotency key, it may repeat an earlier request.
 */
function ranStateBeforeSubmission(req: IncomingMessage): RanState {
  return req.headers["idempotency-key"] === undefined ? "no" : "unknown";
}

function decodePathParameter(text: string | undefined): string | undefined {
  try {
    return text === undefined ? undefined : decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

function writeReply(res: ServerResponse, reply: CallerReply): void {
  if (reply.kind === "refusal") {
    writeProblem(res, reply.refusal);
    return;
  }
  res.setHeader("Request-Id", reply.requestId);
  if (reply.kind === "answer") {
    setContentType(res, reply.payload.contentType);
    res.end(reply.payload.body);
    return;
  }
  res.setHeader("Location", `/v1/requests/${encodeURIComponent(reply.requestId)}`);
  writeJson(res, 202, { request_id: reply.requestId, state: "pending" });
}

/** Falls back to the default type, so that an invalid content type does not lose the response. */
function setContentType(res: ServerResponse, contentType: string): void {
  try {
    res.setHeader("Content-Type", contentType);
  } catch {
    res.setHeader("Content-Type", "application/octet-stream");
  }
}

function writeJson(res: ServerResponse, status: number, value: unknown): void {
  res.statusCode = status;
  res.setHeader("Content-Type", "application/json");
  res.end(JSON.stringify(value));
}
