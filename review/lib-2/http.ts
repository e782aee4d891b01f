/** A small HTTP server for JSON calls, on which the stand-ins are built. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A call that a stand-in received. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly body: unknown;
}

/** The answer of a stand-in. */
export interface Answer {
  readonly status: number;
  readonly body?: unknown;
}

/** Handles a call. `undefined` closes the connection without an answer. */
export type Handler = (call: Call) => Answer | undefined | Promise<Answer | undefined>;

/** HTTP server on a loopback address. */
export class JsonServer {
  readonly #server: Server;
  readonly #handler: Handler;

  constructor(handler: Handler) {
    this.#handler = handler;
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
      this.#serve(req, res).catch(() => {
        res.destroy();
      });
    });
  }

  /** Listens on a free port, or again on the given one, and returns `IP:PORT`. */
  listen(port = 0): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Stops listening and resets all connections, as the end of a process does. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString("utf8");
    const { pathname, searchParams } = new URL(req.url ?? "/", "http://host");
    const answer = await this.#handler({
      method: req.method ?? "",
      path: pathname,
      query: searchParams,
      headers: req.headers,
      body: text === "" ? undefined : (JSON.parse(text) as unknown),
    });
    if (answer === undefined) {
      res.destroy();
      return;
    }
    const bytes = Buffer.from(JSON.stringify(answer.body ?? {}));
    res.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": bytes.length,
    });
    res.end(bytes);
  }
}
