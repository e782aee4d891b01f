import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { HttpClient } from "../../src/transport/http-client.ts";
import { TrafficMeter } from "../../src/transport/traffic-meter.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const test = suite("http-client");
const cleanUp: (() => unknown)[] = [];

test.after.each(async () => {
  for (const step of cleanUp.splice(0)) await step();
});

/** Starts a server that responds to any data with the given bytes and closes the connection. */
async function serveBytes(bytes: string): Promise<string> {
  const server: Server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => socket.end(bytes));
  });
  cleanUp.push(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against accepting a body that was truncated by a closed connection.
test("only complete replies with a declared length are accepted", async () => {
  const client = new HttpClient({ clock: new SystemClock(), connections: 1 });
  cleanUp.push(() => client.close());
  const cases: readonly (readonly [string, boolean])[] = [
    ["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n12", true],
    ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n\r\n", true],
    ["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1", false],
    ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n", false],
    ["HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n1", false],
    ["HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{", false],
    ["", false],
  ];
  for (const [bytes, accepted] of cases) {
    const origin = await serveBytes(bytes);
    const reply = await client.call({ origin, method: "GET", path: "/", timeoutMs: 2000 });
    assert.is(reply.ok, accepted, bytes);
    if (reply.err) assert.is(reply.val.kind, "ambiguous");
  }
});

// Guards against an invalid address that ends the process or is reported as ambiguous.
test("a call to an invalid URL is reported as not sent", async () => {
  const client = new HttpClient({ clock: new SystemClock(), connections: 1 });
  cleanUp.push(() => client.close());
  const reply = await client.call({ origin: "nowhere", method: "GET", path: "/", timeoutMs: 100 });
  assert.is(reply.err && reply.val.kind, "not-sent");
});

// Guards against calls that time out and are retried while they still wait for this instance's own
// slow link.
test("a slow link adds the transfer time of the body and of other traffic to the timeout", () => {
  const clock = new VirtualClock();
  const client = new HttpClient({ clock, connections: 1, linkBytesPerMs: 250 });
  cleanUp.push(() => client.close());
  const json = "x".repeat(50_000);
  const call = { origin: "http://127.0.0.1:1", method: "POST", path: "/", json } as const;
  const timeouts: number[] = [];
  clock.schedule = (delayMs, callback) => {
    timeouts.push(delayMs);
    return new VirtualClock().schedule(delayMs, callback);
  };
  void client.call({ ...call, timeoutMs: 150 });
  const [timeoutMs = 0] = timeouts;
  assert.ok(timeoutMs >= 150 + 50_000 / 250 && timeoutMs < 1500, `${timeoutMs}`);
});

// Guards against counts that omit bodies, and against counts that are reported twice.
test("bytes are counted by purpose", async () => {
  const meter = new TrafficMeter();
  const client = new HttpClient({ clock: new SystemClock(), connections: 1, meter });
  cleanUp.push(() => client.close());
  const origin = await serveBytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n12");
  const call = { origin, method: "POST", timeoutMs: 2000 } as const;
  await client.call({ ...call, path: "/start?x=1", json: "y".repeat(1000) });
  const start = meter.take()["/start"]!;
  assert.is(start.calls, 1);
  assert.ok(start.sentBytes > 1000 && start.sentBytes < 1500);
  assert.ok(start.receivedBytes >= 2);
  assert.equal(meter.take(), {});
});

test.run();
