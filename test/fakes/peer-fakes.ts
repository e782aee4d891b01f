/** Fakes of request ownership and peers. */
import { Err, Ok, type Result } from "ts-results";
import type { PeerError } from "../../src/ports/peer-transport.ts";
import type {
  GossipMessage,
  Hello,
  PeerReply,
  PeerRequest,
  ReplyTo,
} from "../../src/protocol/peer-messages.ts";
import { OutageView } from "../../src/coordination/config-follower.ts";
import {
  RequestOwnership,
  Peers,
  type OwnerLookup,
  type UnrecordedIdStatus,
  type PeerState,
} from "../../src/coordination/ports.ts";
import { gossipMessage, helloOf } from "./builders.ts";
import type { VirtualClock } from "./virtual-clock.ts";

/** Ids `<incarnation>.<n>` are owned by their issuer, unless `lookupOverrides` overrides the lookup. */
export class FakeRequestOwnership extends RequestOwnership {
  readonly lookupOverrides = new Map<string, OwnerLookup>();
  readonly idStatuses = new Map<string, UnrecordedIdStatus>();
  readonly retiredIncarnations = new Set<string>();
  #issued = 0;

  constructor(readonly self: string) {
    super();
  }

  issue(): string {
    return `${this.self}.${++this.#issued}`;
  }

  requestId(team: string | undefined, queue: string, callerKey: string): string {
    return callerKey.includes(".") ? callerKey : `${team ?? ""}:${queue}:${callerKey}`;
  }

  lookup(requestId: string): OwnerLookup {
    const placed = this.lookupOverrides.get(requestId);
    if (placed !== undefined) return placed;
    const incarnation = /^(e\d+)\./.exec(requestId)?.[1] ?? "e1";
    if (incarnation === this.self) return { kind: "self" };
    return { kind: "peer", incarnation };
  }

  classify(requestId: string): UnrecordedIdStatus {
    return this.idStatuses.get(requestId) ?? "fresh";
  }

  isRetired(incarnation: string): boolean {
    return this.retiredIncarnations.has(incarnation);
  }
}

/** Decides what the network does with a call: deliver it, lose it, or lose its reply. */
export type CallRule = (
  to: string,
  req: PeerRequest,
) => "deliver" | "not-sent" | "lose-call" | "lose-reply";

export class FakePeers extends Peers {
  readonly self: Hello;
  readonly sent: { readonly to: string; readonly req: PeerRequest }[] = [];
  readonly states = new Map<string, PeerState>();
  readonly handlers = new Map<string, (from: Hello, req: PeerRequest) => Promise<PeerReply>>();
  rule: CallRule = () => "deliver";

  constructor(
    incarnation: string,
    readonly clock: VirtualClock,
  ) {
    super();
    this.self = helloOf(incarnation);
  }

  async call<T extends PeerRequest>(
    to: string,
    req: T,
    timeoutMs: number,
  ): Promise<Result<ReplyTo<T>, PeerError>> {
    this.sent.push({ to, req });
    const handler = this.handlers.get(to);
    const outcome = this.rule(to, req);
    await this.clock.sleep(1);
    if (handler === undefined || outcome === "not-sent")
      return Err({ kind: "not-sent", detail: "no connection" });
    const reply =
      outcome === "lose-call" ? new Promise<never>(() => undefined) : handler(this.self, req);
    const timeout = this.clock.sleep(timeoutMs).then(() => undefined);
    const result = await Promise.race([outcome === "lose-reply" ? timeout : reply, timeout]);
    if (result === undefined) return Err({ kind: "ambiguous", detail: "no reply" });
    await this.clock.sleep(1);
    return Ok(result as ReplyTo<T>);
  }

  gossip(): ReadonlyMap<string, PeerState> {
    return this.states;
  }

  /** Applies a peer's state, as if received by gossip. */
  receiveGossip(hello: Hello, part: Partial<GossipMessage>): void {
    const message = gossipMessage(part);
    this.states.set(hello.incarnation, { hello, message, requestedAt: this.clock.now() });
  }

  announceLeaving(): void {
    throw new Error("announceLeaving is not supported: the request path never calls it");
  }
}

/** An outage view with zones `a`, `b` and `c`, and peer states that tests set. */
export class FakeOutageView extends OutageView {
  readonly states = new Map<string, PeerState>();

  zones(): ReadonlySet<string> {
    return new Set(["a", "b", "c"]);
  }

  peers(): Iterable<PeerState> {
    return this.states.values();
  }
}
