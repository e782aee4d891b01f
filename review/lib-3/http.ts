/** HTTP on loopback: a small server with JSON bodies, and the calls of clients. */
import { createServer, request, type IncomingMessage, type ServerResponse } from "node:http";
import { createServer as createTcpServer, type AddressInfo } from "node:net";

/** A request that a stand-in received. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly body: Readonly<Record<string, unknown>>;
}

/** A reply of a stand-in. */
export interface Reply {
  readonly status: number;
  readonly body?: unknown;
}

/** An HTTP server. The handler resolves to undefined if the call gets no answer at all. */
export class JsonServer {
  readonly #server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    void this.#serve(req, res);
  });
  readonly #handle: (call: Call) => Promise<Reply | undefined>;
  #port = 0;

  constructor(handle: (call: Call) => Promise<Reply | undefined>) {
    this.#handle = handle;
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Listens on a free port, or again on the port that it had before. */
  listen(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(this.#port, "127.0.0.1", () => {
        this.#port = (this.#server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Closes the port and all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of req) chunks.push(chunk as Buffer);
    } catch {
      // The caller closed the connection before its request was complete.
      return;
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const { pathname, searchParams } = new URL(req.url ?? "/", "http://host");
    const reply = await this.#handle({
      ...{ method: req.method ?? "", path: pathname, query: searchParams, headers: req.headers },
      body: text === "" ? {} : (JSON.parse(text) as Call["body"]),
    });
    if (reply === undefined || res.destroyed) return;
    const bytes = Buffer.from(JSON.stringify(reply.body ?? {}));
    const head = { "content-type": "application/json", "content-length": bytes.length };
    res.writeHead(reply.status, head).end(bytes);
  }
}

/** One call of a client. */
export interface ClientCall {
  readonly address: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly host: string;
  readonly key: string;
  readonly body?: unknown;
}

/** Time in ms for which clients wait for an answer. */
const CLIENT_TIMEOUT_MS = 3000;

/** Sends one call; undefined without an answer. */
export function callAsClient(
  call: ClientCall,
): Promise<{ status: number; body: unknown } | undefined> {
  const { address, method, path, host, key, body } = call;
  const [ip = "", port = ""] = address.split(":");
  const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
  return new Promise((resolve) => {
    const headers = {
      ...{ host, "api-key": key, "x-deadline-ms": String(CLIENT_TIMEOUT_MS) },
      ...(bytes === undefined
        ? {}
        : { "content-type": "application/json", "content-length": bytes.length }),
    };
    const sent = request({ host: ip, port, method, path, headers, agent: false }, (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (chunk: Buffer) => chunks.push(chunk));
      res.on("end", () => {
        const text = Buffer.concat(chunks).toString("utf8");
        resolve({
          status: res.statusCode ?? 0,
          body: text === "" ? {} : (JSON.parse(text) as unknown),
        });
      });
      res.on("error", () => {
        resolve(undefined);
      });
    });
    sent.setTimeout(CLIENT_TIMEOUT_MS, () => sent.destroy());
    sent.on("error", () => {
      resolve(undefined);
    });
    sent.end(bytes);
  });
}

/** Finds `count` successive free ports and returns the first. */
export async function freePorts(count: number): Promise<number> {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 30_000);
    const checked = await Promise.all(
      Array.from({ length: count }, (_, index) => isFree(first + index)),
    );
    if (checked.every(Boolean)) return first;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
