import type { Result } from "ts-results";
import {
  PeerConnection,
  PeerTransport,
  type PeerError,
  type PeerHandler,
} from "../src/ports/peer-transport.ts";
import type { Hello, PeerReply, PeerRequest, ReplyTo } from "../src/protocol/peer-messages.ts";
import type { PeerEnvelope } from "../src/protocol/peer-schemas.ts";
import { encodeFrame } from "../src/transport/frames.ts";

/** Call id whose encoded size is typical for a connection that has been open for some time. */
const TYPICAL_CALL_ID = 10_000;

/** Options of {@link CountingPeerTransport}. */
export interface CountingPeerTransportOptions {
  readonly inner: PeerTransport;
  /** Called with the size in bytes of each frame sent, for requests and replies. */
  readonly sent: (bytes: number) => void;
}

/** Reports the encoded size of each call and reply that a process sends to its peers. */
export class CountingPeerTransport extends PeerTransport {
  readonly #options: CountingPeerTransportOptions;

  constructor(options: CountingPeerTransportOptions) {
    super();
    this.#options = options;
  }

  listen(self: Hello, handler: PeerHandler): Promise<Result<void, string>> {
    const { inner, sent } = this.#options;
    return inner.listen(self, async (from, req) => {
      const reply: PeerReply = await handler(from, req);
      sent(encodedSize({ kind: "reply", callId: TYPICAL_CALL_ID, reply }));
      return reply;
    });
  }

  async connect(address: string, self: Hello): Promise<Result<PeerConnection, PeerError>> {
    const { inner, sent } = this.#options;
    const connection = await inner.connect(address, self);
    return connection.map((opened) => new CountingPeerConnection(opened, sent));
  }

  close(): Promise<void> {
    return this.#options.inner.close();
  }
}

class CountingPeerConnection extends PeerConnection {
  readonly #inner: PeerConnection;
  readonly #onSent: (bytes: number) => void;

  constructor(inner: PeerConnection, sent: (bytes: number) => void) {
    super();
    this.#inner = inner;
    this.#onSent = sent;
  }

  get remote(): Hello {
    return this.#inner.remote;
  }

  get open(): boolean {
    return this.#inner.open;
  }

  call<T extends PeerRequest>(req: T, timeoutMs: number): Promise<Result<ReplyTo<T>, PeerError>> {
    if (this.open) this.#onSent(encodedSize({ kind: "call", callId: TYPICAL_CALL_ID, req }));
    return this.#inner.call(req, timeoutMs);
  }

  close(): void {
    this.#inner.close();
  }
}

function encodedSize(envelope: PeerEnvelope): number {
  return encodeFrame(envelope).unwrap().length;
}
