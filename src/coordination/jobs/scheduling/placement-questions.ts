import type { PeerConnections } from "../peer-connections.ts";

/** Timeout in ms of the scheduler's answer. */
const ANSWER_TIMEOUT_MS = 1000;

/** Passes operators' questions about the placement of a job to the scheduler. */
export abstract class PlacementQuestions {
  /** Returns the encoded explanation; undefined if the scheduler did not answer. */
  abstract ask(schedulerAddress: string, job: Uint8Array): Promise<Uint8Array | undefined>;
}

/** Asks over a peer connection. */
export class PeerPlacementQuestions extends PlacementQuestions {
  readonly #connections: PeerConnections;

  constructor(connections: PeerConnections) {
    super();
    this.#connections = connections;
  }

  async ask(schedulerAddress: string, job: Uint8Array): Promise<Uint8Array | undefined> {
    const connection = await this.#connections.get(schedulerAddress);
    const reply = await connection?.call({ type: "where", job }, ANSWER_TIMEOUT_MS);
    return reply?.ok === true ? reply.val.explanation : undefined;
  }
}
