import { Err, Ok, type Result } from "ts-results";
import {
  PeerConnection,
  PeerTransport,
  type PeerError,
} from "../../../src/ports/peer-transport.ts";
import {
  PEER_PROTOCOL_VERSION,
  type Hello,
  type PeerRequest,
  type ReplyTo,
} from "../../../src/protocol/peer-messages.ts";
import type { VirtualClock } from "../virtual-clock.ts";
import type { EntryFaults } from "./entry-faults.ts";
import type { ClusterEntry } from "./job-cluster.ts";

/** Connects one entry of a cluster to the executors of the others, over the links of both. */
export class ClusterPeers extends PeerTransport {
  /** Number of batches that reached a live peer. */
  batches = 0;
  readonly #clock: VirtualClock;
  readonly #entries: readonly ClusterEntry[];
  readonly #faults: EntryFaults;

  constructor(clock: VirtualClock, entries: readonly ClusterEntry[], faults: EntryFaults) {
    super();
    this.#clock = clock;
    this.#entries = entries;
    this.#faults = faults;
  }

  listen() {
    return Promise.resolve(Ok(undefined));
  }

  connect(address: string, self: Hello): Promise<Result<PeerConnection, PeerError>> {
    const target = this.#entries[Number(address.slice(1))];
    if (target?.alive !== true)
      return Promise.resolve(Err({ kind: "not-sent", detail: "the peer is unreachable" }));
    const call = (req: PeerRequest, timeoutMs: number) => this.#call(target, self, req, timeoutMs);
    return Promise.resolve(Ok(new ClusterPeerConnection(target, call)));
  }

  close() {
    return Promise.resolve();
  }

  async #call(
    target: ClusterEntry,
    self: Hello,
    req: PeerRequest,
    timeoutMs: number,
  ): Promise<Result<never, PeerError>> {
    const bytes = req.type === "order-batch" ? req.batch.length : 0;
    await this.#faults.link?.transfer(bytes);
    if (!target.alive) return Err({ kind: "ambiguous", detail: "connection closed" });
    this.batches++;
    const timeout = this.#clock
      .sleep(timeoutMs)
      .then((): Result<never, PeerError> => Err({ kind: "ambiguous", detail: "no reply" }));
    return Promise.race([this.#faults.runInProcess(() => deliver(target, self, req)), timeout]);
  }
}

/** A frozen peer handles the request after it is thawed. A killed one never replies. */
async function deliver(
  target: ClusterEntry,
  { incarnation }: Hello,
  req: PeerRequest,
): Promise<Result<never, PeerError>> {
  if (req.type !== "order-batch") return Err({ kind: "not-sent", detail: "no such handler" });
  const { faults, entry } = target;
  const reply = await faults.runInProcess(() => entry.executor.handle(incarnation, req));
  return target.alive
    ? Ok(reply as never)
    : Err({ kind: "ambiguous", detail: "connection closed" });
}

class ClusterPeerConnection extends PeerConnection {
  readonly #target: ClusterEntry;
  readonly #call: (req: PeerRequest, timeoutMs: number) => Promise<Result<never, PeerError>>;
  #closed = false;

  constructor(
    target: ClusterEntry,
    call: (req: PeerRequest, timeoutMs: number) => Promise<Result<never, PeerError>>,
  ) {
    super();
    this.#target = target;
    this.#call = call;
  }

  get remote(): Hello {
    return peerHello("remote");
  }

  get open(): boolean {
    return this.#target.alive && !this.#closed;
  }

  call<T extends PeerRequest>(req: T, timeoutMs: number): Promise<Result<ReplyTo<T>, PeerError>> {
    if (!this.open) return Promise.resolve(Err({ kind: "not-sent", detail: "closed" }));
    return this.#call(req, timeoutMs);
  }

  close(): void {
    this.#closed = true;
  }
}

/** Hello of the entry with the given name. */
export function peerHello(name: string): Hello {
  return {
    ...{ version: PEER_PROTOCOL_VERSION, incarnation: name, address: name },
    ...{ zone: "z", group: "" },
  };
}
