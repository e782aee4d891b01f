import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { RefusalReason } from "../protocol/refusal.ts";

/** Why a body was not read. `gone` means that the client closed the connection. */
export type BodyError = Extract<RefusalReason, "too_large" | "slow_request" | "overload"> | "gone";

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  /** Time limit for receiving one body, in milliseconds. */
  readonly timeoutMs: number;
  /** Limit in bytes for all bodies buffered at once. */
  readonly maxBufferedBytes: number;
}

/** Reads request bodies with limits on size, time and total memory. */
export class BodyReader {
  readonly #options: BodyReaderOptions;
  #bufferedBytes = 0;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
  }

  /** Subtracts a body from the buffered bytes. Called once the body is no longer used. */
  release(body: Uint8Array): void {
    this.#bufferedBytes -= body.byteLength;
  }

  /** Reads a whole body. The caller must {@link release} it. */
  async read(req: IncomingMessage): Promise<Result<Uint8Array, BodyError>> {
    const { clock, maxBytes, timeoutMs, maxBufferedBytes: heldBytes } = this.#options;
    if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
      req.resume();
      return Err("too_large");
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const completion = new Promise<BodyError | undefined>((resolve) => {
      req.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        size += chunk.byteLength;
        this.#bufferedBytes += chunk.byteLength;
        if (size > maxBytes) resolve("too_large");
        else if (this.#bufferedBytes > heldBytes) resolve("overload");
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
    const err = await Promise.race([completion, timeout]);
    abort.abort("body ended");
    if (err === undefined) return Ok(Buffer.concat(chunks, size));
    // Reads and discards the rest, because closing a connection with unread data may lose the
    // response.
    req.removeAllListeners("data");
    req.resume();
    this.#bufferedBytes -= size;
    return Err(err);
  }
}
