import { Err, Ok, type Result } from "ts-results";
import { request } from "undici";
import * as v from "valibot";
import { EntryStatusReader } from "../coordination/entry-directory.ts";
import { EntryStatusSchema, type EntryStatus } from "../protocol/entry-status.ts";

const TIMEOUT_MS = 1000;

/** Reads `/status` from the admin server of an entry instance. */
export class HttpEntryStatusReader extends EntryStatusReader {
  async read(adminAddress: string): Promise<Result<EntryStatus, string>> {
    try {
      const res = await request(`http://${adminAddress}/status`, {
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const parsed = v.safeParse(EntryStatusSchema, await res.body.json());
      if (res.statusCode !== 200) return Err(`HTTP ${res.statusCode}`);
      return parsed.success ? Ok(parsed.output) : Err("malformed status document");
    } catch (err) {
      return Err(err instanceof Error ? err.message : "not reached");
    }
  }
}
