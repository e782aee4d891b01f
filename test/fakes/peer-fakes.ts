/** Fakes of homes and peers. */
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

/** Ids `<incarnation>.<n>` are at home where issued; ids in `moved` at the named entry. */
export class FakeHomes extends RequestOwnership {
  readonly placed = new Map<string, OwnerLookup>();
  readonly verdicts = new Map<string, UnrecordedIdStatus>();
  readonly retiredOnes = new Set<string>();
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
    const placed = this.placed.get(requestId);
    if (placed !== undefined) return placed;
    const incarnation = /^(e\d+)\./.exec(requestId)?.[1] ?? "e1";
    if (incarnation === this.self) return { kind: "self" };
    return { kind: "peer", incarnation };
  }

  classify(requestId: string): UnrecordedIdStatus {
    return this.verdicts.get(requestId) ?? "fresh";
  }

  retired(incarnation: string): boolean {
    return this.retiredOnes.has(incarnation);
  }
}

/** What the network does with one call: deliver, lose it, or lose the reply. */
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
    const fate = this.rule(to, req);
    await this.clock.sleep(1);
    if (handler === undefined || fate === "not-sent")
      return Err({ kind: "not-sent", detail: "no connection" });
    const reply =
      fate === "lose-call" ? new Promise<never>(() => undefined) : handler(this.self, req);
    const timeout = this.clock.sleep(timeoutMs).then(() => undefined);
    const done = await Promise.race([fate === "lose-reply" ? timeout : reply, timeout]);
    if (done === undefined) return Err({ kind: "ambiguous", detail: "no reply" });
    await this.clock.sleep(1);
    return Ok(done as ReplyTo<T>);
  }

  gossip(): ReadonlyMap<string, PeerState> {
    return this.states;
  }

  /** Takes a peer's loads as its gossip would bring them. */
  hear(hello: Hello, part: Partial<GossipMessage>): void {
    const message = gossipMessage(part);
    this.states.set(hello.incarnation, { hello, message, receivedAt: this.clock.now() });
  }

  announceLeaving(): void {
    throw new Error("not used by the request path");
  }
}

/** Zones `a`, `b` and `c`, and the peers' states by zone. */
export class FakeOutage extends OutageView {
  readonly states = new Map<string, PeerState>();

  zones(): ReadonlySet<string> {
    return new Set(["a", "b", "c"]);
  }

  peers(): Iterable<PeerState> {
    return this.states.values();
  }
}
