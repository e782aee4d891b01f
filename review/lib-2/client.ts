/** Stand-in for clients: hands jobs in, asks for them and cancels them, with retries. */
import { request } from "node:http";
import type { CaseRecord } from "./record.ts";
import { pause, type Entry } from "./site.ts";

const DEADLINE_MS = 3000;
const ATTEMPTS = 5;
const RETRY_PAUSE_MS = 300;

/** An answer to a client; a status of 0 means that none came. */
export interface ClientAnswer {
  readonly status: number;
  readonly body: { readonly state?: string; readonly pending?: number };
}

/** Options of {@link Client}. */
export interface ClientOptions {
  readonly record: CaseRecord;
  readonly entries: readonly Entry[];
  readonly host: string;
  readonly prefix: string;
  readonly apiKey?: string;
}

/** A client of one queue. Its attempts go to the entries in turn. */
export class Client {
  readonly #options: ClientOptions;
  #next = 0;

  constructor(options: ClientOptions) {
    this.#options = options;
  }

  /** Hands a job in; true if it was accepted. */
  async submit(id: string, job: object): Promise<boolean> {
    return (await this.#callWithRetries("POST", id, job)).status === 200;
  }

  /** Cancels a job. */
  async cancel(id: string): Promise<ClientAnswer> {
    return this.#callWithRetries("DELETE", id);
  }

  /** Asks for a job's state once. */
  async state(id: string): Promise<ClientAnswer> {
    return this.#call("GET", id);
  }

  /** Asks one entry for the number of the queue's jobs that have not begun. */
  async pending(): Promise<ClientAnswer> {
    return this.#call("GET", "");
  }

  /** Asks for a job until it has the state or the time in ms has passed; the last answer. */
  async waitFor(id: string, state: string, timeoutMs: number): Promise<ClientAnswer> {
    const until = performance.now() + timeoutMs;
    for (;;) {
      const answer = await this.state(id);
      if (answer.body.state === state || performance.now() > until) return answer;
      await pause(500);
    }
  }

  async #callWithRetries(method: string, id: string, body?: object): Promise<ClientAnswer> {
    let answer: ClientAnswer = { status: 0, body: {} };
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      answer = await this.#call(method, id, body);
      if (answer.status !== 0 && answer.status < 429) return answer;
      await pause(RETRY_PAUSE_MS);
    }
    return answer;
  }

  #call(method: string, id: string, body?: object): Promise<ClientAnswer> {
    const { entries, host, prefix, apiKey, record } = this.#options;
    const entry = entries[this.#next++ % entries.length];
    if (entry === undefined) throw new Error("no entry");
    return new Promise((resolve) => {
      const finish = (answer: ClientAnswer): void => {
        const { status } = answer;
        record.add(
          `${method} ${prefix}${id} at ${entry.name}: ${status} ${JSON.stringify(answer.body)}`,
        );
        resolve(answer);
      };
      const req = request(
        `http://${entry.front}${prefix}${id}`,
        {
          method,
          agent: false,
          timeout: DEADLINE_MS,
          headers: {
            ...{ host, "content-type": "application/json" },
            "x-deadline-ms": String(DEADLINE_MS),
            ...(apiKey === undefined ? {} : { "api-key": apiKey }),
          },
        },
        (res) => {
          const chunks: Buffer[] = [];
          res.on("data", (chunk: Buffer) => chunks.push(chunk));
          res.on("error", () => {
            finish({ status: 0, body: {} });
          });
          res.on("end", () => {
            const text = Buffer.concat(chunks).toString("utf8");
            const parsed = (text === "" ? {} : JSON.parse(text)) as ClientAnswer["body"];
            finish({ status: res.statusCode ?? 0, body: parsed });
          });
        },
      );
      req.on("timeout", () => req.destroy());
      req.on("error", () => {
        finish({ status: 0, body: {} });
      });
      req.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }
}
