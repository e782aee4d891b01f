import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeGossip, EMPTY_GOSSIP, GossipEncoder } from "../../src/coordination/gossip-delta.ts";
import type { GossipMessage, GossipReply, TeamLoad } from "../../src/protocol/peer-messages.ts";
import { gossipMessage } from "../fakes/builders.ts";

function snapshot(...teams: readonly TeamLoad[]): GossipMessage {
  return gossipMessage({ sequence: 0, teams });
}

function load(team: string, running: number): TeamLoad {
  return { team, running, budget: 4, queued: 0 };
}

/** The snapshot that a receiver of both replies has after the second. */
function restored(first: GossipReply, second: GossipReply): GossipMessage {
  return decodeGossip(decodeGossip(undefined, first), second) ?? EMPTY_GOSSIP;
}

// Guards against a receiver that keeps an old value because a change was left out.
test("a reply carries only the teams that changed and restores the full snapshot", () => {
  const encoder = new GossipEncoder();
  const first = encoder.encode("b", 0, snapshot(load("x", 1), load("y", 1)));
  const second = encoder.encode("b", first.sequence, snapshot(load("x", 2), load("y", 1)));
  assert.equal(second.teams, [load("x", 2)]);
  assert.equal(restored(first, second).teams, [load("x", 2), load("y", 1)]);
});

// Guards against merging changes into a snapshot that they are not based on.
test("a lost reply is followed by a full snapshot", () => {
  const encoder = new GossipEncoder();
  const first = encoder.encode("b", 0, snapshot(load("x", 1)));
  encoder.encode("b", first.sequence, snapshot(load("x", 2)));
  const third = encoder.encode("b", first.sequence, snapshot(load("x", 2), load("y", 3)));
  assert.is(third.baseline, 0);
  assert.equal(restored(first, third).teams, [load("x", 2), load("y", 3)]);
});

// Guards against removed teams that stay at the receiver with their last load.
test("a team that disappears is sent once with zero values", () => {
  const encoder = new GossipEncoder();
  const first = encoder.encode("b", 0, snapshot(load("x", 1)));
  const second = encoder.encode("b", first.sequence, snapshot());
  assert.equal(second.teams, [{ team: "x", running: 0, budget: 0, queued: 0 }]);
});

// Guards against changes that arrive out of order and overwrite newer values.
test("changes based on a snapshot other than the last one received are ignored", () => {
  const encoder = new GossipEncoder();
  const first = encoder.encode("b", 0, snapshot(load("x", 1)));
  const second = encoder.encode("b", first.sequence, snapshot(load("x", 2)));
  const newer = { ...snapshot(load("x", 9)), sequence: 99 };
  assert.equal(decodeGossip(newer, second)?.teams, [load("x", 9)]);
});

// Guards against a field that keeps its old value at the receiver, or is sent without a change.
test("a reply carries only the fields that changed and its age", () => {
  const encoder = new GossipEncoder();
  const before = snapshot(load("x", 1));
  const first = encoder.encode("b", 0, before);
  const same = encoder.encode("b", first.sequence, { ...before, configAgeMs: 7 });
  assert.equal(Object.keys(same).sort(), ["baseline", "configAgeMs", "sequence", "type"]);
  const after = { ...before, configRevision: 2, held: ["s1"], stopping: true };
  const next = encoder.encode("b", same.sequence, after);
  const { sequence, baseline } = next;
  assert.equal(decodeGossip(restored(first, same), next), { ...after, sequence, baseline });
});

test.run();
