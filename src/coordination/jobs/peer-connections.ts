import type { Log } from "../../ports/log.ts";
import type { PeerConnection, PeerTransport } from "../../ports/peer-transport.ts";
import type { Hello } from "../../protocol/peer-messages.ts";

/** Options of {@link PeerConnections}. */
export interface PeerConnectionsOptions {
  readonly transport: PeerTransport;
  readonly log: Log;
  readonly self: Hello;
}

/** Connections to other entry instances, opened on first use and then reused. */
export class PeerConnections {
  readonly #options: PeerConnectionsOptions;
  readonly #open = new Map<string, PeerConnection>();

  constructor(options: PeerConnectionsOptions) {
    this.#options = options;
  }

  /** Peer address of this entry instance. */
  get ownAddress(): string {
    return this.#options.self.address;
  }

  /** Returns an open connection to a peer; undefined if the peer is unreachable. */
  async get(address: string): Promise<PeerConnection | undefined> {
    const known = this.#open.get(address);
    if (known?.open === true) return known;
    const { transport, self, log } = this.#options;
    const opened = await transport.connect(address, self);
    if (opened.err) {
      log.info({ peer: address, err: opened.val }, "peer unreachable");
      this.drop(address);
      return undefined;
    }
    this.#open.set(address, opened.val);
    return opened.val;
  }

  /** Closes a connection on which a call failed. */
  drop(address: string): void {
    this.#open.get(address)?.close();
    this.#open.delete(address);
  }
}
