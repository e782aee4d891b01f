import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigGossip } from "../../src/coordination/config-gossip.ts";
import type { ConfigFollower } from "../../src/coordination/config-follower.ts";
import { gossipMessage, helloOf } from "../fakes/builders.ts";
import { FakePeers } from "../fakes/peer-fakes.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

function fixture() {
  const clock = new VirtualClock();
  const peers = new FakePeers("e1", clock);
  const adopted: [string, number][] = [];
  const config = {
    current: () => ({ revision: 2 }),
    documentText: () => "revision 2",
    confirm: () => undefined,
    adopt: (text: string, ageMs: number) => adopted.push([text, ageMs]) > 0,
  } as unknown as ConfigFollower;
  return { peers, adopted, gossip: new ConfigGossip({ clock, config, peers }) };
}

// Guards against a withdrawn key that stays valid during an outage at entries that do not know the
// only entry which read the withdrawal: it joined when they could not read the member list.
test("a newer configuration is offered only to peers that cannot reach the platform", () => {
  for (const [platformReachable, configRevision, offered] of [
    [false, 1, true],
    [true, 1, false],
    [false, 2, false],
  ] as const) {
    const { peers, gossip } = fixture();
    const message = gossipMessage({ platformReachable, configRevision });
    gossip.handleGossip({ hello: helloOf("e2"), message, requestedAt: 0 });
    assert.is(
      peers.sent.some(({ req }) => req.type === "config-offer"),
      offered,
    );
  }
});

// Guards against treating a configuration as confirmed because a peer offered it.
test("an offered configuration is adopted without a confirmation", () => {
  const { adopted, gossip } = fixture();
  assert.ok(gossip.handleOffer({ type: "config-offer", document: "revision 3" }).accepted);
  assert.equal(adopted, [["revision 3", Infinity]]);
});

test.run();
