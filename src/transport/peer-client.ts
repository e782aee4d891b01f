import * as v from "valibot";
import { Err, Ok, type Result } from "ts-results";
import type { Clock, Timer } from "../ports/clock.ts";
import { PeerConnection, type PeerError } from "../ports/peer-transport.ts";
import type { Hello, PeerReply, PeerRequest, ReplyTo } from "../protocol/peer-messages.ts";
import { REPLY_SCHEMAS, ReplyEnvelopeSchema, type PeerEnvelope } from "../protocol/peer-schemas.ts";
import { encodeFrame } from "./frames.ts";
import type { EventCounter, FrameSocket, OutgoingFrame } from "./frame-socket.ts";

/** Limit of calls that wait for a reply on one connection. */
export const MAX_CALLS_IN_FLIGHT = 256;

/**
 * When a call times out, the connection is closed if no frame has arrived since a call that was made
 * at least this long ago. After a partition, TCP retransmits with a backoff of up to two minutes, but
 * a new connection works at once.
 */
const MAX_UNRESPONSIVE_MS = 3000;

interface PendingCall {
  readonly type: PeerRequest["type"];
  readonly frame: OutgoingFrame;
  readonly timer: Timer;
  readonly resolve: (result: Result<PeerReply, PeerError>) => void;
}

/** Options of {@link TcpPeerConnection}. */
export interface TcpPeerConnectionOptions {
  readonly clock: Clock;
  readonly counter: EventCounter;
  readonly socket: FrameSocket;
  readonly remote: Hello;
}

/** The client side of a connection between two peers. */
export class TcpPeerConnection extends PeerConnection {
  readonly remote: Hello;
  readonly #clock: Clock;
  readonly #counter: EventCounter;
  readonly #socket: FrameSocket;
  readonly #pending = new Map<number, PendingCall>();
  #callId = 0;
  /** Time of the first call since the last received frame; undefined if there is no such call. */
  #unansweredSince: number | undefined;

  constructor({ clock, counter, socket, remote }: TcpPeerConnectionOptions) {
    super();
    this.#clock = clock;
    this.#counter = counter;
    this.#socket = socket;
    this.remote = remote;
  }

  get open(): boolean {
    return this.#socket.open;
  }

  call<T extends PeerRequest>(req: T, timeoutMs: number): Promise<Result<ReplyTo<T>, PeerError>> {
    if (!this.open) return Promise.resolve(Err(notSent("connection closed")));
    if (this.#pending.size >= MAX_CALLS_IN_FLIGHT) {
      this.#counter.event("peer_calls_full");
      return Promise.resolve(Err({ kind: "busy" }));
    }
    const callId = ++this.#callId;
    const bytes = encodeFrame({ kind: "call", callId, req } satisfies PeerEnvelope);
    if (bytes.err) return Promise.resolve(Err(notSent(bytes.val)));
    // The cast is safe: #handleReply validates the reply against the schema of the request type.
    return new Promise((resolve) => {
      this.#sendCall(callId, req.type, bytes.val, timeoutMs, (result) => {
        resolve(result as Result<ReplyTo<T>, PeerError>);
      });
    });
  }

  close(): void {
    this.#socket.close();
  }

  /** Matches replies with calls until the connection ends. `frames` are those after the hello. */
  async run(frames: AsyncIterable<unknown>): Promise<void> {
    for await (const frame of frames) {
      this.#unansweredSince = undefined;
      if (!this.#handleReply(frame)) {
        this.#socket.fail("reply_malformed");
        break;
      }
    }
    this.#socket.close();
    for (const callId of [...this.#pending.keys()]) this.#abandon(callId, "connection closed");
  }

  #sendCall(
    callId: number,
    type: PeerRequest["type"],
    bytes: Buffer,
    timeoutMs: number,
    resolve: PendingCall["resolve"],
  ): void {
    const frame = this.#socket.send(bytes);
    const timer = this.#clock.schedule(timeoutMs, () => {
      this.#abandon(callId, `no reply within ${timeoutMs} ms`);
      this.#closeIfUnresponsive();
    });
    this.#pending.set(callId, { type, frame, timer, resolve });
    this.#unansweredSince ??= this.#clock.now();
    void frame.done.then((written) => {
      if (!written) this.#abandon(callId, "connection closed");
    });
  }

  /** Settles the call that the frame replies to. Returns false if the frame is malformed. */
  #handleReply(frame: unknown): boolean {
    const parsed = v.safeParse(ReplyEnvelopeSchema, frame);
    if (!parsed.success) return false;
    const envelope = parsed.output;
    const call = this.#pending.get(envelope.callId);
    if (call === undefined) {
      this.#counter.event("peer_reply_unmatched");
      return true;
    }
    if (envelope.kind === "busy") this.#finish(envelope.callId, Err({ kind: "busy" }));
    else if (envelope.kind === "failed") {
      this.#finish(envelope.callId, Err({ kind: "ambiguous", detail: envelope.detail }));
    } else {
      const reply = v.safeParse<v.GenericSchema<unknown, PeerReply>>(
        REPLY_SCHEMAS[call.type],
        envelope.reply,
      );
      if (!reply.success) return false;
      this.#finish(envelope.callId, Ok(reply.output));
    }
    return true;
  }

  /** Settles a call without a reply: `ambiguous` if it was written, otherwise `not-sent`. */
  #abandon(callId: number, detail: string): void {
    const call = this.#pending.get(callId);
    if (call === undefined) return;
    call.frame.cancel();
    this.#finish(callId, Err(call.frame.written ? { kind: "ambiguous", detail } : notSent(detail)));
  }

  #finish(callId: number, result: Result<PeerReply, PeerError>): void {
    const call = this.#pending.get(callId);
    if (call === undefined) return;
    this.#pending.delete(callId);
    call.timer.cancel();
    call.resolve(result);
  }

  #closeIfUnresponsive(): void {
    if (this.#unansweredSince === undefined) return;
    if (this.#clock.now() - this.#unansweredSince >= MAX_UNRESPONSIVE_MS)
      this.#socket.fail("silent");
  }
}

function notSent(detail: string): PeerError {
  return { kind: "not-sent", detail };
}
