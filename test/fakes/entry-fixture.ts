/** Creates request paths on top of fakes, and connects them to each other. */
import { RequestPath } from "../../src/coordination/request-path.ts";
import type { RequestMessage } from "../../src/coordination/peer-requests.ts";
import type { CallerReply, CallerRequest } from "../../src/coordination/ports.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import { ENTRY_DEFAULTS, type EntrySettings } from "../../src/settings/entry-settings.ts";
import {
  FakeBudgets,
  FakeConfig,
  FakeFleet,
  FakeHeldServers,
  fixtureConfig,
} from "./entry-fakes.ts";
import { FakeRequestOwnership, FakePeers } from "./peer-fakes.ts";
import { RecordedCounters } from "./observability-fakes.ts";
import { SeededRandom } from "./seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "./virtual-clock.ts";

export interface EntryFixture {
  readonly clock: VirtualClock;
  readonly held: FakeHeldServers;
  readonly budgets: FakeBudgets;
  readonly ownership: FakeRequestOwnership;
  readonly peers: FakePeers;
  readonly config: FakeConfig<ConfigDocument | undefined>;
  readonly fleet: FakeFleet;
  readonly counters: RecordedCounters;
  readonly path: RequestPath;
  readonly submit: (change?: Partial<CallerRequest>) => Promise<CallerReply>;
}

export function entryFixture(
  options: {
    readonly name?: string;
    readonly clock?: VirtualClock;
    readonly config?: ConfigDocument;
    readonly settings?: Partial<EntrySettings>;
  } = {},
): EntryFixture {
  const { name = "e1", clock = new VirtualClock(), config: document = fixtureConfig() } = options;
  const held = new FakeHeldServers(clock);
  const dependencies = {
    clock,
    held,
    budgets: new FakeBudgets(held),
    ownership: new FakeRequestOwnership(name),
    peers: new FakePeers(name, clock),
    config: new FakeConfig<ConfigDocument | undefined>(document),
    fleet: new FakeFleet(),
    counters: new RecordedCounters(),
  };
  const path = new RequestPath({
    ...dependencies,
    random: new SeededRandom(1),
    settings: fixtureSettings(options.settings),
  });
  const submit = (change: Partial<CallerRequest> = {}): Promise<CallerReply> =>
    path.requests.submit(fixtureRequest(change), "sync");
  return { ...dependencies, path, submit };
}

/** Connects entries with each other and exchanges their current loads once. */
export function connect(...entries: readonly EntryFixture[]): void {
  for (const from of entries) {
    for (const to of entries) {
      if (from === to) continue;
      const { incarnation } = to.peers.self;
      from.peers.handlers.set(incarnation, (hello, req) =>
        to.path.peerRequests.handlePeer(hello, req as RequestMessage),
      );
    }
  }
  exchangeGossip(...entries);
}

/** Delivers the current load and held servers of each entry to the others. */
export function exchangeGossip(...entries: readonly EntryFixture[]): void {
  for (const from of entries) {
    const held = from.held.list().map((server) => server.name);
    for (const to of entries)
      if (from !== to)
        to.peers.receiveGossip(from.peers.self, { ...from.path.gossipLoads(), held });
  }
}

export function fixtureRequest(change: Partial<CallerRequest> = {}): CallerRequest {
  return {
    queue: "jobs",
    key: "key-red",
    idempotencyKey: undefined,
    priority: "normal",
    idempotent: undefined,
    timeoutMs: 10_000,
    payload: { contentType: "text/plain", body: Buffer.from("hello") },
    ...change,
  };
}

export function fixtureSettings(change: Partial<EntrySettings> = {}): EntrySettings {
  return {
    ...ENTRY_DEFAULTS,
    zone: "z1",
    group: "g",
    callerAddress: "127.0.0.1:1",
    adminAddress: "127.0.0.1:2",
    peerAddress: "127.0.0.1:3",
    keyValueUrl: "http://127.0.0.1:4",
    instanceListUrl: "http://127.0.0.1:5",
    ...change,
  };
}

/** Returns the reason and `ran` of a refusal, or the kind of any other reply. */
export function summary(reply: CallerReply): string {
  return reply.kind === "refusal" ? `${reply.refusal.reason} ran=${reply.refusal.ran}` : reply.kind;
}

export { advanceUntilSettled };

/** Returns the body of an answer as text, or undefined for any other reply. */
export function payloadText(reply: CallerReply): string | undefined {
  return reply.kind === "answer" ? Buffer.from(reply.payload.body).toString() : undefined;
}
