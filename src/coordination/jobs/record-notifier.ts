import type { Log } from "../../ports/log.ts";
import type { WrittenRecord } from "../../protocol/peer-messages.ts";
import type { PeerConnections } from "./peer-connections.ts";

/** Time in ms for the scheduler's acknowledgement; later its watch has shown the records. */
const NOTICE_TIMEOUT_MS = 1000;

/** Tells the scheduler of records that were just stored. Its watch shows them in any case. */
export abstract class RecordNotifier {
  abstract notify(schedulerAddress: string, records: readonly WrittenRecord[]): Promise<void>;
}

/** Sends notices to the scheduler's peer address. */
export class PeerRecordNotifier extends RecordNotifier {
  readonly #connections: PeerConnections;
  readonly #log: Log;

  constructor(connections: PeerConnections, log: Log) {
    super();
    this.#connections = connections;
    this.#log = log;
  }

  async notify(schedulerAddress: string, records: readonly WrittenRecord[]): Promise<void> {
    const connection = await this.#connections.get(schedulerAddress);
    if (connection === undefined) return;
    const reply = await connection.call({ type: "record-notice", records }, NOTICE_TIMEOUT_MS);
    if (reply.ok) return;
    this.#log.info({ peer: schedulerAddress, err: reply.val }, "scheduler did not take a notice");
    if (reply.val.kind !== "busy") this.#connections.drop(schedulerAddress);
  }
}
