import type { Log } from "../../../ports/log.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import type { WaveRequest } from "../../../protocol/fleet-config.ts";
import { decodeWaveRecord, encodeWaveRecord, waveKey } from "../../../protocol/job-records.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import type { WaveProgress } from "./wave-progress.ts";

/** Options of {@link WaveRecords}. */
export interface WaveRecordsOptions {
  readonly store: RecordStore;
  readonly tenure: LockTenure;
  readonly log: Log;
}

/** Keeps the progress of maintenance waves in the store, for the next scheduler. */
export class WaveRecords {
  readonly #options: WaveRecordsOptions;

  constructor(options: WaveRecordsOptions) {
    this.#options = options;
  }

  /** Returns the stored progress of a wave; undefined if the read failed. */
  async read(request: WaveRequest): Promise<WaveProgress | undefined> {
    const record = await this.#options.store.get(waveKey(request.wave));
    if (record.err) return undefined;
    const stored = record.val === undefined ? undefined : decodeWaveRecord(record.val.value);
    return {
      request,
      done: new Set(stored?.maintained),
      ongoing: new Map(),
      reservations: new Map(),
      postponedUntil: new Map(),
      missing: new Map(),
      reported: stored?.completed === true ? "completed" : "nothing",
    };
  }

  /** Stores a wave's progress. A failed write only causes repeated orders after a takeover. */
  async write(
    { request, done }: WaveProgress,
    { completed }: { readonly completed: boolean },
  ): Promise<void> {
    const { store, tenure, log } = this.#options;
    const value = encodeWaveRecord({ maintained: [...done], completed });
    const put = { key: waveKey(request.wave), value };
    const result = await store.commit({ conditions: [tenure.condition], puts: [put] });
    if (result.err)
      log.warn({ wave: request.wave, err: result.val }, "wave progress could not be stored");
  }
}
