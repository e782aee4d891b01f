import type { Clock } from "../ports/clock.ts";
import type { TransferredRequest } from "../protocol/peer-messages.ts";
import { exportedRecord, importedRecord, type RequestRecord } from "../state/request-record.ts";
import type { RequestTable } from "../state/request-table.ts";
import { ownerMovingState } from "./refused-states.ts";
import type { RequestDriver } from "./request-driver.ts";

/** Options of {@link RequestRecords}. */
export interface RequestRecordsOptions {
  readonly clock: Clock;
  readonly table: RequestTable;
  readonly driver: RequestDriver;
}

/** Moves records between request owners together with the hash slots of their ids. */
export class RequestRecords {
  readonly #options: RequestRecordsOptions;

  constructor(options: RequestRecordsOptions) {
    this.#options = options;
  }

  /**
   * Exports the records of the matching ids, whose slots are frozen. Their queued requests leave
   * the queue until their owner is certain. Undefined if one of them is being started.
   */
  export(matches: (requestId: string) => boolean): readonly TransferredRequest[] | undefined {
    const { clock, driver } = this.#options;
    const exported: TransferredRequest[] = [];
    for (const record of this.#matching(matches)) {
      if (record.state.kind === "pending" && driver.suspend(record) === undefined) return undefined;
      exported.push(exportedRecord(record, clock.now()));
    }
    return exported;
  }

  /** Adds records of slots that this entry is about to own. */
  import(records: readonly TransferredRequest[]): boolean {
    const { clock, table, driver } = this.#options;
    for (const moved of records) {
      const record = importedRecord(moved, clock.now());
      table.add(record);
      if (record.state.kind === "pending") driver.beginImported(record);
      else table.finish(record, record.state);
    }
    return true;
  }

  /** Drops records that another entry now owns; waiting callers then query the new owner. */
  drop(matches: (requestId: string) => boolean): void {
    const { table, driver } = this.#options;
    for (const record of this.#matching(matches)) {
      driver.endForMovedOwner(record);
      if (record.state.kind === "pending") table.finish(record, ownerMovingState());
      table.remove(record.requestId);
    }
  }

  #matching(matches: (requestId: string) => boolean): readonly RequestRecord[] {
    return [...this.#options.table.records()].filter((record) => matches(record.requestId));
  }
}
