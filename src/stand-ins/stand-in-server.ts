import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Clock } from "../ports/clock.ts";

/** Above the largest key-value value, which JSON escapes can lengthen. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Longer than clients keep idle connections, so that the client's side closes first. */
const KEEP_ALIVE_MS = 60_000;

/** Faults that every stand-in can be given. */
export interface CommonFaults {
  /** Answers 503 without doing anything. */
  readonly unavailable: boolean;
  /** Time before each call is processed, in milliseconds. */
  readonly delayMs: number;
  /** Processes each call, then closes the connection without a reply. */
  readonly loseReplies: boolean;
  /** Processes each call, then closes the connection in the middle of the reply's body. */
  readonly truncateReplies: boolean;
}

const commonFaults = {
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
  /** Version of the body that the caller has. */
  readonly ifNoneMatch: string | undefined;
}

/** What a stand-in replies. A reply of status 204 has no body. */
export interface StandInReply {
  readonly status: number;
  readonly body?: unknown;
  /** Version of the body. */
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
  /** Names of further on-off faults and what sets them. */
  readonly faultSwitches?: Readonly<Record<string, (on: boolean) => void>>;
}

type RoutedMessage = IncomingMessage & { readonly params: Record<string, string | string[]> };

/** HTTP server of a stand-in, with `POST /faults` and a call counter at `GET /stats`. */
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

  constructor({ faultSwitches: switches = {}, ...rest }: StandInServerOptions) {
    this.#options = { faultSwitches: switches, ...rest };
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
      reply(res, { status: 200, body: { calls: this.calls() } });
    });
    this.#server.on("request", (req, res) => {
      app.handler(req as Parameters<typeof app.handler>[0], res);
    });
  }

  /** Calls so far by kind; a waiting watch counts as one. */
  calls(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#calls);
  }

  /** Sets the given faults and leaves the others as they are. */
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
      reply(res, { status: 503, body: { error: "unavailable", detail: "fault is set" } });
      return;
    }
    if (this.#faults.delayMs > 0) await this.#options.clock.sleep(this.#faults.delayMs);
    const answer = await route.handle(call.val);
    if (this.#faults.loseReplies) res.destroy();
    else if (this.#faults.truncateReplies) truncate(res, answer);
    else reply(res, answer);
  }

  #setFaults(body: unknown): StandInReply {
    const { faultSwitches: switches } = this.#options;
    const entries = Object.fromEntries(Object.keys(switches).map((name) => [name, v.boolean()]));
    const parsed = v.safeParse(v.partial(v.strictObject({ ...entries, ...commonFaults })), body);
    if (!parsed.success) return rejected(v.summarize(parsed.issues));
    const common: Record<string, unknown> = {};
    for (const [name, value] of Object.entries(parsed.output)) {
      if (name in switches) switches[name]?.(value === true);
      else common[name] = value;
    }
    this.setFaults(common);
    return { status: 200, body: this.#faults };
  }
}

/** Refuses a call whose body or query does not match; nothing was done. */
export function rejected(detail: string): StandInReply {
  return { status: 400, body: { error: "rejected", detail } };
}

/** Passes the body to `handle` if it matches the schema. */
export async function withBody<T>(
  call: StandInCall,
  schema: v.GenericSchema<unknown, T>,
  handle: (body: T) => Promise<StandInReply>,
): Promise<StandInReply> {
  const parsed = v.safeParse(schema, call.body ?? {});
  return parsed.success ? handle(parsed.output) : rejected(v.summarize(parsed.issues));
}

/** A whole number from the query, 0 or more; `fallback` if absent or something else. */
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
  const version = etag === undefined ? {} : { etag };
  if (body === undefined) {
    const bodiless = status === 204 || status === 304;
    res.writeHead(status, { ...version, ...(bodiless ? {} : { "content-length": 0 }) }).end();
    return;
  }
  const bytes = Buffer.from(JSON.stringify(body));
  const type = { "content-type": "application/json", "content-length": bytes.length };
  res.writeHead(status, { ...type, ...version });
  res.end(bytes);
}

function truncate(res: ServerResponse, { status, body }: StandInReply): void {
  const bytes = Buffer.from(JSON.stringify(body ?? {}));
  res.writeHead(status, { "content-type": "application/json", "content-length": bytes.length });
  res.write(bytes.subarray(0, bytes.length - 1), () => res.destroy());
}
