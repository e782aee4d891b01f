import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeaseCoverage } from "../../src/coordination/lease-coverage.ts";
import { ServerLease } from "../../src/coordination/server-lease.ts";
import type { TaskRecord } from "../../src/ports/backend-server.ts";
import { TaskCharges } from "../../src/state/task-charges.ts";
import { SimulatedBackendServer } from "../../src/stand-ins/simulated-backend-server.ts";
import { RecordedCounters } from "../fakes/observability-fakes.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

/** A server that can lose the replies to polls and omit the position of its events. */
class LossyServer extends SimulatedBackendServer {
  losesPollReplies = false;
  reportsPositions = true;
  polls = 0;
  renewals = 0;

  override async pollEvents(...args: Parameters<SimulatedBackendServer["pollEvents"]>) {
    this.polls++;
    const reply = await super.pollEvents(...args);
    return this.losesPollReplies ? new Promise<never>(() => undefined) : reply;
  }

  override async renewLease(...args: Parameters<SimulatedBackendServer["renewLease"]>) {
    this.renewals++;
    const reply = await super.renewLease(...args);
    return this.reportsPositions ? reply : reply.map(() => ({}));
  }
}

function leaseFixture() {
  const clock = new VirtualClock();
  const server = new LossyServer({ clock, name: "s1" });
  const finished: TaskRecord[] = [];
  const lease = new ServerLease({
    ...{ clock, name: "s1", backend: server, incarnation: "e1", leaseTtlMs: 4000 },
    ...{
      random: new SeededRandom(1),
      counters: new RecordedCounters(),
      charges: new TaskCharges(),
    },
    resultRetentionMs: 600_000,
    coverage: new LeaseCoverage({ clock }),
    onFinished: (record) => finished.push(record),
    onLeaving: () => undefined,
    onChange: () => undefined,
  });
  void lease.tryHold();
  const start = () =>
    lease.start({
      ...{ requestId: "r", attempt: 1, home: "e1", chargedTo: "e1", team: undefined, queue: "q" },
      ...{ priority: "normal", idempotent: true },
      payload: { contentType: "", body: new Uint8Array() },
    });
  return { clock, server, lease, finished, start };
}

// Guards against needless messages to an idle server: frequent polls although renewals reveal lost
// replies, or more than one renewal per third of the lease's time to live.
test("an idle server is polled every 30 s, or every 2 s if its renewals report no event position", async () => {
  for (const [positions, expected] of [
    [true, 2],
    [false, 30],
  ] as const) {
    const { clock, server } = leaseFixture();
    server.reportsPositions = positions;
    await clock.advance(10_000);
    const [polls, renewals] = [server.polls, server.renewals];
    await clock.advance(60_000);
    assert.is(server.polls - polls, expected);
    assert.ok(server.renewals - renewals <= 45);
  }
});

// Guards against a result that arrives only after the timeout of a long poll with a lost reply.
test("a lost reply to a poll delays a result by at most two renewal intervals", async () => {
  const { clock, server, finished, start } = leaseFixture();
  await clock.advance(5000);
  server.losesPollReplies = true;
  void start();
  await clock.advance(30);
  assert.is(finished.length, 0);
  server.losesPollReplies = false;
  await clock.advance((2 * 4000) / 3);
  assert.is(finished.length, 1);
});

test.run();
