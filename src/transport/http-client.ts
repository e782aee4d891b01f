import { Err, Ok, type Result } from "ts-results";
import { Agent, type Dispatcher } from "undici";
import type { Clock, Timer } from "../ports/clock.ts";
import type { TrafficMeter } from "./traffic-meter.ts";

/** Approximate size of the headers of a request or a response. */
const HEADER_BYTES = 180;
/** Burst of other traffic of this instance that a call may have to wait for on the link. */
const CONCURRENT_BURST_BYTES = 100_000;
const CONNECT_TIMEOUT_MS = 1000;
/** Shorter than 5 s, after which common HTTP servers close an idle connection. */
const KEEP_ALIVE_MS = 4000;
/** Larger replies are aborted, because an entry instance has 128 MB of memory. */
const MAX_REPLY_BYTES = 16 * 1024 * 1024;

/** Why a call has no reply. */
export interface HttpFailure {
  /** `not-sent`: no part of the request was written. `ambiguous`: no complete reply arrived. */
  readonly kind: "not-sent" | "ambiguous";
  readonly detail: string;
}

/** A complete reply. */
export interface HttpReply {
  readonly status: number;
  /** Parsed body; undefined if it is empty. */
  readonly body: unknown;
  /** Version of the body, from the `ETag` header. */
  readonly etag: string | undefined;
}

/** One request with a JSON body. */
export interface HttpCall {
  /** Base URL, `http://IP:PORT`. */
  readonly origin: string;
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly json?: unknown;
  /** Additional request headers. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Version of the body that the caller has. The status is 304 if it is still current. */
  readonly ifNoneMatch?: string | undefined;
  /**
   * Timeout of the whole call on a fast link, in milliseconds. Includes the wait for a free
   * connection. On a slow link, the time to transfer the request and a burst of other traffic is
   * added.
   */
  readonly timeoutMs: number;
  /** Key of the call in the traffic counts. @default the path without its query */
  readonly purpose?: string;
}

/** Options for the network link of this instance. */
export interface LinkOptions {
  /** Capacity in each direction, in bytes per millisecond. @default unlimited */
  readonly linkBytesPerMs?: number | undefined;
  /** Counts bytes by purpose. */
  readonly meter?: TrafficMeter | undefined;
}

/** Options of {@link HttpClient}. */
export interface HttpClientOptions extends LinkOptions {
  readonly clock: Clock;
  /** Limit of connections to one origin. */
  readonly connections: number;
  /** Time after which an idle connection is closed, in milliseconds. @default 4000 */
  readonly keepAliveMs?: number;
}

/** JSON client over HTTP with keep-alive. Reports whether a failed request may have been sent. */
export class HttpClient {
  readonly #clock: Clock;
  readonly #agent: Agent;
  readonly #meter: TrafficMeter | undefined;
  readonly #linkBytesPerMs: number;

  constructor({
    clock,
    connections,
    keepAliveMs = KEEP_ALIVE_MS,
    linkBytesPerMs = Infinity,
    meter,
  }: HttpClientOptions) {
    this.#linkBytesPerMs = linkBytesPerMs;
    this.#clock = clock;
    this.#meter = meter;
    this.#agent = new Agent({
      connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: keepAliveMs,
      keepAliveMaxTimeout: keepAliveMs,
      // Disables the timers of undici: Exchange applies the timeout with the injected clock.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends the request once, without retries. */
  call({
    origin,
    method,
    path,
    json,
    headers: extraHeaders = {},
    ifNoneMatch,
    timeoutMs,
    purpose = path.split("?", 1)[0] ?? path,
  }: HttpCall): Promise<Result<HttpReply, HttpFailure>> {
    return new Promise((resolve) => {
      const body = json === undefined ? null : JSON.stringify(json);
      const sentBytes = HEADER_BYTES + path.length + (body?.length ?? 0);
      const linkMs = Math.round((CONCURRENT_BURST_BYTES + sentBytes) / this.#linkBytesPerMs);
      const exchange = new Exchange(this.#clock, timeoutMs + linkMs, (result, receivedBytes) => {
        this.#meter?.count(purpose, sentBytes, receivedBytes);
        resolve(result);
      });
      const headers = {
        ...extraHeaders,
        ...(body === null ? {} : { "content-type": "application/json" }),
        ...(ifNoneMatch === undefined ? {} : { "if-none-match": ifNoneMatch }),
      };
      try {
        this.#agent.dispatch({ origin, method, path, headers, body }, exchange);
      } catch (err) {
        // The origin is not a valid URL, or the client is closed.
        exchange.onResponseError(undefined, err instanceof Error ? err : new Error(String(err)));
      }
    });
  }

  /** Closes all connections. Pending calls fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

/** Handles one request, from the wait for a connection to the end of its reply. */
class Exchange implements Dispatcher.DispatchHandler {
  readonly #resolve: (result: Result<HttpReply, HttpFailure>, receivedBytes: number) => void;
  readonly #timer: Timer;
  readonly #chunks: Buffer[] = [];
  #bytes = 0;
  #status = 0;
  #etag: string | undefined;
  #delimited = false;
  #controller: Dispatcher.DispatchController | undefined;
  #settled = false;

  constructor(
    clock: Clock,
    timeoutMs: number,
    resolve: (result: Result<HttpReply, HttpFailure>, receivedBytes: number) => void,
  ) {
    this.#resolve = resolve;
    this.#timer = clock.schedule(timeoutMs, () => {
      this.#fail(`no reply within ${timeoutMs} ms`);
    });
  }

  /** Called immediately before the request is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    // Prevents sending a request after its timeout, and sending it a second time.
    if (this.#settled || this.#controller !== undefined) {
      controller.abort(new Error("request already sent or timed out"));
      return;
    }
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    this.#status = status;
    this.#etag = typeof headers.etag === "string" ? headers.etag : undefined;
    // Without a declared length, a truncated body could not be told from a complete one.
    this.#delimited =
      status === 204 ||
      status === 304 ||
      headers["content-length"] !== undefined ||
      headers["transfer-encoding"] === "chunked";
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.#bytes > MAX_REPLY_BYTES) this.#fail("the reply is too large");
    else this.#chunks.push(chunk);
  }

  onResponseEnd(): void {
    if (!this.#delimited) {
      this.#fail("the reply has no declared length");
      return;
    }
    try {
      const text = Buffer.concat(this.#chunks).toString("utf8");
      const body: unknown = text === "" ? undefined : JSON.parse(text);
      this.#settle(Ok({ status: this.#status, body, etag: this.#etag }));
    } catch {
      this.#fail("the reply is not JSON");
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    this.#fail(err.message === "" ? err.name : err.message);
  }

  #fail(detail: string): void {
    const kind = this.#controller === undefined ? "not-sent" : "ambiguous";
    this.#settle(Err({ kind, detail }));
    this.#controller?.abort(new Error(detail));
  }

  #settle(result: Result<HttpReply, HttpFailure>): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#timer.cancel();
    this.#resolve(result, result.ok ? HEADER_BYTES + this.#bytes : this.#bytes);
  }
}
