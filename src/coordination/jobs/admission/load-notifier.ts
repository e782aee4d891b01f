import type { Log } from "../../../ports/log.ts";
import type { PeerConnections } from "../peer-connections.ts";

/** Timeout in ms of a peer's acknowledgement. A later report makes this one obsolete. */
const REPORT_TIMEOUT_MS = 1000;

/** Sends reports on the load of queues to other entry instances. */
export abstract class LoadNotifier {
  /** Sends an encoded report to a peer. Failures are not reported; a later report replaces it. */
  abstract send(peerAddress: string, report: Uint8Array): Promise<void>;
}

/** Sends reports over peer connections, at most one at a time to each peer. */
export class PeerLoadNotifier extends LoadNotifier {
  readonly #connections: PeerConnections;
  readonly #log: Log;
  readonly #sending = new Set<string>();

  constructor(connections: PeerConnections, log: Log) {
    super();
    this.#connections = connections;
    this.#log = log;
  }

  async send(peerAddress: string, report: Uint8Array): Promise<void> {
    if (this.#sending.has(peerAddress)) return;
    this.#sending.add(peerAddress);
    try {
      const connection = await this.#connections.get(peerAddress);
      if (connection === undefined) return;
      const reply = await connection.call({ type: "queue-load", report }, REPORT_TIMEOUT_MS);
      if (reply.ok) return;
      this.#log.info({ peer: peerAddress, err: reply.val }, "load report not acknowledged");
      if (reply.val.kind !== "busy") this.#connections.drop(peerAddress);
    } finally {
      this.#sending.delete(peerAddress);
    }
  }
}
