import { Err } from "ts-results";
import type {
  BackendClock,
  JobBackendConnector,
  OrderError,
  OrderResult,
} from "../../../ports/job-backend.ts";
import type { PeerReply, StartOrderRequest } from "../../../protocol/peer-messages.ts";
import {
  decodeForwardedStart,
  decodeStartResult,
  encodeForwardedStart,
  encodeStartResult,
  type ForwardedStart,
} from "../../../protocol/start-orders.ts";
import type { AcceptedJobSpecs } from "../../../state/jobs/admission/accepted-job-specs.ts";
import type { PeerConnections } from "../peer-connections.ts";

/** Timeout in ms of a peer's response; the peer waits up to 900 ms for the backend server. */
const FORWARD_TIMEOUT_MS = 1400;

/** Forwards start orders to peers, which send them to the backend servers. */
export abstract class StartForwarder {
  /** Forwards a start to the peer at an address. `not-sent`: no order reached a backend server. */
  abstract start(peerAddress: string, start: ForwardedStart): OrderResult<BackendClock>;
}

/** Options of {@link PeerStartForwarder}. */
export interface PeerStartForwarderOptions {
  readonly connections: PeerConnections;
  readonly connector: JobBackendConnector;
  readonly jobSpecs: AcceptedJobSpecs;
}

/**
 * Forwards starts to the entry instances that accepted the jobs, because they hold the job specs.
 * Needed where the scheduler's network link is too slow for the starts of a whole fleet. A peer
 * makes no decisions: fencing token, deadline and run number come from the scheduler, so the backend
 * server refuses late or repeated orders as if the scheduler had sent them directly.
 */
export class PeerStartForwarder extends StartForwarder {
  readonly #options: PeerStartForwarderOptions;

  constructor(options: PeerStartForwarderOptions) {
    super();
    this.#options = options;
  }

  async start(peerAddress: string, start: ForwardedStart): OrderResult<BackendClock> {
    const { connections } = this.#options;
    const connection = await connections.get(peerAddress);
    if (connection === undefined) return notSent("the peer is unreachable");
    const request = { type: "start-order", order: encodeForwardedStart(start) } as const;
    const reply = await connection.call(request, FORWARD_TIMEOUT_MS);
    if (reply.ok) return decodeStartResult(reply.val.result);
    const { kind } = reply.val;
    if (kind === "busy") return notSent("the peer is busy");
    connections.drop(peerAddress);
    if (kind === "not-sent") return notSent(reply.val.detail);
    return Err({ kind: "unknown", detail: `peer: ${reply.val.detail}` });
  }

  /** Sends a start order for the scheduler and returns the backend server's response. */
  async handleStartOrder({ order }: StartOrderRequest): Promise<PeerReply> {
    const start = decodeForwardedStart(order);
    const result = start === undefined ? notSent("malformed order") : await this.#sendStart(start);
    return { type: "start-order-reply", result: encodeStartResult(result) };
  }

  #sendStart({ job, address, server, ...order }: ForwardedStart): OrderResult<BackendClock> {
    const { connector, jobSpecs } = this.#options;
    const spec = jobSpecs.get(job);
    if (spec === undefined) return Promise.resolve(notSent("the job spec is not available"));
    return connector.connect(address, server).start({ ...order, spec });
  }
}

function notSent(detail: string): Err<OrderError> {
  return Err<OrderError>({ kind: "not-sent", detail });
}
