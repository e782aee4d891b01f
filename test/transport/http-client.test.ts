import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { HttpClient } from "../../src/transport/http-client.ts";

const test = suite("http-client");
const cleanUp: (() => unknown)[] = [];

test.after.each(async () => {
  for (const step of cleanUp.splice(0)) await step();
});

/** A server that answers every request with the given bytes and then closes the connection. */
async function answering(bytes: string): Promise<string> {
  const server: Server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => socket.end(bytes));
  });
  cleanUp.push(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against a body that was cut off by a closed connection being taken for the whole.
test("only replies with a declared and reached end are accepted", async () => {
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
  for (const [bytes, whole] of cases) {
    const origin = await answering(bytes);
    const reply = await client.call({ origin, method: "GET", path: "/", timeoutMs: 2000 });
    assert.is(reply.ok, whole, bytes);
    if (reply.err) assert.is(reply.val.kind, "ambiguous");
  }
});

// Guards against an unusable address ending the process, or being taken for a doubt.
test("an address that is no URL is not sent", async () => {
  const client = new HttpClient({ clock: new SystemClock(), connections: 1 });
  cleanUp.push(() => client.close());
  const reply = await client.call({ origin: "nowhere", method: "GET", path: "/", timeoutMs: 100 });
  assert.is(reply.err && reply.val.kind, "not-sent");
});

test.run();
