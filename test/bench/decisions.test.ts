import { test } from "uvu";
import * as assert from "uvu/assert";
import { figuresOf, groupsOf, replayAll } from "../../bench/decisions/decisions.ts";
import { LOAD_PATTERNS, ORGANISATIONS } from "../../bench/decisions/load-patterns.ts";

const SEEDS = [1, 2];

function patternNamed(name: string) {
  return LOAD_PATTERNS.find((pattern) => pattern.name === name)!;
}

/** Utility that the plan has to gain over the former rank at least, by load pattern. */
const LEAST_GAINS = {
  surge: 0.04,
  "two-surges": 0.1,
  organisation: 0.08,
  "urgent-burst": 0,
  "wide-narrow": 0.05,
  "declared-off": 0.03,
  outage: 0,
  "capacity-loss": 0.03,
} as const;

for (const [name, gain] of Object.entries(LEAST_GAINS))
  test(`${name}: the plan serves callers better than the rank, and the rank than arrival order`, () => {
    const pattern = patternNamed(name);
    const arrival = figuresOf(replayAll(pattern, "arrival", SEEDS)).utility;
    const rank = figuresOf(replayAll(pattern, "rank", SEEDS)).utility;
    const plan = figuresOf(replayAll(pattern, "plan", SEEDS)).utility;
    assert.ok(rank > arrival, `rank ${rank}, arrival order ${arrival}`);
    assert.ok(plan > rank + gain, `plan ${plan}, rank ${rank}`);
  });

test("while capacity is not short the plan changes no placement", () => {
  const pattern = { ...patternNamed("steady"), name: "idle" };
  assert.equal(replayAll(pattern, "plan", SEEDS), replayAll(pattern, "rank", SEEDS));
});

test("an organisation at 7.5 times its load takes at most a tenth of the others' on-time part", () => {
  const pattern = patternNamed("organisation");
  const usual = pattern.streams.map((stream) => ({ ...stream, load: () => stream.load(0) }));
  const without = groupsOf(replayAll({ ...pattern, streams: usual }, "plan", SEEDS));
  const during = groupsOf(replayAll(pattern, "plan", SEEDS));
  const onTime = (groups: typeof during) =>
    figuresOf(
      ORGANISATIONS.filter((name) => name !== "burst").flatMap((name) =>
        groups.get(`batch ${name}`)!,
      ),
    ).onTime;
  assert.ok(onTime(during) > 0.9 * onTime(without), `${onTime(during)}, ${onTime(without)}`);
});

test.run();
