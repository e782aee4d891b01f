import { Err, Ok, type Result } from "ts-results";
import {
  PeerConnection,
  PeerTransport,
  type PeerError,
  type PeerHandler,
} from "../../src/ports/peer-transport.ts";
import type { Hello, PeerReply, PeerRequest, ReplyTo } from "../../src/protocol/peer-messages.ts";
import type { Links, Party } from "./links.ts";

/** Time a connection attempt may take, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** A party that accepts connections at the address in its hello. */
interface Listener {
  readonly party: Party;
  readonly hello: Hello;
  readonly handler: PeerHandler;
  closed: boolean;
}

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
  readonly links: Links;
  /** Called for each request when it is sent, so that a test can record it. */
  readonly observe?: (from: Hello, to: Hello, req: PeerRequest) => void;
  /** Called when a handler throws. Handlers must not throw. */
  readonly onThrow?: (to: Hello, error: unknown) => void;
}

/** In-memory network between entry instances. */
export class PeerNetwork {
  readonly options: PeerNetworkOptions;
  readonly #listeners = new Map<string, Listener>();

  constructor(options: PeerNetworkOptions) {
    this.options = options;
  }

  /** Hellos of the processes that accept connections. */
  get live(): readonly Hello[] {
    return [...this.#listeners.values()]
      .filter((listener) => !listener.closed && !listener.party.gate.dead)
      .map((listener) => listener.hello);
  }

  /** Creates the transport of one process. A replacement process needs a transport of its own. */
  transport(party: Party): PeerTransport {
    return new InMemoryTransport({ network: this, party, listeners: this.#listeners });
  }
}

interface TransportOptions {
  readonly network: PeerNetwork;
  readonly party: Party;
  readonly listeners: Map<string, Listener>;
}

class InMemoryTransport extends PeerTransport {
  readonly #options: TransportOptions;
  readonly #connections = new Set<PeerConnection>();
  #listener: Listener | undefined;

  constructor(options: TransportOptions) {
    super();
    this.#options = options;
  }

  listen(self: Hello, handler: PeerHandler): Promise<Result<void, string>> {
    const { listeners, party } = this.#options;
    const current = listeners.get(self.address);
    if (current !== undefined && !current.closed && !current.party.gate.dead) {
      return Promise.resolve(Err(`address in use: ${self.address}`));
    }
    this.#listener = { party, hello: self, handler, closed: false };
    listeners.set(self.address, this.#listener);
    return Promise.resolve(Ok(undefined));
  }

  async connect(address: string, self: Hello): Promise<Result<PeerConnection, PeerError>> {
    const { network, party, listeners } = this.#options;
    const target = listeners.get(address);
    if (target === undefined || target.closed || target.party.gate.dead) {
      return Err({ kind: "not-sent", detail: "connection refused" });
    }
    const { links } = network.options;
    const hello = (): Promise<Hello> => Promise.resolve(target.hello);
    const outcome = await links.call(party, target.party, hello, CONNECT_TIMEOUT_MS);
    if (outcome.kind !== "ok") return Err({ kind: "not-sent", detail: "no connection" });
    const connection = new InMemoryConnection({ network, party, target, self });
    this.#connections.add(connection);
    return Ok(connection);
  }

  close(): Promise<void> {
    if (this.#listener !== undefined) this.#listener.closed = true;
    for (const connection of this.#connections) connection.close();
    this.#connections.clear();
    return Promise.resolve();
  }
}

interface ConnectionOptions {
  readonly network: PeerNetwork;
  readonly party: Party;
  readonly target: Listener;
  readonly self: Hello;
}

class InMemoryConnection extends PeerConnection {
  readonly remote: Hello;
  readonly #options: ConnectionOptions;
  #closed = false;

  constructor(options: ConnectionOptions) {
    super();
    this.#options = options;
    this.remote = options.target.hello;
  }

  get open(): boolean {
    const { target } = this.#options;
    return !this.#closed && !target.closed && !target.party.gate.dead;
  }

  close(): void {
    this.#closed = true;
  }

  async call<T extends PeerRequest>(
    req: T,
    timeoutMs: number,
  ): Promise<Result<ReplyTo<T>, PeerError>> {
    if (!this.open) return Err({ kind: "not-sent", detail: "connection closed" });
    const { network, party, target, self } = this.#options;
    const { links, observe } = network.options;
    observe?.(self, target.hello, req);
    const copy = structuredClone(req);
    const outcome = await links.call(party, target.party, () => this.#handle(copy), timeoutMs);
    if (outcome.kind === "ok") return Ok(outcome.value as ReplyTo<T>);
    // The caller detects a lost connection, but not a slow or unresponsive peer.
    if (outcome.kind === "not-sent" || outcome.reset) this.#closed = true;
    if (outcome.kind === "not-sent") return Err({ kind: "not-sent", detail: "connection lost" });
    return Err({ kind: "ambiguous", detail: "no reply" });
  }

  async #handle(req: PeerRequest): Promise<PeerReply> {
    const { network, target, self } = this.#options;
    try {
      return structuredClone(await target.handler(self, req));
    } catch (error) {
      network.options.onThrow?.(target.hello, error);
      return new Promise(() => undefined);
    }
  }
}
