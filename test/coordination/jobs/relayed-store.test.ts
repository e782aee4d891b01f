import { test } from "uvu";
import * as assert from "uvu/assert";
import { Err, Ok } from "ts-results";
import { MetricCounters } from "../../../src/coordination/counters.ts";
import { RelayedStore } from "../../../src/coordination/jobs/records/relayed-store.ts";
import { PeerConnections } from "../../../src/coordination/jobs/peer-connections.ts";
import { StoreCallRelay } from "../../../src/coordination/jobs/records/store-call-relay.ts";
import {
  PeerConnection,
  PeerTransport,
  type PeerHandler,
} from "../../../src/ports/peer-transport.ts";
import type { Hello, PeerRequest, ReplyTo } from "../../../src/protocol/peer-messages.ts";
import {
  MemoryRecordStore,
  type MemoryRecordClient,
} from "../../../src/stand-ins/memory-record-store.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../../fakes/virtual-clock.ts";

const LOG = { debug: none, info: none, warn: none, error: none };

function none(): void {
  // These tests do not check log lines.
}

/** In-memory transport that finds the handlers of a network by address. */
class FakeTransport extends PeerTransport {
  readonly #network: Map<string, PeerHandler>;

  constructor(network: Map<string, PeerHandler>) {
    super();
    this.#network = network;
  }

  listen(self: Hello, handler: PeerHandler) {
    this.#network.set(self.address, handler);
    return Promise.resolve(Ok(undefined));
  }

  connect(address: string, self: Hello) {
    const handler = this.#network.get(address);
    if (handler === undefined)
      return Promise.resolve(Err({ kind: "not-sent" as const, detail: "no listener" }));
    return Promise.resolve(Ok(new FakeConnection(handler, self)));
  }

  close() {
    return Promise.resolve();
  }
}

class FakeConnection extends PeerConnection {
  readonly remote: Hello;
  readonly open = true;
  readonly #handler: PeerHandler;

  constructor(handler: PeerHandler, self: Hello) {
    super();
    this.remote = self;
    this.#handler = handler;
  }

  async call<T extends PeerRequest>(req: T) {
    return Ok((await this.#handler(this.remote, req)) as ReplyTo<T>);
  }

  close(): void {
    // There is no socket.
  }
}

interface Member {
  readonly store: RelayedStore;
  readonly direct: MemoryRecordClient;
}

/** Entry instances that can all reach each other. */
async function members(count: number) {
  const clock = new VirtualClock();
  const memory = new MemoryRecordStore(clock);
  const network = new Map<string, PeerHandler>();
  const names = Array.from({ length: count }, (_, index) => `10.0.0.${index}:1`);
  const sessions = names.map((name) => ({ name, peerAddress: name, zone: "z", strength: 1 }));
  const created = names.map(async (address): Promise<Member> => {
    const direct = memory.client();
    const transport = new FakeTransport(network);
    const self = { version: 2, incarnation: address, address, zone: "z", group: "" };
    const connections = new PeerConnections({ transport, log: LOG, self });
    const random = new SeededRandom(1);
    const peers = new StoreCallRelay({ direct, random, connections, sessions: () => sessions });
    await transport.listen(self, (_from, req) => {
      if (req.type !== "store-call") throw new Error(`unexpected ${req.type}`);
      return peers.handleStoreCall(req);
    });
    const counters = new MetricCounters();
    return { direct, store: new RelayedStore({ direct, peers, clock, log: LOG, counters }) };
  });
  return { clock, memory, members: await Promise.all(created) };
}

test("an entry instance that the store refuses reads and writes through a peer", async () => {
  const { clock, memory, members: all } = await members(3);
  all[0]!.direct.faults.refusing = true;
  const put = { key: "a", value: Uint8Array.of(1) };
  const txn = { conditions: [{ key: "a", revision: 0 }], puts: [put] };
  const written = await advanceUntilSettled(clock, all[0]!.store.commit(txn));
  assert.ok(written.ok);
  assert.equal(memory.read("a")?.revision, written.val);
  const read = await advanceUntilSettled(clock, all[0]!.store.get("a"));
  assert.equal(Buffer.from(read.unwrap()!.value), Buffer.from(put.value));
});

test("another peer is tried if the store refuses the first peer as well", async () => {
  const { clock, members: all } = await members(4);
  for (const { direct } of all.slice(0, 3)) direct.faults.refusing = true;
  for (let round = 0; round < 5; round++) {
    const lease = await advanceUntilSettled(clock, all[0]!.store.grantLease(1000));
    assert.ok(lease.ok, `round ${round}`);
  }
});

// Guards against a relayed retry that conflicts with the executed first attempt.
test("a write with an unknown outcome is not retried through a peer", async () => {
  const { clock, memory, members: all } = await members(2);
  all[0]!.direct.faults.lostReplies = 1;
  const txn = {
    conditions: [{ key: "a", revision: 0 }],
    puts: [{ key: "a", value: Uint8Array.of(1) }],
  };
  const written = await advanceUntilSettled(clock, all[0]!.store.commit(txn));
  assert.is(written.err && written.val.kind, "unknown");
  assert.ok(memory.read("a"));
  const again = await advanceUntilSettled(clock, all[0]!.store.commit(txn));
  assert.is(again.err && again.val.kind, "conflict", "the caller learns that it was executed");
});

test("a pending watch is relayed through a peer once the store is unreachable", async () => {
  const { clock, memory, members: all } = await members(2);
  const { store, direct } = all[0]!;
  const watched = store.watch("a", memory.revision, 2500);
  await clock.advance(100);
  direct.faults.unresponsive = true;
  const kept = store.renewLease(1);
  await clock.advance(1000);
  const txn = { conditions: [], puts: [{ key: "a", value: Uint8Array.of(1) }] };
  await advanceUntilSettled(clock, all[1]!.store.commit(txn));
  const began = clock.now();
  const changes = await advanceUntilSettled(clock, watched);
  assert.is(changes.unwrap().events.length, 1);
  assert.ok(clock.now() - began < 100, "the change is reported at once");
  await advanceUntilSettled(clock, kept);
});

// Guards against relaying all calls although the store only interrupts watches.
test("a failed watch alone does not cause other calls to be relayed", async () => {
  const { clock, members: all } = await members(2);
  const { store, direct } = all[0]!;
  direct.faults.refusing = true;
  await advanceUntilSettled(clock, store.watch("a", 1, 10));
  direct.faults.refusing = false;
  assert.is(store.connectivity.disconnectedMs, 0);
});

test("unresponsiveMs grows until the store responds, directly or through a peer", async () => {
  const { clock, members: all } = await members(2);
  const { store, direct } = all[0]!;
  await advanceUntilSettled(clock, store.get("a"));
  for (const member of all) member.direct.faults.unresponsive = true;
  await advanceUntilSettled(clock, store.get("a"));
  await clock.advance(3000);
  assert.ok(store.connectivity.unresponsiveMs >= 3000);
  all[1]!.direct.faults.unresponsive = false;
  await advanceUntilSettled(clock, store.get("a"));
  assert.ok(store.connectivity.unresponsiveMs < 1000);
  direct.faults.unresponsive = false;
});

test.run();
