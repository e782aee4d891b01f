import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeConfig, decodeServer, decodeWave } from "../../platform/operator-records.ts";

function bytes(value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value));
}

const WORKER = {
  ...{ service: "p", address: "10.0.0.1:80", zone: "z", state: "ready", born: 17 },
  capacity: { cpu: 16_000, memMb: 32_768 },
  labels: ["a", "r1-2"],
};

// Guards against a configuration that is refused because its writer omits default values.
test("fields omitted from a configuration have their default values", () => {
  const config = decodeConfig(
    bytes({
      version: 3,
      routes: [{ name: "q", prefix: "/q/", service: "p" }],
      services: [{ name: "p" }],
    }),
  );
  const [queue] = config?.queues ?? [];
  assert.is(queue?.priority, 0);
  assert.is(queue?.openToAll, false);
  assert.is(queue?.maxAttempts, 1);
  assert.is(queue?.advice, undefined);
  assert.is(config?.pools[0]?.spare, false);
  assert.equal(config?.organisations, []);
});

// Guards against mixing up the two meanings of `cap`.
test("the cap of an organisation is an amount, the cap of a wave is a number of instances", () => {
  const tenants = [{ name: "t", apiKeys: ["k"], weight: 4, cap: { cpu: 5000 } }];
  const config = decodeConfig(bytes({ version: 1, tenants }));
  assert.equal(config?.organisations[0]?.cap, { cpuMillis: 5000, memoryMb: 0, accelerators: 0 });
  const wave = decodeWave(bytes({ wave: 2, machines: ["m"], durationS: 20, cap: 3 }));
  assert.equal(wave, { wave: 2, instances: ["m"], durationMs: 20_000, maxAtOnce: 3 });
});

// Guards against a reboot under the same id that is not recognised, and against a wrong rack.
test("a worker's second label is its rack, and its start time identifies its boot", () => {
  const server = decodeServer("i-1", bytes(WORKER));
  assert.is(server?.rack, "r1-2");
  assert.is(server?.bootedAt, 17);
  assert.is(server?.draining, false);
});

// Guards against a server that is left out, or counts as cold for ever, because of an odd cold time.
test("a worker's cold time is 0 if it is absent, negative or unreadable", () => {
  const coldRemainingMs = (value?: unknown) =>
    decodeServer("i-1", bytes({ ...WORKER, coldRemainingMs: value }))?.coldRemainingMs;
  assert.equal([700, -1, "long", undefined].map(coldRemainingMs), [700, 0, 0, 0]);
});

// Guards against errors thrown by, or tasks placed on, a server from a malformed record.
test("malformed records of other writers are not decoded as servers", () => {
  const malformed = [
    Buffer.from("no json"),
    bytes(null),
    bytes({ ...WORKER, state: "resting" }),
    bytes({ ...WORKER, address: 7 }),
    bytes({ ...WORKER, capacity: "large" }),
    bytes({ ...WORKER, service: undefined }),
  ];
  for (const value of malformed) assert.is(decodeServer("i-1", value), undefined);
});

/** The record of a worker with one field replaced by JSON text. */
function withField(name: string, json: string): Uint8Array {
  return Buffer.from(JSON.stringify({ ...WORKER, [name]: "?" }).replace('"?"', json));
}

// Guards against a server that is polled for ever at an address that can't exist, or whose real
// registrations are ignored because a record of another writer has a boot time in the infinite future.
test("records with numbers out of range are not decoded as servers", () => {
  const odd = [
    withField("address", '"10.0.0.1:99999"'),
    withField("address", '"10.0.0.1:0"'),
    withField("address", '"10.0.0.1 :80"'),
    withField("born", "1e999"),
    withField("born", "17.5"),
    withField("born", "-1"),
    withField("capacity", '{"cpu":1e999}'),
    withField("capacity", '{"cpu":-1}'),
    withField("capacity", "[]"),
  ];
  for (const value of odd)
    assert.is(decodeServer("i-1", value), undefined, Buffer.from(value).toString());
});

test("very deeply nested records are decoded or refused without an error", () => {
  const nested = "[".repeat(100_000) + "]".repeat(100_000);
  assert.is(decodeServer("i-1", withField("capacity", nested)), undefined);
  assert.is(decodeServer("i-1", withField("other", nested))?.id, "i-1");
  assert.is(decodeServer("i-1", Buffer.from("[".repeat(100_000))), undefined);
});

test.run();
