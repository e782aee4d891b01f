import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { RefusalReason } from "../protocol/problem.ts";

/** Why a body was not read. `gone` means that the client closed the connection. */
export type BodyError = Extract<RefusalReason, "too_large" | "slow_request" | "overload"> | "gone";

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  /** Longest time for one body in milliseconds. */
  readonly timeoutMs: number;
  /** Most bytes of all bodies held at once. */
  readonly heldBytes: number;
}

/** Reads request bodies within limits of size, time and total memory. */
export class BodyReader {
  readonly #options: BodyReaderOptions;
  #held = 0;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
  }

  /** Gives back the memory of a body whose request was answered. */
  release(body: Uint8Array): void {
    this.#held -= body.byteLength;
  }

  async read(req: IncomingMessage): Promise<Result<Uint8Array, BodyError>> {
    const { clock, maxBytes, timeoutMs, heldBytes } = this.#options;
    if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
      req.resume();
      return Err("too_large");
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const whole = new Promise<BodyError | undefined>((resolve) => {
      req.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        size += chunk.byteLength;
        this.#held += chunk.byteLength;
        if (size > maxBytes) resolve("too_large");
        else if (this.#held > heldBytes) resolve("overload");
      });
      req.on("end", () => {
        resolve(undefined);
      });
      req.on("error", () => {
        resolve("gone");
      });
      req.on("close", () => {
        resolve("gone");
      });
    });
    const abort = new AbortController();
    const timeout = clock.sleep(timeoutMs, abort.signal).then(() => "slow_request" as const);
    const err = await Promise.race([whole, timeout]);
    abort.abort("body ended");
    if (err === undefined) return Ok(Buffer.concat(chunks, size));
    // The rest is discarded, because closing with unread data may drop the response on its way.
    req.removeAllListeners("data");
    req.resume();
    this.#held -= size;
    return Err(err);
  }
}
