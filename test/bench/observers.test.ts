import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetObserver } from "../../bench/fleet-observer.ts";
import { reportPage } from "../../bench/report.ts";
import { ShareWindows } from "../../bench/share-windows.ts";
import { SITES } from "../../bench/site.ts";

const site = SITES.get("piedra-viva")!;
const recordedServer = (n: number, state: "serving" | "draining") =>
  ({ name: `z${(n % 3) + 1}-s${n}`, pool: "enrolment", state }) as const;

// Guards against a benchmark that misses a planned drain below an availability budget because it
// counts a server that is down as available.
test("the observer counts a drain that leaves fewer servers up than the budget requires", () => {
  const observer = new FleetObserver(site);
  observer.recordLoss(0, "z1-s0");
  observer.recordServers(20_000, [recordedServer(1, "draining")]);
  const count = (): number | undefined => new Map(observer.figures()).get("drains below budget");
  assert.is(count(), 0);
  observer.recordServers(20_000, [recordedServer(2, "draining")]);
  assert.is(count(), 1);
});

// Guards against counting share windows during which the fleet was not full.
test("a share window counts only if the fleet was full at every sample", () => {
  const teams = [
    { name: "a", share: 3, upperLimit: 9 },
    { name: "b", share: 1, upperLimit: 9 },
  ];
  const use = new Map(teams.map(({ name }) => [name, { running: 2, queued: 1 }]));
  const windows = new ShareWindows({ windowMs: 1000, teams, from: 0 });
  for (let now = 500; now <= 2500; now += 500) windows.sample(now, use, now !== 500);
  const figures = new Map(windows.figures());
  assert.is(figures.get("share windows of 1 s"), 2);
  assert.is(figures.get("share distance 1 s b worst %"), 100);
});

// Guards against NaN distances, which a division by zero gives for a window without running tasks.
test("a share window in which nothing runs does not count", () => {
  const teams = [{ name: "a", share: 1, upperLimit: 9 }];
  const windows = new ShareWindows({ windowMs: 1000, teams, from: 0 });
  windows.sample(1000, new Map([["a", { running: 0, queued: 1 }]]), true);
  assert.equal(windows.figures(), [["share windows of 1 s", 0]]);
});

// Guards against a report page that needs network access or runs scripts.
test("the report is a single page without scripts and external addresses", () => {
  const page = reportPage([
    {
      scenario: "full",
      site: "piedra-viva",
      describe: "a < b",
      seed: 1,
      rounds: 1,
      secondsPerRound: 1,
      cpuSecondsPerRound: 1,
      rows: [{ figure: "requests", baseline: { min: 1, median: 1, max: 1 }, product: undefined }],
      series: { baseline: { running: [1, 2] }, product: { running: [2, 3] } },
    },
  ]);
  assert.match(page, "<svg");
  assert.match(page, "a &lt; b");
  assert.not.match(page, /<script|https?:/);
});

test.run();
