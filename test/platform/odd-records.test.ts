import { test } from "uvu";
import * as assert from "uvu/assert";
import { PlatformServerRegistry } from "../../platform/feeds.ts";
import { PlatformInstanceControl } from "../../platform/instance-control.ts";
import { SystemClock } from "../../src/ports/system-clock.ts";
import type { ServerListener } from "../../src/coordination/jobs/job-feeds.ts";
import { MemoryRecordStore } from "../../src/stand-ins/memory-record-store.ts";
import { EventCounts } from "../fakes/event-counts.ts";
import { FakeHttpServer } from "../fakes/jobs/fake-http-server.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const NESTED = "[".repeat(100_000) + "]".repeat(100_000);
const ODD_RECORDS = [
  ...[NESTED, "[".repeat(100_000), "", "null", "\u0000\uffff", '{"service":"p"}'],
  record('"address":"10.0.0.1:99999"'),
  record('"born":1e999'),
  record(`"capacity":${NESTED}`),
  record('"capacity":{"cpu":1e999}'),
  record('"zone":{"a":1}'),
];

/** JSON text of a worker's record, in which the given field comes last and so replaces the usual one. */
function record(field: string): string {
  const usual = { service: "p", address: "10.0.0.1:80", zone: "z", state: "ready", born: 17 };
  const text = JSON.stringify({ ...usual, capacity: { cpu: 16_000 }, labels: ["a", "r"] });
  return `${text.slice(0, -1)},${field}}`;
}

function noop(): undefined {
  return undefined;
}

// Guards against a follower of the registrations that ends, or misses later ones, because of one record
// of another writer.
test("odd records among the registrations hide no server, at the first read and later", async () => {
  const clock = new VirtualClock();
  const store = new MemoryRecordStore(clock);
  const counts = new EventCounts();
  const writeOdd = (prefix: string): void => {
    for (const [index, text] of ODD_RECORDS.entries())
      store.write(`servers/${prefix}${index}`, Buffer.from(text));
  };
  const write = (id: string): void => {
    store.write(`servers/${id}`, Buffer.from(record('"coldRemainingMs":0')));
  };
  write("a");
  writeOdd("first");
  write("b");
  const present = new Set<string>();
  const listener = {
    reset: (servers: readonly { readonly id: string }[]) => {
      for (const { id } of servers) present.add(id);
    },
    registered: ({ id }: { readonly id: string }) => present.add(id),
    removed: (id: string) => present.delete(id),
  } as unknown as ServerListener;
  const log = { debug: noop, info: noop, warn: noop, error: noop };
  const random = new SeededRandom(1);
  const registry = new PlatformServerRegistry({
    ...{ store: store.client(), clock, random, log },
    count: (event) => {
      counts.event(event);
    },
  });
  const stop = new AbortController();
  void registry.follow(listener, stop.signal);
  await clock.advance(100);
  assert.equal([...present].sort(), ["a", "b"]);
  writeOdd("second");
  write("c");
  await clock.advance(3000);
  assert.equal([...present].sort(), ["a", "b", "c"]);
  stop.abort();
});

// Guards against instances that can't be moved or maintained any more because of one unreadable row.
test("an unreadable row of the list of instances hides no other instance", async () => {
  const good = { machine: "m1", pool: "p", state: "up", zone: "z", capacity: { cpu: 8000 } };
  const machines = [
    { ...good, machine: 7 },
    { ...good, machine: "m0", state: "resting" },
    good,
    null,
  ];
  const server = new FakeHttpServer(() => Promise.resolve({ status: 200, body: { machines } }));
  try {
    const control = new PlatformInstanceControl(
      new SystemClock(),
      `http://${await server.listen()}`,
    );
    const listed = await control.list();
    const rows = listed.map((found) => found.map(({ name, state }) => `${name} ${state}`));
    assert.equal(rows.unwrapOr([]), ["m0 down", "m1 up"]);
  } finally {
    server.close();
  }
});

test.run();
