import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeTenureAges, encodeTenureAges } from "../../../src/protocol/job-records.ts";
import { TenureAges } from "../../../src/state/jobs/election/tenure-ages.ts";

const TAKEN_OVER_AT = 50_000;

test("a tenure is at least as old as it or a later one was", () => {
  const recorded = [
    { token: 5, ageMs: 9000 },
    { token: 8, ageMs: 2000 },
  ];
  const ages = new TenureAges(recorded, TAKEN_OVER_AT);
  assert.is(ages.atTakeover(5), 9000);
  assert.is(ages.atTakeover(6), 2000);
  assert.is(ages.atTakeover(9), 0);
});

// Guards against an age that begins anew with each takeover.
test("what is recorded adds the time since the takeover to the ages of earlier tenures", () => {
  const first = new TenureAges([], TAKEN_OVER_AT);
  const recorded = first.toRecord({ token: 5, ageMs: 4000 }, TAKEN_OVER_AT + 4000);
  const second = new TenureAges(recorded, TAKEN_OVER_AT);
  const later = second.toRecord({ token: 8, ageMs: 1010 }, TAKEN_OVER_AT + 1000);
  assert.equal(later, [
    { token: 5, ageMs: 5000 },
    { token: 8, ageMs: 1010 },
  ]);
  assert.equal(decodeTenureAges(encodeTenureAges(later)), later);
});

test("the ages of a few tenures are kept", () => {
  let recorded: ReturnType<TenureAges["toRecord"]> = [];
  for (let token = 1; token <= 9; token++)
    recorded = new TenureAges(recorded, 0).toRecord({ token, ageMs: 10 }, 100);
  assert.equal(
    recorded.map(({ token }) => token),
    [6, 7, 8, 9],
  );
});

test.run();
