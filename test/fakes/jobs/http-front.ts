import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** One answer of a {@link HttpFront}. `undefined` as status closes the connection without one. */
export interface FrontAnswer {
  readonly status: number | undefined;
  readonly body?: unknown;
}

/** A call that arrived. */
export interface FrontCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly body: unknown;
}

/** Calls that a front remembers; a soak makes many more than any test looks at. */
const MAX_REMEMBERED_CALLS = 10_000;

type Answer = (call: FrontCall) => FrontAnswer | Promise<FrontAnswer>;

/** A small HTTP server whose answers a test decides, in place of the platform. */
export class HttpFront {
  readonly calls: FrontCall[] = [];
  answer: Answer;
  readonly #server = createServer((req, res) => void this.#serve(req, res));

  constructor(answer: Answer) {
    this.answer = answer;
  }

  /** Listens on a free port and returns `IP:PORT`. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString("utf8");
    const { pathname, searchParams } = new URL(req.url ?? "/", "http://host");
    const call: FrontCall = {
      ...{ method: req.method ?? "", path: pathname, query: searchParams, headers: req.headers },
      body: text === "" ? undefined : (JSON.parse(text) as unknown),
    };
    if (this.calls.length < MAX_REMEMBERED_CALLS) this.calls.push(call);
    const { status, body } = await this.answer(call);
    if (status === undefined) req.socket.destroy();
    else {
      const bytes = Buffer.from(JSON.stringify(body ?? {}));
      res.writeHead(status, { "content-length": bytes.length }).end(bytes);
    }
  }
}
