/** Callers of a site, which keep connections open and retry requests without a reply. */
import { Agent, request, type Dispatcher } from "undici";
import type { Random } from "../../../src/ports/random.ts";
import type { KnownJob } from "../../fuzz/jobs/job-oracle.ts";
import type { PlatformSite, SiteEntry } from "./platform-site.ts";

const REPLY_TIMEOUT_MS = 3000;
const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 250;
const PROBE_INTERVAL_MS = 400;
/** A request whose connection breaks at least this long after sending counts as read, in ms. */
const READ_AFTER_MS = 150;

/** A job with its request body. */
export interface SiteJob extends KnownJob {
  readonly body: string;
  /** A cancel was sent, which may have taken effect even without an acknowledgement. */
  cancelSent: boolean;
}

/** Reply to one request; callers get undefined if there was none. */
interface Reply {
  readonly status: number;
  readonly body: { readonly state?: string };
}

/** Sends requests like clients behind the platform's load balancer. */
export class SiteCallers {
  /** Requests that an entry had read and that its graceful shutdown cut. */
  readonly cutRequests: string[] = [];
  readonly #site: PlatformSite;
  readonly #random: Random;
  /** One agent per entry, so that connections stay open until the entry's process ends. */
  readonly #agents = new Map<string, Agent>();
  readonly #ready = new Set<SiteEntry>();
  readonly #probeTimer: NodeJS.Timeout;

  constructor(site: PlatformSite, random: Random) {
    this.#site = site;
    this.#random = random;
    this.#probeTimer = setInterval(() => {
      for (const entry of site.entries) void this.#probe(entry);
    }, PROBE_INTERVAL_MS);
  }

  async close(): Promise<void> {
    clearInterval(this.#probeTimer);
    for (const agent of this.#agents.values()) await agent.destroy();
  }

  /** Submits a job; each attempt goes to a randomly chosen entry. */
  async submit(job: SiteJob): Promise<void> {
    let refusals = 0;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const reply = await this.#send("POST", job.id, job.body);
      if (reply?.status === 200) {
        job.accepted = true;
        return;
      }
      if (reply?.status === 503 || reply?.status === 429) refusals++;
      await pause(RETRY_DELAY_MS);
    }
    // The caller knows that the job will not run only if every attempt was refused.
    if (refusals === MAX_ATTEMPTS) job.refused = true;
  }

  /** Cancels a job; true if an entry acknowledged the cancel. */
  async cancel(job: SiteJob): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const reply = await this.#send("DELETE", job.id);
      if (reply?.status === 200) return true;
      await pause(RETRY_DELAY_MS);
    }
    return false;
  }

  /** State of a job; undefined if there was no reply. */
  async state(job: SiteJob): Promise<string | undefined> {
    const reply = await this.#send("GET", job.id);
    return reply?.status === 410 ? "unknown-job" : reply?.body.state;
  }

  async #send(method: "GET" | "POST" | "DELETE", id: string, body?: string) {
    const ready = [...this.#ready];
    const all = ready.length > 0 ? ready : this.#site.entries;
    const entry = all[Math.floor(this.#random.next() * all.length)];
    return entry === undefined ? undefined : this.#request(entry, method, id, body);
  }

  async #request(
    entry: SiteEntry,
    method: "GET" | "POST" | "DELETE",
    id: string,
    body?: string,
  ): Promise<Reply | undefined> {
    const sentAt = performance.now();
    try {
      const res = await request(`http://${entry.callerAddress}/queue/${id}`, {
        ...{
          method,
          dispatcher: this.#agent(entry),
          headersTimeout: REPLY_TIMEOUT_MS,
          bodyTimeout: REPLY_TIMEOUT_MS,
        },
        headers: { host: "host", "x-deadline-ms": String(REPLY_TIMEOUT_MS) },
        ...(body === undefined ? {} : { body }),
      });
      return { status: res.statusCode, body: await readBody(res) };
    } catch (err) {
      this.#recordCutRequest(entry, `${method} ${id}`, performance.now() - sentAt, err);
      return undefined;
    }
  }

  #recordCutRequest(entry: SiteEntry, call: string, afterMs: number, err: unknown): void {
    if (
      !entry.terminating ||
      entry.frozen ||
      afterMs < READ_AFTER_MS ||
      afterMs >= REPLY_TIMEOUT_MS
    )
      return;
    this.cutRequests.push(`${call} was cut by the shutdown of ${entry.name}: ${String(err)}`);
  }

  async #probe(entry: SiteEntry): Promise<void> {
    try {
      const res = await request(`http://${entry.readinessAddress}/v1/ready`, {
        headersTimeout: 300,
      });
      await res.body.dump();
      if (res.statusCode === 200) this.#ready.add(entry);
      else this.#ready.delete(entry);
    } catch {
      // No reply: the entry is down, frozen or not started yet.
      this.#ready.delete(entry);
    }
  }

  #agent({ name }: SiteEntry): Agent {
    const agent =
      this.#agents.get(name) ?? new Agent({ connections: 8, connect: { timeout: 500 } });
    this.#agents.set(name, agent);
    return agent;
  }
}

async function readBody({ body }: Dispatcher.ResponseData): Promise<Reply["body"]> {
  const text = await body.text();
  return text === "" ? {} : (JSON.parse(text) as Reply["body"]);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
