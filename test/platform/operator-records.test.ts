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

test("fields that are left out on the wire mean 0, false or empty", () => {
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

test("a cap of an organisation is an amount, a cap of a wave a number of instances", () => {
  const tenants = [{ name: "t", apiKeys: ["k"], weight: 4, cap: { cpu: 5000 } }];
  const config = decodeConfig(bytes({ version: 1, tenants }));
  assert.equal(config?.organisations[0]?.cap, { cpuMillis: 5000, memoryMb: 0, accelerators: 0 });
  const wave = decodeWave(bytes({ wave: 2, machines: ["m"], durationS: 20, cap: 3 }));
  assert.equal(wave, { wave: 2, instances: ["m"], durationMs: 20_000, maxAtOnce: 3 });
});

test("a worker's second label is its rack, and its boot is told by its start", () => {
  const server = decodeServer("i-1", bytes(WORKER));
  assert.is(server?.rack, "r1-2");
  assert.is(server?.bootedAt, 17);
  assert.is(server?.draining, false);
});

test("entries of other writers name no server to use", () => {
  const foreign = [
    Buffer.from("no json"),
    bytes(null),
    bytes({ ...WORKER, state: "resting" }),
    bytes({ ...WORKER, address: 7 }),
    bytes({ ...WORKER, capacity: "large" }),
    bytes({ ...WORKER, service: undefined }),
  ];
  for (const value of foreign) assert.is(decodeServer("i-1", value), undefined);
});

test.run();
