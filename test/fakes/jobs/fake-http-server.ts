import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Response of a {@link FakeHttpServer}. A status of `undefined` closes the connection instead. */
export interface FakeHttpResponse {
  readonly status: number | undefined;
  readonly body?: unknown;
}

/** A request that the server received. */
export interface RecordedCall {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly body: unknown;
}

/** Maximum number of recorded calls. A soak test makes far more calls than any test checks. */
const MAX_RECORDED_CALLS = 10_000;

type Responder = (call: RecordedCall) => FakeHttpResponse | Promise<FakeHttpResponse>;

/** A small HTTP server in place of the platform. A test sets the function that handles calls. */
export class FakeHttpServer {
  readonly calls: RecordedCall[] = [];
  respond: Responder;
  readonly #server = createServer((req, res) => void this.#serve(req, res));

  constructor(answer: Responder) {
    this.respond = answer;
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
    const call: RecordedCall = {
      ...{ method: req.method ?? "", path: pathname, query: searchParams, headers: req.headers },
      body: text === "" ? undefined : (JSON.parse(text) as unknown),
    };
    if (this.calls.length < MAX_RECORDED_CALLS) this.calls.push(call);
    const { status, body } = await this.respond(call);
    if (status === undefined) req.socket.destroy();
    else {
      const bytes = Buffer.from(JSON.stringify(body ?? {}));
      res.writeHead(status, { "content-length": bytes.length }).end(bytes);
    }
  }
}
