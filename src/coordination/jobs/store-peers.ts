import { Err, type Result } from "ts-results";
import type { Log } from "../../ports/log.ts";
import type { PeerConnection, PeerTransport } from "../../ports/peer-transport.ts";
import type { Random } from "../../ports/random.ts";
import type { RecordStore, StoreError } from "../../ports/record-store.ts";
import type { SessionRecord } from "../../protocol/job-records.ts";
import type { Hello, PeerReply, PeerRequest } from "../../protocol/peer-messages.ts";
import {
  decodeStoreCall,
  decodeStoreResult,
  encodeStoreCall,
  encodeStoreResult,
  type StoreCall,
} from "../../protocol/store-calls.ts";
import { executeStoreCall } from "./store-call-execution.ts";

/** Peers that are asked for one call; more than are usually turned away together. */
const MAX_PEERS_ASKED = 3;

/** Options of {@link StorePeers}. */
export interface StorePeersOptions {
  readonly transport: PeerTransport;
  readonly random: Random;
  readonly log: Log;
  /** The store as this instance reaches it itself. */
  readonly direct: RecordStore;
  readonly self: Hello;
  /** Live entry instances. */
  readonly sessions: () => readonly SessionRecord[];
}

/** Passes calls to the store on to peers that reach it, and answers such calls of peers. */
export class StorePeers {
  readonly #options: StorePeersOptions;
  readonly #connections = new Map<string, PeerConnection>();
  /** Peer that answered last. */
  #preferred: string | undefined;

  constructor(options: StorePeersOptions) {
    this.#options = options;
  }

  /** Accepts calls of peers. */
  listen(): Promise<Result<void, string>> {
    const { transport, self } = this.#options;
    return transport.listen(self, (_from, req) => this.#answer(req));
  }

  close(): Promise<void> {
    return this.#options.transport.close();
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
    const connection = await this.#connect(address);
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
    const { sessions, self, random } = this.#options;
    const others = sessions()
      .map(({ peerAddress }) => peerAddress)
      .filter((address) => address !== self.address && address !== this.#preferred)
      .map((address) => ({ address, rank: random.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ address }) => address);
    const all = this.#preferred === undefined ? others : [this.#preferred, ...others];
    return all.slice(0, MAX_PEERS_ASKED);
  }

  async #connect(address: string): Promise<PeerConnection | undefined> {
    const known = this.#connections.get(address);
    if (known?.open === true) return known;
    const { transport, self, log } = this.#options;
    const opened = await transport.connect(address, self);
    if (opened.err) {
      log.info({ peer: address, err: opened.val }, "peer not reached");
      this.#forget(address);
      return undefined;
    }
    this.#connections.set(address, opened.val);
    return opened.val;
  }

  #forget(address: string): void {
    this.#connections.get(address)?.close();
    this.#connections.delete(address);
    if (this.#preferred === address) this.#preferred = undefined;
  }

  async #answer(req: PeerRequest): Promise<PeerReply> {
    if (req.type !== "store-call") return { type: "ack", accepted: false };
    const call = decodeStoreCall(req.call);
    const result =
      call === undefined
        ? Err<StoreError>({ kind: "unavailable", detail: "malformed call" })
        : await executeStoreCall(this.#options.direct, call);
    return { type: "store-call-reply", result: encodeStoreResult(result) };
  }
}
