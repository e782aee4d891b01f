import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import { LEARNT_KEY } from "../../../protocol/job-records.ts";
import { decodeLearnt, encodeLearnt } from "../../../protocol/learnt-record.ts";
import {
  LearntState,
  restoreQueue,
  restoreServer,
  type LearntAboutServer,
  type Moment,
} from "../../../state/jobs/records/learnt-state.ts";
import type { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";

/** Minimum time in ms between two writes of the record. */
const WRITE_INTERVAL_MS = 1000;
/** Attempts to read the record of the former scheduler, and the pause in ms after a failed one. */
const READ_ATTEMPTS = 20;
const READ_RETRY_MS = 100;

/** Options of {@link LearntRecordKeeper}. */
export interface LearntRecordKeeperOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly durations: DurationModels;
  readonly servers: () => Iterable<LearntAboutServer>;
  /** True once the registered servers are known. Before that, a write would lose what is stored. */
  readonly serversLoaded: () => boolean;
}

/**
 * Keeps what the scheduler has learnt in the store, and restores what its predecessor had learnt. The
 * record only improves decisions: without it a scheduler starts as if nothing were known.
 */
export class LearntRecordKeeper {
  readonly #options: LearntRecordKeeperOptions;
  readonly #state = new LearntState();

  constructor(options: LearntRecordKeeperOptions) {
    this.#options = options;
  }

  /** Reads the former scheduler's record, then writes changes until the tenure ends. */
  async run(): Promise<void> {
    const { clock, tenure, serversLoaded } = this.#options;
    // The first write comes after the read, so that it does not replace what is still to be read.
    await this.#read();
    let unwritten = false;
    while (!tenure.signal.aborted) {
      await clock.sleep(WRITE_INTERVAL_MS, tenure.signal);
      if (tenure.valid && serversLoaded()) unwritten = await this.#writeIfChanged(unwritten);
    }
  }

  /** Restores what is known of a server that was just registered. */
  serverOpened(server: LearntAboutServer): void {
    const entry = this.#state.serverEntry(server);
    if (entry !== undefined) restoreServer(entry, server, this.#moment());
  }

  async #read(): Promise<void> {
    const { store, clock, log, tenure, durations, servers } = this.#options;
    for (let attempt = 0; attempt < READ_ATTEMPTS && !tenure.signal.aborted; attempt++) {
      const record = await store.get(LEARNT_KEY);
      if (record.err) {
        await clock.sleep(READ_RETRY_MS, tenure.signal);
        continue;
      }
      if (record.val === undefined) return;
      const entries = decodeLearnt(record.val.value);
      if (typeof entries === "string") {
        log.warn({ key: LEARNT_KEY, problem: entries }, "learnt state is discarded");
        return;
      }
      this.#state.inherit(entries);
      for (const entry of entries) if (entry.kind === "queue") restoreQueue(entry, durations);
      for (const server of servers()) this.serverOpened(server);
      log.info({ entries: entries.length }, "learnt state restored");
      return;
    }
    if (!tenure.signal.aborted) log.warn({ key: LEARNT_KEY }, "learnt state not read");
  }

  /** Returns true if a change remains to be written. */
  async #writeIfChanged(unwritten: boolean): Promise<boolean> {
    const { store, log, tenure, durations, servers } = this.#options;
    const changed = this.#state.update(durations, servers(), this.#moment());
    if (!changed && !unwritten) return false;
    const put = { key: LEARNT_KEY, value: encodeLearnt(this.#state.entries) };
    const written = await store.commit({ conditions: [tenure.condition], puts: [put] });
    if (written.err) log.warn({ err: written.val }, "learnt state not written");
    return written.err;
  }

  #moment(): Moment {
    const { clock } = this.#options;
    return { now: clock.now(), wallTime: clock.wallTime() };
  }
}
