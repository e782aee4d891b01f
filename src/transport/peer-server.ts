import * as v from "valibot";
import type { Log } from "../ports/log.ts";
import type { PeerHandler } from "../ports/peer-transport.ts";
import type { Hello, PeerRequest } from "../protocol/peer-messages.ts";
import { CallEnvelopeSchema, type PeerEnvelope } from "../protocol/peer-schemas.ts";
import { encodeFrame } from "./frames.ts";
import type { EventCounter, FrameSocket } from "./frame-socket.ts";
import { MAX_CALLS_IN_FLIGHT } from "./peer-client.ts";

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly counter: EventCounter;
  readonly log: Pick<Log, "error">;
  readonly socket: FrameSocket;
  readonly remote: Hello;
  readonly handler: PeerHandler;
}

/** The server side of a connection between two peers. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  #inFlight = 0;

  constructor(options: PeerServerOptions) {
    this.#options = options;
  }

  /** Handles calls until the connection ends. `frames` are those after the hello. */
  async run(frames: AsyncIterable<unknown>): Promise<void> {
    const { counter, socket } = this.#options;
    for await (const frame of frames) {
      const parsed = v.safeParse(CallEnvelopeSchema, frame);
      if (!parsed.success) {
        socket.fail("call_malformed");
        return;
      }
      const { callId, req } = parsed.output;
      if (this.#inFlight >= MAX_CALLS_IN_FLIGHT) {
        counter.event("peer_busy");
        // Waits for the write, to stop reading from a peer that does not read its replies.
        await this.#send({ kind: "busy", callId });
      } else {
        void this.#handleCall(callId, req);
      }
    }
    socket.close();
  }

  async #handleCall(callId: number, req: PeerRequest): Promise<void> {
    const { counter, log, handler, remote } = this.#options;
    this.#inFlight++;
    try {
      const reply = await handler(remote, req);
      if (!(await this.#send({ kind: "reply", callId, reply }))) {
        counter.event("peer_reply_unsent");
      }
    } catch (err) {
      counter.event("peer_handler_failed");
      log.error({ err, type: req.type, peer: remote.incarnation }, "peer call failed");
      await this.#send({ kind: "failed", callId, detail: "internal error at the peer" });
    } finally {
      this.#inFlight--;
    }
  }

  /** Resolves to false if the envelope was not written. */
  async #send(envelope: PeerEnvelope): Promise<boolean> {
    const bytes = encodeFrame(envelope);
    if (bytes.ok) return this.#options.socket.send(bytes.val).done;
    this.#options.counter.event("peer_reply_oversized");
    const { callId } = envelope;
    return this.#send({ kind: "failed", callId, detail: "the reply is too large" });
  }
}
