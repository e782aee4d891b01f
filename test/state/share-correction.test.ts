import { test } from "uvu";
import * as assert from "uvu/assert";
import { ShareCorrection, type WaitingTeamUsage } from "../../src/state/share-correction.ts";

const use = (team: string, running: number, weight: number): WaitingTeamUsage => {
  return { team, running, weight };
};

function correctionAfter(waiting: readonly WaitingTeamUsage[], seconds: number): ShareCorrection {
  const correction = new ShareCorrection();
  for (let at = 0; at <= seconds * 1000; at += 50) correction.update(waiting, at);
  return correction;
}

// Guards against a team that stays above its share because only current usages are compared.
test("a lasting difference from the mean usage is corrected", () => {
  const correction = correctionAfter([use("small", 12, 1), use("large", 90, 9)], 2);
  assert.ok(correction.correctionFor("small") > 1, `small ${correction.correctionFor("small")}`);
  assert.ok(correction.correctionFor("large") < 0, `large ${correction.correctionFor("large")}`);
  assert.is(
    correctionAfter([use("small", 10, 1), use("large", 90, 9)], 2).correctionFor("small"),
    0,
  );
});

// Guards against a team that gets nothing, or everything, long after a lasting difference.
test("a correction is at most half the mean usage and decays without waiting work", () => {
  const correction = correctionAfter([use("small", 30, 1), use("large", 70, 9)], 600);
  assert.is(correction.correctionFor("small"), 5);
  correction.update([use("large", 70, 9)], 602_000);
  assert.is(correction.correctionFor("small"), 2.5);
  correction.update([use("large", 70, 9)], 660_000);
  correction.update([], 661_000);
  assert.is(correction.correctionFor("small"), 0);
});

test.run();
