import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlatformBackendConnector } from "../../platform/job-backend.ts";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { HttpFront, type FrontAnswer } from "../fakes/jobs/http-front.ts";

const START = { task: "j.0.0.0", run: 1, spec: "s", deadlineMs: 100, token: 4 };

async function withBackend(
  answer: FrontAnswer,
  check: (
    backend: ReturnType<PlatformBackendConnector["connect"]>,
    front: HttpFront,
  ) => Promise<void>,
): Promise<void> {
  const front = new HttpFront(() => answer);
  const connector = new PlatformBackendConnector(new SystemClock());
  try {
    await check(connector.connect(await front.listen(), "i-1"), front);
  } finally {
    front.close();
  }
}

test("a start names the intended incarnation and leaves out what is empty", async () => {
  await withBackend({ status: 200, body: { clockMs: 5 } }, async (backend, front) => {
    assert.is((await backend.start(START)).unwrap().clockMs, 5);
    const [call] = front.calls;
    assert.is(call?.headers["x-expect-instance"], "i-1");
    assert.equal(call?.body, {
      ...{ task: "j.0.0.0", run: 1, spec: "s", deadlineMs: 100, fencingToken: 4 },
    });
  });
});

test("each refusal keeps its meaning, and only a lost answer leaves the outcome open", async () => {
  const cases: readonly (readonly [FrontAnswer, string])[] = [
    [{ status: 409, body: { reason: "fence" } }, "fenced"],
    [{ status: 409, body: { reason: "old" } }, "old-run"],
    [{ status: 409, body: { reason: "late" } }, "late"],
    [{ status: 409, body: { reason: "room" } }, "no-room"],
    [{ status: 409, body: { reason: "ticket" } }, "ticket"],
    [{ status: 421 }, "gone"],
    [{ status: 503 }, "not-done"],
    [{ status: undefined }, "unknown"],
    [{ status: 200, body: {} }, "unknown"],
  ];
  for (const [answer, kind] of cases) {
    await withBackend(answer, async (backend) => {
      const result = await backend.start(START);
      assert.is(result.err ? result.val.kind : "none", kind);
    });
  }
});

test("lists are read row by row, with the boot they belong to", async () => {
  const body = {
    ...{ clockMs: 7, born: 99 },
    running: [["j.0.0.0", 2, "cp", 41, 12]],
    ended: [[3, "j.0.0.1", 1, "failed", ""]],
  };
  await withBackend({ status: 200, body }, async (backend, front) => {
    const poll = { token: 4, deadlineMs: undefined, acknowledged: 2, waitMs: 0 };
    const lists = (await backend.poll(poll)).unwrap();
    assert.is(lists.bootedAt, 99);
    const running = { task: "j.0.0.0", run: 2, checkpoint: "cp", percent: 41, load: 12 };
    assert.equal(lists.running, [running]);
    assert.is(lists.ended[0]?.end, "failed");
    assert.equal(front.calls[0]?.body, { fencingToken: 4, lastSeen: 2 });
  });
});

test.run();
