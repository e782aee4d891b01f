/** Counts the bytes that an entry instance sends and receives, by purpose. */
import type { Clock } from "../ports/clock.ts";
import type { Log } from "../ports/log.ts";

const REPORT_INTERVAL_MS = 5000;

/** Calls and bytes of one purpose. Bytes include bodies and headers. */
export interface Traffic {
  readonly calls: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

const NO_TRAFFIC: Traffic = { calls: 0, sentBytes: 0, receivedBytes: 0 };

/** Traffic by purpose since the last report. */
export class TrafficMeter {
  #byPurpose = new Map<string, Traffic>();

  /** Counts one call. */
  count(purpose: string, sentBytes: number, receivedBytes: number): void {
    const before = this.#byPurpose.get(purpose) ?? NO_TRAFFIC;
    this.#byPurpose.set(purpose, {
      calls: before.calls + 1,
      sentBytes: before.sentBytes + sentBytes,
      receivedBytes: before.receivedBytes + receivedBytes,
    });
  }

  /** Returns the counts by purpose and resets them. */
  take(): Readonly<Record<string, Traffic>> {
    const counts = Object.fromEntries(this.#byPurpose);
    this.#byPurpose = new Map();
    return counts;
  }
}

/** Options of {@link reportTraffic}. */
export interface TrafficReportOptions {
  readonly meter: TrafficMeter;
  readonly clock: Clock;
  readonly log: Log;
  /** Adds the traffic of a purpose to the metrics. */
  readonly add: (purpose: string, traffic: Traffic) => void;
}

/** Periodically logs traffic and adds it to the metrics, until the signal aborts. */
export async function reportTraffic(
  { meter, clock, log, add }: TrafficReportOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(REPORT_INTERVAL_MS, signal);
    const traffic = meter.take();
    for (const [purpose, counts] of Object.entries(traffic)) add(purpose, counts);
    log.info({ traffic: toLogRows(traffic), intervalMs: REPORT_INTERVAL_MS }, "traffic by purpose");
  }
}

/** Calls, bytes sent and bytes received by purpose. Arrays keep the log line short. */
function toLogRows(traffic: Readonly<Record<string, Traffic>>): Record<string, readonly number[]> {
  const rows: Record<string, readonly number[]> = {};
  for (const [purpose, { calls, sentBytes, receivedBytes }] of Object.entries(traffic))
    rows[purpose] = [calls, sentBytes, receivedBytes];
  return rows;
}
