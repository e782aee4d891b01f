import type { Result } from "ts-results";
import type { Hello, PeerReply, PeerRequest, ReplyTo } from "../protocol/peer-messages.ts";

/** Why a call to a peer failed. */
export type PeerError =
  /** The peer did not process the call. */
  | { readonly kind: "not-sent"; readonly detail: string }
  /** The call was sent and no reply arrived. */
  | { readonly kind: "ambiguous"; readonly detail: string }
  /** The peer refused the call unprocessed because too many were in flight. */
  | { readonly kind: "busy" };

/** An outgoing connection to one peer. Only this side sends requests on it. */
export abstract class PeerConnection {
  /** Hello message that the peer sent when the connection was opened. */
  abstract readonly remote: Hello;
  /** Sends a request and waits for its reply, at most `timeoutMs` milliseconds. */
  abstract call<T extends PeerRequest>(
    req: T,
    timeoutMs: number,
  ): Promise<Result<ReplyTo<T>, PeerError>>;
  abstract close(): void;
  /** True until either side or the network closed the connection. */
  abstract readonly open: boolean;
}

/** Handles a request from a peer and returns the reply. */
export type PeerHandler = (from: Hello, req: PeerRequest) => Promise<PeerReply>;

/** Opens and accepts connections between entry instances. */
export abstract class PeerTransport {
  /** Accepts connections until {@link PeerTransport.close}. */
  abstract listen(self: Hello, handler: PeerHandler): Promise<Result<void, string>>;
  abstract connect(address: string, self: Hello): Promise<Result<PeerConnection, PeerError>>;
  /** Stops listening and closes every connection. */
  abstract close(): Promise<void>;
}
