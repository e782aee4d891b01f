import { Err, type Result } from "ts-results";
import type { Random } from "../../ports/random.ts";
import type { RecordStore, StoreError } from "../../ports/record-store.ts";
import type { SessionRecord } from "../../protocol/job-records.ts";
import type { PeerReply, StoreCallRequest } from "../../protocol/peer-messages.ts";
import {
  decodeStoreCall,
  decodeStoreResult,
  encodeStoreCall,
  encodeStoreResult,
  type StoreCall,
} from "../../protocol/store-calls.ts";
import type { PeerConnections } from "./peer-connections.ts";
import { executeStoreCall } from "./store-call-execution.ts";

/** Peers that are asked for one call; more than are usually turned away together. */
const MAX_PEERS_ASKED = 3;

/** Options of {@link StorePeers}. */
export interface StorePeersOptions {
  readonly connections: PeerConnections;
  readonly random: Random;
  /** The store as this instance reaches it itself. */
  readonly direct: RecordStore;
  /** Live entry instances. */
  readonly sessions: () => readonly SessionRecord[];
}

/** Passes calls to the store on to peers that reach it, and answers such calls of peers. */
export class StorePeers {
  readonly #options: StorePeersOptions;
  /** Peer that answered last. */
  #preferred: string | undefined;

  constructor(options: StorePeersOptions) {
    this.#options = options;
  }

  /** Makes a call through the peers, one after the other, until one reaches the store. */
  async call(call: StoreCall, timeoutMs: number): Promise<Result<unknown, StoreError>> {
    let last: Result<unknown, StoreError> = Err({
      kind: "unavailable",
      detail: "no peer is known",
    });
    for (const address of this.#candidates()) {
      last = await this.#callOne(address, call, timeoutMs);
      if (last.ok || last.val.kind !== "unavailable") return last;
    }
    return last;
  }

  async #callOne(
    address: string,
    call: StoreCall,
    timeoutMs: number,
  ): Promise<Result<unknown, StoreError>> {
    const connection = await this.#options.connections.get(address);
    if (connection === undefined) return Err({ kind: "unavailable", detail: "no peer connection" });
    const request = { type: "store-call" as const, call: encodeStoreCall(call) };
    const reply = await connection.call(request, timeoutMs);
    if (reply.err) {
      this.#forget(address);
      const { kind } = reply.val;
      return Err({
        kind: kind === "ambiguous" ? "unknown" : "unavailable",
        detail: `peer: ${kind}`,
      });
    }
    const result = decodeStoreResult(reply.val.result);
    const reached =
      result.ok || (result.val.kind !== "unavailable" && result.val.kind !== "unknown");
    if (reached) this.#preferred = address;
    else if (this.#preferred === address) this.#preferred = undefined;
    return result;
  }

  /** The peer that reached the store last, then others in random order. */
  #candidates(): readonly string[] {
    const { sessions, connections, random } = this.#options;
    const others = sessions()
      .map(({ peerAddress }) => peerAddress)
      .filter((address) => address !== connections.ownAddress && address !== this.#preferred)
      .map((address) => ({ address, rank: random.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ address }) => address);
    const all = this.#preferred === undefined ? others : [this.#preferred, ...others];
    return all.slice(0, MAX_PEERS_ASKED);
  }

  #forget(address: string): void {
    this.#options.connections.drop(address);
    if (this.#preferred === address) this.#preferred = undefined;
  }

  /** Makes a peer's call. */
  async answer(req: StoreCallRequest): Promise<PeerReply> {
    const call = decodeStoreCall(req.call);
    const result =
      call === undefined
        ? Err<StoreError>({ kind: "unavailable", detail: "malformed call" })
        : await executeStoreCall(this.#options.direct, call);
    return { type: "store-call-reply", result: encodeStoreResult(result) };
  }
}
