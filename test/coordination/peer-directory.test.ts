import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerDirectory } from "../../src/coordination/peer-directory.ts";
import { PEER_PROTOCOL_VERSION, type Hello } from "../../src/protocol/peer-messages.ts";
import { Links } from "../fakes/links.ts";
import { PeerNetwork } from "../fakes/peer-network.ts";
import { ProcessGate } from "../fakes/process-gate.ts";
import { NOOP_LOG, RecordedCounters } from "../fakes/observability-fakes.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

interface Load {
  queued: number;
  freeSlots: number;
}

/** Two connected directories, with the times of the exchanges that the first one starts. */
async function pair() {
  const clock = new VirtualClock();
  const random = new SeededRandom(1);
  const exchanges: number[] = [];
  const network = new PeerNetwork({
    links: new Links({ clock, random }),
    observe: (from) => {
      if (from.incarnation === "e1") exchanges.push(clock.now());
    },
  });
  const hellos = ["e1", "e2"].map((incarnation): Hello => {
    const address = `${incarnation}:1`;
    return { version: PEER_PROTOCOL_VERSION, incarnation, address, zone: "z1", group: "g" };
  });
  const open = async (self: Hello) => {
    const load: Load = { queued: 0, freeSlots: 4 };
    const transport = network.transport({
      tags: [self.incarnation],
      gate: new ProcessGate({ clock }),
    });
    const peers = new PeerDirectory({
      ...{ self, transport, clock, random, counters: new RecordedCounters(), log: NOOP_LOG },
      intervalMs: 500,
      members: () => hellos,
      queued: () => load.queued > 0,
      configRevision: () => 1,
      sources: [
        () => ({ configRevision: 1, pools: [{ pool: "p", totalSlots: 4, waitMs: 0, ...load }] }),
      ],
      onGossip: () => undefined,
    });
    await transport.listen(self, (from, req) => {
      if (req.type !== "gossip") throw new Error("only gossip is exchanged");
      return Promise.resolve(peers.answerGossip(from, req));
    });
    peers.start();
    return { peers, load };
  };
  const [first, second] = [await open(hellos[0]!), await open(hellos[1]!)];
  await clock.advance(10_000);
  const exchangesIn = async (ms: number): Promise<number> => {
    const before = exchanges.length;
    await clock.advance(ms);
    return exchanges.length - before;
  };
  return { clock, first, second, exchanges, exchangesIn };
}

// Guards against an idle interval so long that one lost reply makes a peer count as unreachable, or
// so short that it saves no traffic.
test("idle peers exchange gossip every 1100 to 1250 ms", async () => {
  const { exchanges, exchangesIn } = await pair();
  await exchangesIn(20_000);
  const gaps = exchanges.slice(-15).map((at, n, all) => at - (all[n - 1] ?? at - 1200));
  assert.ok(
    gaps.every((gap) => gap >= 1100 && gap <= 1255),
    String(gaps),
  );
});

// Guards against offers based on peer loads from before the work arrived.
test("queued work, offers and changed loads shorten the gossip interval", async () => {
  const { clock, first, second, exchangesIn } = await pair();
  assert.ok((await exchangesIn(6000)) <= 6);
  first.load.queued = 1;
  first.peers.speedUpGossip();
  assert.ok((await exchangesIn(630)) >= 1);
  assert.ok((await exchangesIn(6000)) >= 10);
  first.load.queued = 0;
  await clock.advance(3000);
  assert.ok((await exchangesIn(6000)) <= 6);
  second.load.queued = 1;
  await clock.advance(1300);
  assert.ok((await exchangesIn(6000)) >= 10);
});

// Guards against announcing a leaving server or a shutdown only with the next idle exchange.
test("peers receive a leaving server and a shutdown at once", async () => {
  const { clock, first, second } = await pair();
  first.peers.announceLeaving("s1");
  await clock.advance(20);
  assert.ok(second.peers.leavingServers().has("s1"));
  first.peers.announceStopping();
  await clock.advance(20);
  assert.is(second.peers.gossip().get("e1")?.message.stopping, true);
});

test.run();
