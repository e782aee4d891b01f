import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlatformBackendConnector } from "../../platform/job-backend.ts";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { FakeHttpServer, type FakeHttpResponse } from "../fakes/jobs/fake-http-server.ts";

const START = { task: "j.0.0.0", run: 1, spec: "s", deadlineMs: 100, token: 4 };

async function withBackend(
  reply: FakeHttpResponse,
  check: (
    backend: ReturnType<PlatformBackendConnector["connect"]>,
    server: FakeHttpServer,
  ) => Promise<void>,
): Promise<void> {
  const server = new FakeHttpServer(() => reply);
  const connector = new PlatformBackendConnector(new SystemClock());
  try {
    await check(connector.connect(await server.listen(), "i-1"), server);
  } finally {
    server.close();
  }
}

// Guards against a start that a later incarnation at the same address executes.
test("a start order names the intended incarnation and omits empty fields", async () => {
  await withBackend({ status: 200, body: { clockMs: 5 } }, async (backend, server) => {
    assert.is((await backend.start(START)).unwrap().clockMs, 5);
    const [call] = server.calls;
    assert.is(call?.headers["x-expect-instance"], "i-1");
    assert.equal(call?.body, {
      ...{ task: "j.0.0.0", run: 1, spec: "s", deadlineMs: 100, fencingToken: 4 },
    });
  });
});

// Guards against repeating an order that may have been executed, and against treating a definite
// refusal as an unknown outcome.
test("each refusal has its own kind, and only a lost or malformed reply is an unknown outcome", async () => {
  const cases: readonly (readonly [FakeHttpResponse, string])[] = [
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
  for (const [reply, kind] of cases) {
    await withBackend(reply, async (backend) => {
      const result = await backend.start(START);
      assert.is(result.err ? result.val.kind : "none", kind);
    });
  }
});

// Guards against columns that are mixed up, and against runs of an earlier boot that count as running.
test("the lists of running and ended runs are decoded with the time of the boot", async () => {
  const body = {
    ...{ clockMs: 7, born: 99 },
    running: [["j.0.0.0", 2, "cp", 41, 12]],
    ended: [[3, "j.0.0.1", 1, "failed", ""]],
  };
  await withBackend({ status: 200, body }, async (backend, server) => {
    const poll = { token: 4, deadlineMs: undefined, acknowledged: 2, waitMs: 0 };
    const lists = (await backend.poll(poll)).unwrap();
    assert.is(lists.bootedAt, 99);
    const running = { task: "j.0.0.0", run: 2, checkpoint: "cp", percent: 41, load: 12 };
    assert.equal(lists.running, [running]);
    assert.is(lists.ended[0]?.end, "failed");
    assert.equal(server.calls[0]?.body, { fencingToken: 4, lastSeen: 2 });
  });
});

test.run();
