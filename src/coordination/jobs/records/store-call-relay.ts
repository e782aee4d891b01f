import { Err, type Result } from "ts-results";
import type { Random } from "../../../ports/random.ts";
import type { RecordStore, StoreError } from "../../../ports/record-store.ts";
import type { SessionRecord } from "../../../protocol/job-records.ts";
import type { PeerReply, StoreCallRequest } from "../../../protocol/peer-messages.ts";
import {
  decodeStoreCall,
  decodeStoreResult,
  encodeStoreCall,
  encodeStoreResult,
  type StoreCall,
} from "../../../protocol/store-calls.ts";
import type { PeerConnections } from "../peer-connections.ts";
import { executeStoreCall } from "./store-call-execution.ts";

/** Limit of peers tried per call; more than the store usually refuses at the same time. */
const MAX_PEERS_PER_CALL = 3;

/** Options of {@link StoreCallRelay}. */
export interface StoreCallRelayOptions {
  readonly connections: PeerConnections;
  readonly random: Random;
  /** The store without relaying. */
  readonly direct: RecordStore;
  /** Live entry instances. */
  readonly sessions: () => readonly SessionRecord[];
}

/** Relays store calls through peers that can reach the store, and executes calls of peers. */
export class StoreCallRelay {
  readonly #options: StoreCallRelayOptions;
  /** Address of the last peer that reached the store. */
  #preferred: string | undefined;

  constructor(options: StoreCallRelayOptions) {
    this.#options = options;
  }

  /** Relays a call, trying peers one after another until the result is other than `unavailable`. */
  async relay(call: StoreCall, timeoutMs: number): Promise<Result<unknown, StoreError>> {
    let last: Result<unknown, StoreError> = Err({
      kind: "unavailable",
      detail: "no peer is known",
    });
    for (const address of this.#candidates()) {
      last = await this.#callPeer(address, call, timeoutMs);
      if (last.ok || last.val.kind !== "unavailable") return last;
    }
    return last;
  }

  async #callPeer(
    address: string,
    call: StoreCall,
    timeoutMs: number,
  ): Promise<Result<unknown, StoreError>> {
    const connection = await this.#options.connections.get(address);
    if (connection === undefined) return Err({ kind: "unavailable", detail: "no peer connection" });
    const request = { type: "store-call" as const, call: encodeStoreCall(call) };
    const reply = await connection.call(request, timeoutMs);
    if (reply.err) {
      this.#dropPeer(address);
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

  /** Addresses to try: the preferred peer first, then other peers in random order. */
  #candidates(): readonly string[] {
    const { sessions, connections, random } = this.#options;
    const others = sessions()
      .map(({ peerAddress }) => peerAddress)
      .filter((address) => address !== connections.ownAddress && address !== this.#preferred)
      .map((address) => ({ address, rank: random.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ address }) => address);
    const all = this.#preferred === undefined ? others : [this.#preferred, ...others];
    return all.slice(0, MAX_PEERS_PER_CALL);
  }

  #dropPeer(address: string): void {
    this.#options.connections.drop(address);
    if (this.#preferred === address) this.#preferred = undefined;
  }

  /** Executes a store call of a peer. */
  async handleStoreCall(req: StoreCallRequest): Promise<PeerReply> {
    const call = decodeStoreCall(req.call);
    const result =
      call === undefined
        ? Err<StoreError>({ kind: "unavailable", detail: "malformed call" })
        : await executeStoreCall(this.#options.direct, call);
    return { type: "store-call-reply", result: encodeStoreResult(result) };
  }
}
