import type { Log } from "../../../ports/log.ts";
import type { WrittenRecord } from "../../../protocol/peer-messages.ts";
import type { PeerConnections } from "../peer-connections.ts";

/** Timeout in ms of the acknowledgement; by then the scheduler's watch has reported the records. */
const NOTIFICATION_TIMEOUT_MS = 1000;

/** Notifies the scheduler of new records early. Its watch reports them later in any case. */
export abstract class RecordNotifier {
  abstract notify(schedulerAddress: string, records: readonly WrittenRecord[]): Promise<void>;
}

/** Sends notifications to the scheduler's peer address. */
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
    const reply = await connection.call(
      { type: "record-notice", records },
      NOTIFICATION_TIMEOUT_MS,
    );
    if (reply.ok) return;
    this.#log.info(
      { peer: schedulerAddress, err: reply.val },
      "scheduler did not acknowledge a notification",
    );
    if (reply.val.kind !== "busy") this.#connections.drop(schedulerAddress);
  }
}
