import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import {
  decodeTenureAges,
  encodeTenureAges,
  TENURE_AGES_KEY,
} from "../../../protocol/job-records.ts";
import { TenureAges } from "../../../state/jobs/election/tenure-ages.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";

/** Interval in ms of the writes. A successor counts up to this time too little. */
const WRITE_INTERVAL_MS = 1000;

/** Options of {@link TenureAgeKeeper}. */
export interface TenureAgeKeeperOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  /** Monotonic time in ms at which this scheduler took over. */
  readonly takenOverAt: number;
  /** True while a successor would need the age of this tenure. */
  readonly needed: () => boolean;
}

/** Keeps the age of a tenure in the store while a successor would need it, beside those of earlier ones. */
export class TenureAgeKeeper {
  readonly #options: TenureAgeKeeperOptions;
  #former: TenureAges;

  constructor(options: TenureAgeKeeperOptions) {
    this.#options = options;
    this.#former = new TenureAges([], options.takenOverAt);
  }

  /** Reads the ages that earlier schedulers recorded; none if the read fails. */
  async read(): Promise<TenureAges> {
    const { store, takenOverAt } = this.#options;
    const record = await store.get(TENURE_AGES_KEY);
    const value = record.ok ? record.val?.value : undefined;
    const stored = value === undefined ? undefined : decodeTenureAges(value);
    this.#former = new TenureAges(stored ?? [], takenOverAt);
    return this.#former;
  }

  /** Writes until the tenure ends. */
  async run(): Promise<void> {
    const { clock, tenure, needed } = this.#options;
    while (!tenure.signal.aborted) {
      await clock.sleep(WRITE_INTERVAL_MS, tenure.signal);
      if (tenure.valid && needed()) await this.#write();
    }
  }

  async #write(): Promise<void> {
    const { store, clock, log, tenure } = this.#options;
    const own = { token: tenure.token, ageMs: Math.floor(tenure.minAgeMs) };
    const value = encodeTenureAges(this.#former.toRecord(own, clock.now()));
    const put = { key: TENURE_AGES_KEY, value };
    const written = await store.commit({ conditions: [tenure.condition], puts: [put] });
    if (written.err) log.warn({ err: written.val }, "age of the tenure not written");
  }
}
