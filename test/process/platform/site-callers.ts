/** Callers of a site, who keep their connections and repeat what was not answered. */
import { Agent, request, type Dispatcher } from "undici";
import type { Random } from "../../../src/ports/random.ts";
import type { KnownJob } from "../../fuzz/jobs/job-oracle.ts";
import type { PlatformSite, SiteEntry } from "./platform-site.ts";

const WAIT_MS = 3000;
const ATTEMPTS = 5;
const PAUSE_MS = 250;
const READINESS_INTERVAL_MS = 400;
/** A request that breaks this long after it was sent had been read. */
const READ_AFTER_MS = 150;

/** A job with the body that its caller sends. */
export interface SiteJob extends KnownJob {
  readonly body: string;
  /** A cancel was sent, so it may have taken effect although nobody acknowledged it. */
  cancelSent: boolean;
}

/** Reply to one request; undefined if none came. */
interface Reply {
  readonly status: number;
  readonly body: { readonly state?: string };
}

/** Sends requests as clients behind the platform's balancer do. */
export class SiteCallers {
  /** Graceful shutdowns that cut a request which had been read. */
  readonly cutRequests: string[] = [];
  readonly #site: PlatformSite;
  readonly #random: Random;
  /** One agent for each entry, so that connections stay open until its process is gone. */
  readonly #agents = new Map<string, Agent>();
  readonly #ready = new Set<SiteEntry>();
  readonly #probing: NodeJS.Timeout;

  constructor(site: PlatformSite, random: Random) {
    this.#site = site;
    this.#random = random;
    this.#probing = setInterval(() => {
      for (const entry of site.entries) void this.#probe(entry);
    }, READINESS_INTERVAL_MS);
  }

  async close(): Promise<void> {
    clearInterval(this.#probing);
    for (const agent of this.#agents.values()) await agent.destroy();
  }

  /** Hands a job in, at another entry after each attempt that failed. */
  async submit(job: SiteJob): Promise<void> {
    let refusals = 0;
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const reply = await this.#send("POST", job.id, job.body);
      if (reply?.status === 200) {
        job.accepted = true;
        return;
      }
      if (reply?.status === 503 || reply?.status === 429) refusals++;
      await pause(PAUSE_MS);
    }
    // Only if every attempt was refused the caller was told that it will not run.
    if (refusals === ATTEMPTS) job.refused = true;
  }

  /** Cancels a job; true once that is acknowledged. */
  async cancel(job: SiteJob): Promise<boolean> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const reply = await this.#send("DELETE", job.id);
      if (reply?.status === 200) return true;
      await pause(PAUSE_MS);
    }
    return false;
  }

  /** State of a job; undefined if nobody answers. */
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
      const res = await request(`http://${entry.callers}/queue/${id}`, {
        ...{
          method,
          dispatcher: this.#agent(entry),
          headersTimeout: WAIT_MS,
          bodyTimeout: WAIT_MS,
        },
        headers: { host: "host", "x-deadline-ms": String(WAIT_MS) },
        ...(body === undefined ? {} : { body }),
      });
      return { status: res.statusCode, body: await readBody(res) };
    } catch (err) {
      this.#noteBroken(entry, `${method} ${id}`, performance.now() - sentAt, err);
      return undefined;
    }
  }

  #noteBroken(entry: SiteEntry, call: string, afterMs: number, err: unknown): void {
    if (!entry.terminating || entry.frozen || afterMs < READ_AFTER_MS || afterMs >= WAIT_MS) return;
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
      // No answer: the entry is down, frozen or not started yet.
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
