import { Err } from "ts-results";
import { StartForwarder } from "../../../src/coordination/jobs/execution/start-forwarder.ts";
import type { BackendClock, OrderError, OrderResult } from "../../../src/ports/job-backend.ts";
import type { ForwardedStart } from "../../../src/protocol/start-orders.ts";
import type { VirtualClock } from "../virtual-clock.ts";
import type { EntryFaults } from "./entry-faults.ts";
import type { ClusterEntry } from "./job-cluster.ts";

/** Timeout in ms of a peer's response. */
const FORWARD_TIMEOUT_MS = 1400;

/** Forwards starts to another entry of the cluster, over the links of both entries. */
export class ClusterStartForwarder extends StartForwarder {
  /** Number of starts forwarded to a live peer. */
  forwarded = 0;
  readonly #clock: VirtualClock;
  readonly #entries: readonly ClusterEntry[];
  readonly #faults: EntryFaults;

  constructor(clock: VirtualClock, entries: readonly ClusterEntry[], faults: EntryFaults) {
    super();
    this.#clock = clock;
    this.#entries = entries;
    this.#faults = faults;
  }

  async start(peerAddress: string, start: ForwardedStart): OrderResult<BackendClock> {
    const target = this.#entries[Number(peerAddress.slice(1))];
    await this.#faults.link?.transfer(0);
    if (target?.alive !== true) return Err({ kind: "not-sent", detail: "the peer is unreachable" });
    this.forwarded++;
    const timeout: OrderResult<BackendClock> = this.#clock
      .sleep(FORWARD_TIMEOUT_MS)
      .then(() => Err({ kind: "unknown", detail: "no response from the peer" }));
    return Promise.race([this.#startAtPeer(target, start), timeout]);
  }

  /** A frozen peer carries out the order after it is thawed. */
  #startAtPeer(
    { faults, jobSpecs, connector }: ClusterEntry,
    { job, address, server, ...order }: ForwardedStart,
  ): OrderResult<BackendClock> {
    return faults.runInProcess(() => {
      const spec = jobSpecs.get(job);
      if (spec === undefined)
        return Promise.resolve(
          Err<OrderError>({ kind: "not-sent", detail: "the peer has no job spec" }),
        );
      return connector.connect(address, server).start({ ...order, spec });
    });
  }
}
