import { test } from "uvu";
import * as assert from "uvu/assert";
import { InstanceMoves } from "../../../src/state/jobs/fleet/instance-moves.ts";

const LONG_MS = 60_000;

function plannedMove(): InstanceMoves {
  const moves = new InstanceMoves();
  moves.planned("m", "rest", "s");
  return moves;
}

// Guards against an order that waits longer than its move counts: the instance would then count
// towards two pools.
test("a move counts while its order has no outcome", () => {
  const moves = plannedMove();
  assert.equal(moves.takeEnded(LONG_MS), []);
  assert.is(moves.targetPool("m"), "rest");
});

// Guards against a move without an end.
test("every outcome of an order ends its move", () => {
  for (const outcome of ["accepted", "unanswered"] as const) {
    const moves = plannedMove();
    moves[outcome]("m", LONG_MS);
    assert.equal(moves.takeEnded(LONG_MS), [], outcome);
    const ended = moves.takeEnded(2 * LONG_MS);
    assert.equal(
      ended.map((move) => [move.server, move.outcome]),
      [["s", outcome]],
    );
    assert.is(moves.has("m"), false, outcome);
  }
});

test("a refused move no longer counts", () => {
  const moves = plannedMove();
  moves.refused("m");
  assert.is(moves.targetPool("m"), undefined);
});

test.run();
