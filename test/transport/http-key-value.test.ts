import { suite } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { serveKeyValue } from "../../src/stand-ins/http-key-value.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import type { StandInServer } from "../../src/stand-ins/stand-in-server.ts";
import { HttpKeyValueService } from "../../src/transport/http-key-value.ts";
import { EventCounts } from "../fakes/event-counts.ts";

const test = suite("http-key-value");
const clock = new SystemClock();
const KEY = "fleet/south coast?&%";
let store: KeyValueStore;
let server: StandInServer;
let kv: HttpKeyValueService;
let events: EventCounts;

test.before.each(async () => {
  store = new KeyValueStore({ clock });
  server = serveKeyValue(clock, store);
  events = new EventCounts();
  const url = (await server.listen("127.0.0.1", 0)).unwrap();
  kv = new HttpKeyValueService({ clock, counter: events, url, timeoutMs: 300 });
});
test.after.each(async () => {
  await kv.close();
  await server.close();
});

// Guards against keys that are truncated at a slash, and against a compare-and-swap that accepts a
// stale write.
test("keys with any characters are written by compare-and-swap", async () => {
  assert.is((await kv.get(KEY)).unwrap(), undefined);
  const revision = (await kv.put({ key: KEY, value: "a", expectedRevision: 0 })).unwrap();
  const entry = { key: KEY, value: "a", revision };
  assert.equal((await kv.get(KEY)).unwrap(), entry);
  assert.equal((await kv.list("fleet/")).unwrap(), [entry]);
  const stale = await kv.put({ key: KEY, value: "b", expectedRevision: 0 });
  assert.equal(stale.val, { kind: "conflict", current: entry });
  assert.ok((await kv.delete({ key: KEY, expectedRevision: revision })).ok);
  const gone = await kv.delete({ key: KEY, expectedRevision: revision });
  assert.equal(gone.val, { kind: "conflict", current: undefined });
});

// Guards against a write that took effect but is reported as not written.
test("a lost reply makes a write ambiguous and a read unavailable", async () => {
  for (const fault of ["loseReplies", "truncateReplies"]) {
    server.setFaults({ [fault]: true });
    const put = await kv.put({ key: fault, value: "a", expectedRevision: 0 });
    assert.is(put.err && put.val.kind, "ambiguous");
    const read = await kv.get(fault);
    assert.is(read.err && read.val.kind, "unavailable");
    server.setFaults({ [fault]: false });
    assert.is((await kv.get(fault)).unwrap()?.value, "a");
  }
});

// Guards against reporting an unknown outcome when the service refused the write or the connection
// was refused, so that nothing was written.
test("a refused call and a refused connection are unavailable", async () => {
  server.setFaults({ unavailable: true });
  const refused = await kv.put({ key: "k", value: "a", expectedRevision: 0 });
  assert.is(refused.err && refused.val.kind, "unavailable");
  await server.close();
  const down = await kv.put({ key: "k", value: "a", expectedRevision: 0 });
  assert.is(down.err && down.val.kind, "unavailable");
});

// Guards against an instance that overloads a slow service, and against calls that exceed their
// timeout.
test("at most 8 calls run concurrently, and queued ones are not sent after their timeout", async () => {
  server.setFaults({ delayMs: 1000 });
  const started = clock.now();
  const puts = Array.from({ length: 20 }, (_, n) =>
    kv.put({ key: `k${n}`, value: "", expectedRevision: 0 }),
  );
  const kinds = (await Promise.all(puts)).map((put) => (put.err ? put.val.kind : "written"));
  assert.ok(clock.now() - started < 600);
  assert.is(server.callCounts().put, 8);
  assert.equal(
    kinds.slice(0, 8),
    Array.from({ length: 8 }, () => "ambiguous"),
  );
  assert.equal(
    kinds.slice(8),
    Array.from({ length: 12 }, () => "unavailable"),
  );
});

// Guards against a watcher that misses a change, or that treats an expired wait as a change.
test("a watch returns on a change, and reports an unchanged revision after its wait time", async () => {
  const revision = (await kv.put({ key: KEY, value: "a", expectedRevision: 0 })).unwrap();
  const unchanged = await kv.watch({ key: KEY, afterRevision: revision, waitMs: 20 });
  assert.equal(unchanged.unwrap(), { changed: false });
  const waiting = kv.watch({ key: KEY, afterRevision: revision, waitMs: 10_000 });
  const next = (await kv.put({ key: KEY, value: "b", expectedRevision: revision })).unwrap();
  const entry = { key: KEY, value: "b", revision: next };
  assert.equal((await waiting).unwrap(), { changed: true, entry });
  assert.is(events.count("kv_call_watch"), 2);
});

// Guards against keys that remain after their entry instance failed.
test("keys are deleted with their lease, and a write under a lapsed lease is refused", async () => {
  const leaseId = (await kv.grantLease(60_000)).unwrap();
  assert.ok((await kv.put({ key: "s", value: "a", expectedRevision: 0, leaseId })).ok);
  assert.ok((await kv.renewLease(leaseId)).ok);
  assert.ok((await kv.revokeLease(leaseId)).ok);
  assert.is((await kv.get("s")).unwrap(), undefined);
  const late = await kv.put({ key: "s", value: "a", expectedRevision: 0, leaseId });
  assert.equal(late.val, { kind: "lease-lapsed" });
  assert.equal((await kv.renewLease(leaseId)).val, { kind: "lease-lapsed" });
});

test.run();
