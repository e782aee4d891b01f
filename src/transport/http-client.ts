import { Err, Ok, type Result } from "ts-results";
import { Agent, type Dispatcher } from "undici";
import type { Clock, Timer } from "../ports/clock.ts";
import type { TrafficMeter } from "./traffic-meter.ts";

/** Rough size in bytes of the headers of a request or a reply. */
const HEADER_BYTES = 180;
/** Other traffic of this instance that a call may have to wait for. */
const BURST_BYTES = 100_000;
const CONNECT_TIMEOUT_MS = 1000;
/** Shorter than the 5 s after which common servers close an idle connection. */
const KEEP_ALIVE_MS = 4000;
/** Replies above this size are given up, since an entry instance has 128 MB. */
const MAX_REPLY_BYTES = 16 * 1024 * 1024;

/** Why there is no reply. */
export interface HttpFailure {
  /** `not-sent`: nothing of the request was written. `ambiguous`: no whole reply arrived. */
  readonly kind: "not-sent" | "ambiguous";
  readonly detail: string;
}

/** A whole reply. */
export interface HttpReply {
  readonly status: number;
  /** Parsed body; undefined if it is empty. */
  readonly body: unknown;
  /** Version of the body as the server names it. */
  readonly etag: string | undefined;
}

/** One request with a JSON body. */
export interface HttpCall {
  /** Base URL, `http://IP:PORT`. */
  readonly origin: string;
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly json?: unknown;
  /** Further request headers. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Version of a body that the caller has; the reply then is 304 if it is the newest. */
  readonly ifNoneMatch?: string | undefined;
  /**
   * Time for everything, including the wait for a free connection, in milliseconds, on a link that
   * is fast. On a slow one the time that the body and a burst of other traffic take is added.
   */
  readonly timeoutMs: number;
  /** What the call is for, in the traffic counts. @default the path without its query */
  readonly purpose?: string;
}

/** The link of this instance. */
export interface LinkOptions {
  /** Capacity in each direction. @default unlimited */
  readonly linkBytesPerMs?: number | undefined;
  /** Counts bytes by purpose. */
  readonly meter?: TrafficMeter | undefined;
}

/** Options of {@link HttpClient}. */
export interface HttpClientOptions extends LinkOptions {
  readonly clock: Clock;
  /** Most connections to one origin. */
  readonly connections: number;
  /** Time for which an idle connection is kept, in milliseconds. @default 4000 */
  readonly keepAliveMs?: number;
}

/** JSON over HTTP with kept connections, which tells whether a failed request was sent. */
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
      // Time-outs are by the clock of the caller.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Sends once; never retries. */
  call({
    origin,
    method,
    path,
    json,
    headers: further = {},
    ifNoneMatch,
    timeoutMs,
    purpose = path.split("?", 1)[0] ?? path,
  }: HttpCall): Promise<Result<HttpReply, HttpFailure>> {
    return new Promise((resolve) => {
      const body = json === undefined ? null : JSON.stringify(json);
      const sentBytes = HEADER_BYTES + path.length + (body?.length ?? 0);
      const linkMs = Math.round((BURST_BYTES + sentBytes) / this.#linkBytesPerMs);
      const exchange = new Exchange(this.#clock, timeoutMs + linkMs, (result, receivedBytes) => {
        this.#meter?.count(purpose, sentBytes, receivedBytes);
        resolve(result);
      });
      const headers = {
        ...further,
        ...(body === null ? {} : { "content-type": "application/json" }),
        ...(ifNoneMatch === undefined ? {} : { "if-none-match": ifNoneMatch }),
      };
      try {
        this.#agent.dispatch({ origin, method, path, headers, body }, exchange);
      } catch (err) {
        // An address that is no URL, or a closed client.
        exchange.onResponseError(undefined, err instanceof Error ? err : new Error(String(err)));
      }
    });
  }

  /** Closes every connection; open calls fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

/** Follows one request from the wait for a connection to the end of its reply. */
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

  /** Called right before the request is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A timed-out request must not be sent later, and no request is sent a second time.
    if (this.#settled || this.#controller !== undefined) {
      controller.abort(new Error("request given up"));
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
    // Without a declared end, a body that was cut off would look whole.
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
