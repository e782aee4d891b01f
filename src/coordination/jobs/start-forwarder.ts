import { Err } from "ts-results";
import type {
  BackendClock,
  JobBackendConnector,
  OrderError,
  OrderResult,
} from "../../ports/job-backend.ts";
import type { PeerReply, StartOrderRequest } from "../../protocol/peer-messages.ts";
import {
  decodeStart,
  decodeStartResult,
  encodeStart,
  encodeStartResult,
  type CarriedStart,
} from "../../protocol/start-orders.ts";
import type { AcceptedJobSpecs } from "../../state/jobs/accepted-job-specs.ts";
import type { PeerConnections } from "./peer-connections.ts";

/** Time in ms for a peer's answer; the peer itself waits up to 900 ms for the backend server. */
const CARRIED_TIMEOUT_MS = 1400;

/** Has peers carry out starts. */
export abstract class StartForwarder {
  /** Orders a start through the peer at an address. `not-sent`: the peer certainly did nothing. */
  abstract start(peerAddress: string, start: CarriedStart): OrderResult<BackendClock>;
}

/** Options of {@link PeerStartForwarder}. */
export interface PeerStartForwarderOptions {
  readonly connections: PeerConnections;
  readonly connector: JobBackendConnector;
  readonly texts: AcceptedJobSpecs;
}

/**
 * Spreads starts over the entry instances that accepted the jobs, since they have their texts.
 * Answers links that do not carry the starts of a whole fleet. A peer decides nothing: token,
 * deadline and run are the scheduler's, so a late or repeated order is refused by the backend server
 * like one of the scheduler's own.
 */
export class PeerStartForwarder extends StartForwarder {
  readonly #options: PeerStartForwarderOptions;

  constructor(options: PeerStartForwarderOptions) {
    super();
    this.#options = options;
  }

  async start(peerAddress: string, start: CarriedStart): OrderResult<BackendClock> {
    const { connections } = this.#options;
    const connection = await connections.get(peerAddress);
    if (connection === undefined) return notSent("the peer is not reached");
    const request = { type: "start-order", order: encodeStart(start) } as const;
    const reply = await connection.call(request, CARRIED_TIMEOUT_MS);
    if (reply.ok) return decodeStartResult(reply.val.result);
    const { kind } = reply.val;
    if (kind === "busy") return notSent("the peer is busy");
    connections.drop(peerAddress);
    if (kind === "not-sent") return notSent(reply.val.detail);
    return Err({ kind: "unknown", detail: `peer: ${reply.val.detail}` });
  }

  /** Carries out the scheduler's start. */
  async answer({ order }: StartOrderRequest): Promise<PeerReply> {
    const start = decodeStart(order);
    const result = start === undefined ? notSent("malformed order") : await this.#carryOut(start);
    return { type: "start-order-reply", result: encodeStartResult(result) };
  }

  #carryOut({ job, address, server, ...order }: CarriedStart): OrderResult<BackendClock> {
    const { connector, texts } = this.#options;
    const spec = texts.get(job);
    if (spec === undefined) return Promise.resolve(notSent("the text of the job is not known"));
    return connector.connect(address, server).start({ ...order, spec });
  }
}

function notSent(detail: string): Err<OrderError> {
  return Err<OrderError>({ kind: "not-sent", detail });
}
