import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlatformStore } from "../../platform/store.ts";
import { SystemClock } from "../../src/ports/system-clock.ts";
import {
  FakeHttpServer,
  type FakeHttpResponse,
  type RecordedCall,
} from "../fakes/jobs/fake-http-server.ts";

const TXN = {
  conditions: [{ key: "a", revision: 0 }],
  puts: [{ key: "a", value: Buffer.from("x"), lease: 7 }],
};

async function withStore(
  answer: (call: RecordedCall) => FakeHttpResponse,
  check: (store: PlatformStore, server: FakeHttpServer) => Promise<void>,
): Promise<void> {
  const server = new FakeHttpServer(answer);
  const url = `http://${await server.listen()}`;
  const store = new PlatformStore({ clock: new SystemClock(), url, count: () => undefined });
  try {
    await check(store, server);
  } finally {
    server.close();
  }
}

function errorKind(result: { readonly err: boolean; readonly val: unknown }): unknown {
  return result.err ? (result.val as { readonly kind: string }).kind : "none";
}

// Guards against a write that the store applies unconditionally or without its lease.
test("a transaction is sent with its conditions, leases and base64 values", async () => {
  await withStore(
    () => ({ status: 200, body: { revision: 9 } }),
    async (store, server) => {
      assert.is((await store.commit(TXN)).unwrap(), 9);
      assert.equal(server.calls[0]?.body, {
        expectedRevision: [{ key: "a", revision: 0 }],
        puts: [{ key: "a", value: "eA==", lease: 7 }],
        delete: [],
      });
    },
  );
});

// Guards against a write with unknown outcome that is reported as not executed, or the reverse.
test("a refused write has a definite outcome, a failed reply an unknown one", async () => {
  const answers: readonly (readonly [FakeHttpResponse, string])[] = [
    [{ status: 503 }, "unavailable"],
    [{ status: 429 }, "unavailable"],
    [{ status: 404 }, "lease-ended"],
    [{ status: 412, body: { items: [] } }, "conflict"],
    [{ status: 500 }, "unknown"],
    [{ status: undefined }, "unknown"],
  ];
  for (const [answer, kind] of answers) {
    await withStore(
      () => answer,
      async (store) => {
        assert.is(errorKind(await store.commit(TXN)), kind, `status ${String(answer.status)}`);
      },
    );
  }
});

// Guards against changes made between two pages, which a watch from the last page would miss.
test("all pages of a range are read, and its revision is that of the first page", async () => {
  const page = (key: string, hasMore: boolean, storeRevision: number): FakeHttpResponse => ({
    status: 200,
    body: { items: [{ key, value: "eA==", revision: 3 }], hasMore, storeRevision },
  });
  await withStore(
    ({ query }) => (query.get("after") === null ? page("a", true, 5) : page("b", false, 8)),
    async (store, server) => {
      const range = (await store.range("")).unwrap();
      assert.equal(
        range.records.map(({ key }) => key),
        ["a", "b"],
      );
      assert.is(range.revision, 5);
      assert.is(server.calls[1]?.query.get("after"), "a");
    },
  );
});

// Guards against missed deletions, and against a watch that goes on after history was dropped.
test("a watch reports deletions and compacted history", async () => {
  const events = [
    { key: "a", value: "eA==", revision: 4 },
    { key: "b", revision: 5, deleted: true },
  ];
  await withStore(
    () => ({ status: 200, body: { events, storeRevision: 5 } }),
    async (store, server) => {
      const changes = (await store.watch("p", 3, 100)).unwrap();
      assert.equal(
        changes.events.map(({ kind }) => kind),
        ["written", "deleted"],
      );
      server.respond = () => ({ status: 410 });
      assert.is(errorKind(await store.watch("p", 3, 100)), "compacted");
    },
  );
});

// Guards against an existing record that counts as absent because its reply was malformed.
test("an absent key is not an error, and a malformed reply is not an absent key", async () => {
  await withStore(
    () => ({ status: 404 }),
    async (store, server) => {
      assert.is((await store.get("a")).unwrap(), undefined);
      server.respond = () => ({ status: 200, body: { nothing: 1 } });
      assert.ok((await store.get("a")).err);
    },
  );
});

test.run();
