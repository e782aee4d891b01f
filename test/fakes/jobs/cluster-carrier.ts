import { Err } from "ts-results";
import { StartForwarder } from "../../../src/coordination/jobs/start-forwarder.ts";
import type { BackendClock, OrderError, OrderResult } from "../../../src/ports/job-backend.ts";
import type { ForwardedStart } from "../../../src/protocol/start-orders.ts";
import type { VirtualClock } from "../virtual-clock.ts";
import type { EntryWay } from "./entry-way.ts";
import type { ClusterEntry } from "./job-cluster.ts";

/** Time in ms for a peer's answer. */
const CARRIED_TIMEOUT_MS = 1400;

/** Has another entry of the cluster carry out starts, over the links of both. */
export class ClusterCarrier extends StartForwarder {
  /** Starts that a peer took. */
  carried = 0;
  readonly #clock: VirtualClock;
  readonly #entries: readonly ClusterEntry[];
  readonly #way: EntryWay;

  constructor(clock: VirtualClock, entries: readonly ClusterEntry[], way: EntryWay) {
    super();
    this.#clock = clock;
    this.#entries = entries;
    this.#way = way;
  }

  async start(peerAddress: string, start: ForwardedStart): OrderResult<BackendClock> {
    const target = this.#entries[Number(peerAddress.slice(1))];
    await this.#way.link?.carry(0);
    if (target?.alive !== true) return Err({ kind: "not-sent", detail: "not reached" });
    this.carried++;
    const given: OrderResult<BackendClock> = this.#clock
      .sleep(CARRIED_TIMEOUT_MS)
      .then(() => Err({ kind: "unknown", detail: "no answer of the peer" }));
    return Promise.race([this.#carryOut(target, start), given]);
  }

  /** A frozen peer carries the order out when it goes on. */
  #carryOut(
    { way, texts, connector }: ClusterEntry,
    { job, address, server, ...order }: ForwardedStart,
  ): OrderResult<BackendClock> {
    return way.pass(() => {
      const spec = texts.get(job);
      if (spec === undefined)
        return Promise.resolve(Err<OrderError>({ kind: "not-sent", detail: "no text" }));
      return connector.connect(address, server).start({ ...order, spec });
    });
  }
}
