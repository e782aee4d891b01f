import { Err, Ok, type Result } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerDirectory } from "../../src/coordination/peer-directory.ts";
import {
  PeerTransport,
  type PeerConnection,
  type PeerError,
} from "../../src/ports/peer-transport.ts";
import type { GossipMessage, Hello } from "../../src/protocol/peer-messages.ts";
import { NOOP_LOG, RecordedCounters } from "../fakes/observability-fakes.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const hello = (incarnation: string): Hello => ({
  version: 1,
  incarnation,
  address: `${incarnation}:7002`,
  zone: "z1",
  group: "g",
});
const peer: { reachable: boolean; leaving: readonly string[] } = { reachable: true, leaving: [] };

function call(req: GossipMessage): Promise<Result<GossipMessage, PeerError>> {
  if (!peer.reachable) return Promise.resolve(Err({ kind: "ambiguous", detail: "no reply" }));
  return Promise.resolve(Ok({ ...req, baseline: 0, leaving: peer.leaving }));
}

class OnePeer extends PeerTransport {
  connect(): Promise<Result<PeerConnection, PeerError>> {
    const connection = { remote: hello("b"), open: true, call, close: () => undefined };
    return Promise.resolve(Ok(connection as unknown as PeerConnection));
  }

  listen(): Promise<Result<void, string>> {
    return Promise.resolve(Ok(undefined));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

function directory(clock: VirtualClock): PeerDirectory {
  return new PeerDirectory({
    self: hello("a"),
    transport: new OnePeer(),
    clock,
    random: new SeededRandom(1),
    counters: new RecordedCounters(),
    log: NOOP_LOG,
    intervalMs: 500,
    queued: () => true,
    configRevision: () => 1,
    members: () => [{ incarnation: "b", address: "10.0.0.2:7002", zone: "z1" }],
    sources: [],
    onGossip: () => undefined,
  });
}

// Guards against a cached view of the peers that misses an exchange or a loss of contact.
test("leaving servers are updated by each exchange, and a peer without a reply for 3 s is left out", async () => {
  const clock = new VirtualClock();
  const peers = directory(clock);
  peers.start();
  await clock.until(() => peers.gossip().size === 1);
  assert.equal([...peers.leavingServers()], []);
  peer.leaving = ["s1"];
  await clock.until(() => peers.leavingServers().has("s1"), 700);
  peer.reachable = false;
  await clock.until(() => peers.gossip().size === 0, 3700);
  assert.equal([...peers.leavingServers()], []);
  peers.announceLeaving("s2");
  assert.equal([...peers.leavingServers()], ["s2"]);
  peers.stop();
});

test.run();
