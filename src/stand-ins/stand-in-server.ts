import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Clock } from "../ports/clock.ts";

/** Larger than the largest value of a key-value entry, which JSON escaping can lengthen. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Longer than clients keep idle connections, so that the client closes them first. */
const KEEP_ALIVE_MS = 60_000;

/** Faults that can be set on every stand-in. */
export interface CommonFaults {
  /** Replies with status 503 without processing calls. */
  readonly unavailable: boolean;
  /** Delay before each call is processed, in milliseconds. */
  readonly delayMs: number;
  /** Processes each call, then closes the connection without a reply. */
  readonly loseReplies: boolean;
  /** Processes each call, then closes the connection before the reply's body is complete. */
  readonly truncateReplies: boolean;
}

const commonFaultSchemas = {
  unavailable: v.boolean(),
  delayMs: v.pipe(v.number(), v.minValue(0)),
  loseReplies: v.boolean(),
  truncateReplies: v.boolean(),
};

/** One call to a stand-in. */
export interface StandInCall {
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** Parsed body; undefined if it is empty. */
  readonly body: unknown;
  /** ETag of the body that the caller already has. */
  readonly ifNoneMatch: string | undefined;
}

/** Reply of a stand-in. A reply with status 204 has no body. */
export interface StandInReply {
  readonly status: number;
  readonly body?: unknown;
  /** ETag of the body. */
  readonly etag?: string;
}

/** Processes calls of one kind. */
export type StandInHandler = (call: StandInCall) => Promise<StandInReply> | StandInReply;

/** One path of a stand-in. */
export interface StandInRoute {
  /** Name under which calls are counted. */
  readonly kind: string;
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly handle: StandInHandler;
}

/** Options of {@link StandInServer}. */
export interface StandInServerOptions {
  readonly clock: Clock;
  readonly routes: readonly StandInRoute[];
  /** Further on-off faults: the name of each fault and the function that sets it. */
  readonly faultSwitches?: Readonly<Record<string, (on: boolean) => void>>;
}

type RoutedMessage = IncomingMessage & { readonly params: Record<string, string | string[]> };

/** HTTP server of a stand-in. `POST /faults` sets faults and `GET /stats` reports call counts. */
export class StandInServer {
  readonly #options: Required<StandInServerOptions>;
  readonly #server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
  readonly #calls = new Map<string, number>();
  #faults: CommonFaults = {
    unavailable: false,
    delayMs: 0,
    loseReplies: false,
    truncateReplies: false,
  };

  constructor({ faultSwitches = {}, ...rest }: StandInServerOptions) {
    this.#options = { faultSwitches, ...rest };
    const app = polka({ server: this.#server });
    for (const route of rest.routes) {
      app.add(route.method, route.path, (req: RoutedMessage, res: ServerResponse) => {
        void this.#serve(route, req, res);
      });
    }
    app.add("POST", "/faults", (req: RoutedMessage, res: ServerResponse) => {
      void readCall(req).then((call) => {
        reply(res, call.ok ? this.#setFaults(call.val.body) : rejected(call.val));
      });
    });
    app.add("GET", "/stats", (_req: RoutedMessage, res: ServerResponse) => {
      reply(res, { status: 200, body: { calls: this.callCounts() } });
    });
    this.#server.on("request", (req, res) => {
      app.handler(req as Parameters<typeof app.handler>[0], res);
    });
  }

  /** Number of calls so far by kind; a waiting watch counts as one call. */
  callCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#calls);
  }

  /** Sets the given faults and leaves the others unchanged. */
  setFaults(faults: Partial<CommonFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Listens and returns the base URL `http://IP:PORT`. Port 0 picks a free port. */
  listen(host: string, port: number): Promise<Result<string, string>> {
    return new Promise((resolve) => {
      this.#server.once("error", (err) => {
        resolve(Err(err.message));
      });
      this.#server.listen(port, host, () => {
        const { address, family, port: bound } = this.#server.address() as AddressInfo;
        resolve(Ok(`http://${family === "IPv6" ? `[${address}]` : address}:${bound}`));
      });
    });
  }

  /** Stops listening and closes every connection. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeAllConnections();
    });
  }

  async #serve(route: StandInRoute, req: RoutedMessage, res: ServerResponse): Promise<void> {
    this.#calls.set(route.kind, (this.#calls.get(route.kind) ?? 0) + 1);
    const call = await readCall(req);
    if (call.err) {
      reply(res, rejected(call.val));
      return;
    }
    if (this.#faults.unavailable) {
      reply(res, {
        status: 503,
        body: { error: "unavailable", detail: "the unavailable fault is set" },
      });
      return;
    }
    if (this.#faults.delayMs > 0) await this.#options.clock.sleep(this.#faults.delayMs);
    const result = await route.handle(call.val);
    if (this.#faults.loseReplies) res.destroy();
    else if (this.#faults.truncateReplies) truncate(res, result);
    else reply(res, result);
  }

  #setFaults(body: unknown): StandInReply {
    const { faultSwitches } = this.#options;
    const entries = Object.fromEntries(
      Object.keys(faultSwitches).map((name) => [name, v.boolean()]),
    );
    const parsed = v.safeParse(
      v.partial(v.strictObject({ ...entries, ...commonFaultSchemas })),
      body,
    );
    if (!parsed.success) return rejected(v.summarize(parsed.issues));
    const common: Record<string, unknown> = {};
    for (const [name, value] of Object.entries(parsed.output)) {
      if (name in faultSwitches) faultSwitches[name]?.(value === true);
      else common[name] = value;
    }
    this.setFaults(common);
    return { status: 200, body: this.#faults };
  }
}

/** Reply that refuses a call with an invalid body or query; nothing was done. */
export function rejected(detail: string): StandInReply {
  return { status: 400, body: { error: "rejected", detail } };
}

