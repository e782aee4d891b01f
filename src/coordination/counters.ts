import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import {
  REFUSAL_REASONS,
  RETRY_REASONS,
  type RefusalReason,
  type RetryReason,
} from "../protocol/refusal.ts";
import { Counters } from "./ports.ts";

const PERCENTILES = [50, 90, 99, 99.9] as const;
const MAX_DURATION_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;

/** Counters of refusals, retries and events, and percentiles of durations, for Prometheus. */
export class MetricCounters extends Counters {
  readonly #registry = new Registry();
  readonly #histograms = new Map<string, Histogram>();
  readonly #refusals = new Counter({
    name: "teaselspool_refusals_total",
    help: "Refusals by reason",
    labelNames: ["reason"],
    registers: [this.#registry],
  });
  readonly #retries = new Counter({
    name: "teaselspool_retries_total",
    help: "Repeated or moved attempts by reason",
    labelNames: ["reason"],
    registers: [this.#registry],
  });
  readonly #events = new Counter({
    name: "teaselspool_events_total",
    help: "Other events by name",
    labelNames: ["event"],
    registers: [this.#registry],
  });
  readonly #bytes = new Counter({
    name: "teaselspool_bytes_total",
    help: "Bytes of calls to outside systems by purpose",
    labelNames: ["purpose", "direction"],
    registers: [this.#registry],
  });

  constructor() {
    super();
    for (const reason of REFUSAL_REASONS) this.#refusals.inc({ reason }, 0);
    for (const reason of RETRY_REASONS) this.#retries.inc({ reason }, 0);
    this.#registerDurations();
  }

  refusal(reason: RefusalReason): void {
    this.#refusals.inc({ reason });
  }

  retry(reason: RetryReason): void {
    this.#retries.inc({ reason });
  }

  event(name: string, count = 1): void {
    this.#events.inc({ event: name }, count);
  }

  /** Adds the bytes of calls to external systems. */
  traffic(purpose: string, sentBytes: number, receivedBytes: number): void {
    this.#bytes.inc({ purpose, direction: "sent" }, sentBytes);
    this.#bytes.inc({ purpose, direction: "received" }, receivedBytes);
  }

  duration(name: string, ms: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: MAX_DURATION_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      this.#histograms.set(name, histogram);
    }
    histogram.recordValue(Math.min(MAX_DURATION_MS, Math.max(0, Math.round(ms))));
  }

  /** A percentile of a duration in milliseconds; 0 if none was recorded. */
  percentile(name: string, percentile: number): number {
    return this.#histograms.get(name)?.getValueAtPercentile(percentile) ?? 0;
  }

  /** Every metric in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #registerDurations(): void {
    const histograms = this.#histograms;
    new Gauge({
      name: "teaselspool_duration_ms",
      help: "Percentiles of durations in milliseconds",
      labelNames: ["name", "percentile"],
      registers: [this.#registry],
      collect() {
        for (const [name, histogram] of histograms) {
          for (const percentile of PERCENTILES)
            this.set({ name, percentile }, histogram.getValueAtPercentile(percentile));
        }
      },
    });
    new Gauge({
      name: "teaselspool_duration_count",
      help: "Number of recorded durations",
      labelNames: ["name"],
      registers: [this.#registry],
      collect() {
        for (const [name, histogram] of histograms) this.set({ name }, histogram.totalCount);
      },
    });
  }
}
