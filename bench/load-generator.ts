import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import type { Clock } from "../src/ports/clock.ts";

/** Upper bounds of one run, so that it ends regardless of the options. */
export const LOAD_LIMITS = { requestsPerSecond: 5000, seconds: 600, inFlight: 2000 } as const;

/** Options of {@link runLoad}. */
export interface LoadOptions {
  readonly clock: Clock;
  /** Caller addresses `http://127.x.x.x:PORT`, used round-robin. */
  readonly callers: readonly string[];
  readonly queue: string;
  /** API key; undefined for open queues. */
  readonly key: string | undefined;
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** Additional request headers, such as `priority`. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Body of the request with the given number. */
  readonly body: (n: number) => string;
  readonly timeoutMs: number;
}

/** Result of a run. Latencies are in milliseconds. */
export interface LoadReport {
  readonly sent: number;
  /** Requests that were not sent because too many were in flight when they were due. */
  readonly skipped: number;
  /**
   * Number of requests by outcome: the status, for refusals also the reason and `ran`, or the error
   * if there was no reply.
   */
  readonly outcomes: Readonly<Record<string, number>>;
  readonly successes: LatencySummary;
  /** Latencies of refusals and of requests without a reply. */
  readonly failures: LatencySummary;
}

/**
 * Latency in milliseconds, measured from the time a request was due, so that a stall counts for
 * every request that it delays.
 */
export interface LatencySummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/**
 * Sends requests at a fixed rate, regardless of how fast replies arrive. Throws if an address is not
 * a loopback address.
 */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const invalidAddress = options.callers.find(
    (url) => !/^http:\/\/127\.\d+\.\d+\.\d+:\d+$/.test(url),
  );
  if (invalidAddress !== undefined)
    throw new Error(`caller address "${invalidAddress}" is not of the form http://127.x.x.x:PORT`);
  const rate = Math.min(options.requestsPerSecond, LOAD_LIMITS.requestsPerSecond);
  const total = Math.floor(rate * Math.min(options.seconds, LOAD_LIMITS.seconds));
  const run = new LoadRun(options);
  const start = options.clock.now();
  for (let n = 0; n < total; n++) {
    const due = start + (n * 1000) / rate;
    const early = due - options.clock.now();
    if (early > 0) await options.clock.sleep(early);
    run.send(n, due);
  }
  return run.finish();
}

/** Sends the requests of one run and collects their outcomes and latencies. */
class LoadRun {
  readonly #options: LoadOptions;
  readonly #agent = new Agent({ connections: LOAD_LIMITS.inFlight, pipelining: 1 });
  readonly #successes = newHistogram();
  readonly #failures = newHistogram();
  readonly #outcomes = new Map<string, number>();
  readonly #inFlight = new Set<Promise<void>>();
  #sent = 0;
  #skipped = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
  }

  send(n: number, due: number): void {
    if (this.#inFlight.size >= LOAD_LIMITS.inFlight) {
      this.#skipped++;
      return;
    }
    this.#sent++;
    const exchange = this.#exchange(n).then((outcome) => {
      const micros = Math.max(1, Math.round((this.#options.clock.now() - due) * 1000));
      (outcome.startsWith("2") ? this.#successes : this.#failures).recordValue(micros);
      this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
      this.#inFlight.delete(exchange);
    });
    this.#inFlight.add(exchange);
  }

  async finish(): Promise<LoadReport> {
    await Promise.all(this.#inFlight);
    await this.#agent.destroy();
    return {
      sent: this.#sent,
      skipped: this.#skipped,
      outcomes: Object.fromEntries(this.#outcomes),
      successes: summarize(this.#successes),
      failures: summarize(this.#failures),
    };
  }

  async #exchange(n: number): Promise<string> {
    const { callers, queue, key, body, headers, timeoutMs } = this.#options;
    const url = `${callers[n % callers.length]!}/v1/queues/${queue}/requests`;
    try {
      const { statusCode, body: answer } = await request(url, {
        method: "POST",
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(timeoutMs),
        headers: {
          "content-type": "application/json",
          "request-timeout-ms": String(timeoutMs),
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
          ...headers,
        },
        body: body(n),
      });
      const text = await answer.text();
      return statusCode < 300 ? String(statusCode) : `${statusCode} ${describeRefusal(text)}`;
    } catch (err) {
      const { code, name } = err as { readonly code?: unknown; readonly name: string };
      return `no answer: ${typeof code === "string" ? code : name}`;
    }
  }
}

function describeRefusal(text: string): string {
  try {
    const { type, ran } = JSON.parse(text) as { readonly type?: string; readonly ran?: string };
    return `${type?.split(":").at(-1) ?? "untyped"} ran=${ran ?? "absent"}`;
  } catch {
    return "no problem details";
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

function summarize(histogram: Histogram): LatencySummary {
  const ms = (micros: number): number => Math.round(micros / 10) / 100;
  const at = (percentile: number): number => ms(histogram.getValueAtPercentile(percentile));
  if (histogram.totalCount === 0) {
    return { count: 0, mean: 0, p50: 0, p90: 0, p99: 0, p999: 0, max: 0 };
  }
  return {
    count: histogram.totalCount,
    mean: ms(histogram.mean),
    p50: at(50),
    p90: at(90),
    p99: at(99),
    p999: at(99.9),
    max: ms(histogram.maxValue),
  };
}
