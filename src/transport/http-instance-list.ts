import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Clock } from "../ports/clock.ts";
import {
  InstanceList,
  type InstanceListError,
  type ListedInstance,
} from "../ports/instance-list.ts";
import { InstancesSchema } from "../protocol/instance-list-http.ts";
import { HttpClient } from "./http-client.ts";

/** Options of {@link HttpInstanceList}. */
export interface HttpInstanceListOptions {
  readonly clock: Clock;
  /** Base URL, `http://IP:PORT`. */
  readonly url: string;
  /** Timeout of a call in milliseconds. @default 1000 */
  readonly timeoutMs?: number;
}

/** HTTP client of the instance list. */
export class HttpInstanceList extends InstanceList {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #http: HttpClient;
  /** The last list, if the server sent an ETag with it. */
  #cached: { readonly etag: string; readonly instances: readonly ListedInstance[] } | undefined;

  constructor({ clock, url, timeoutMs = 1000 }: HttpInstanceListOptions) {
    super();
    this.#url = url;
    this.#timeoutMs = timeoutMs;
    this.#http = new HttpClient({ clock, connections: 2 });
  }

  async list(): Promise<Result<readonly ListedInstance[], InstanceListError>> {
    const cached = this.#cached;
    const reply = await this.#http.call({
      origin: this.#url,
      method: "GET",
      path: "/v1/instances",
      ifNoneMatch: cached?.etag,
      timeoutMs: this.#timeoutMs,
    });
    if (reply.err) return Err({ kind: "unavailable", detail: reply.val.detail });
    const { status, body, etag } = reply.val;
    if (status === 304 && cached !== undefined) return Ok(cached.instances);
    const parsed = v.safeParse(InstancesSchema, body);
    if (status === 200 && parsed.success) {
      this.#cached = etag === undefined ? undefined : { etag, instances: parsed.output };
      return Ok(parsed.output);
    }
    return Err({ kind: "unavailable", detail: `unexpected reply with status ${status}` });
  }

  /** Closes all connections. Pending calls fail. */
  close(): Promise<void> {
    return this.#http.close();
  }
}
