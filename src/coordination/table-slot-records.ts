import type { Clock } from "../platform/clock.ts";
import type { SlotRecord } from "../protocol/peer-messages.ts";
import type { RequestRecord } from "../state/request-record.ts";
import type { RequestTable } from "../state/request-table.ts";
import { SlotRecords } from "./slot-transfer.ts";

/** Bodies are not moved: a finished request is compared by its digest. */
const NO_PAYLOAD = { contentType: "application/octet-stream", body: new Uint8Array() };

/** Options of {@link TableSlotRecords}. */
export interface TableSlotRecordsOptions {
  readonly table: RequestTable;
  readonly clock: Clock;
}

/** Moves finished requests of the table between homes. */
export class TableSlotRecords extends SlotRecords {
  readonly #options: TableSlotRecordsOptions;

  constructor(options: TableSlotRecordsOptions) {
    super();
    this.#options = options;
  }

  /** Undefined while one of the requests is pending, because only this entry may dispatch it. */
  export(matches: (requestId: string) => boolean): readonly SlotRecord[] | undefined {
    const records = this.#matching(matches);
    if (records.some((record) => record.state.kind === "pending")) return undefined;
    return records.map(toSlotRecord);
  }

  import(records: readonly SlotRecord[]): boolean {
    const { table, clock } = this.#options;
    for (const record of records) table.add(toRequestRecord(record, clock.now()));
    return true;
  }

  drop(matches: (requestId: string) => boolean): void {
    for (const record of this.#matching(matches)) this.#options.table.remove(record.requestId);
  }

  #matching(matches: (requestId: string) => boolean): readonly RequestRecord[] {
    return [...this.#options.table.records()].filter((record) => matches(record.requestId));
  }
}

function toSlotRecord(record: RequestRecord): SlotRecord {
  const { requestId, team, queue, priority, idempotent, digest = "" } = record;
  return {
    spec: { requestId, team, queue, priority, idempotent, timeoutMs: 0, payload: NO_PAYLOAD },
    digest,
    state: record.state,
    acceptedAt: record.acceptedAt,
    attempt: record.attempt,
  };
}

function toRequestRecord(moved: SlotRecord, now: number): RequestRecord {
  const { spec, state, digest, acceptedAt, attempt } = moved;
  const { requestId, team, queue, priority, idempotent } = spec;
  return {
    requestId,
    team,
    queue,
    priority,
    idempotent,
    digest: digest === "" ? undefined : digest,
    acceptedAt,
    deadline: now,
    pinned: !idempotent,
    payload: undefined,
    state,
    attempt,
    runs: attempt,
    ran: state.kind === "refused" ? state.ran : "yes",
    cancelRequested: false,
    failures: [],
  };
}