/** Passes the body to `handle` if it matches the schema, and rejects the call otherwise. */
export async function withBody<T>(
  call: StandInCall,
  schema: v.GenericSchema<unknown, T>,
  handle: (body: T) => Promise<StandInReply>,
): Promise<StandInReply> {
  const parsed = v.safeParse(schema, call.body ?? {});
  return parsed.success ? handle(parsed.output) : rejected(v.summarize(parsed.issues));
}

/** A non-negative number from the query; `fallback` if it is absent or invalid. */
export function queryNumber(call: StandInCall, name: string, fallback: number): number {
  const value = Number(call.query.get(name) ?? Number.NaN);
  return value >= 0 ? value : fallback;
}

async function readCall(req: RoutedMessage): Promise<Result<StandInCall, string>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) return Err("the body is too large");
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const params = Object.entries(req.params).map(([name, value]) => [
      name,
      decodeURIComponent(String(value)),
    ]);
    return Ok({
      params: Object.fromEntries(params) as Record<string, string>,
      query: new URL(req.url ?? "/", "http://localhost").searchParams,
      body: text === "" ? undefined : (JSON.parse(text) as unknown),
      ifNoneMatch: req.headers["if-none-match"],
    });
  } catch {
    return Err("the call is malformed");
  }
}

function reply(res: ServerResponse, { status, body, etag }: StandInReply): void {
  const etagHeader = etag === undefined ? {} : { etag };
  if (body === undefined) {
    const hasNoBody = status === 204 || status === 304;
    res.writeHead(status, { ...etagHeader, ...(hasNoBody ? {} : { "content-length": 0 }) }).end();
    return;
  }
  const bytes = Buffer.from(JSON.stringify(body));
  const bodyHeaders = { "content-type": "application/json", "content-length": bytes.length };
  res.writeHead(status, { ...bodyHeaders, ...etagHeader });
  res.end(bytes);
}

function truncate(res: ServerResponse, { status, body }: StandInReply): void {
  const bytes = Buffer.from(JSON.stringify(body ?? {}));
  res.writeHead(status, { "content-type": "application/json", "content-length": bytes.length });
  res.write(bytes.subarray(0, bytes.length - 1), () => res.destroy());
}
