import { connect as connectTcp, createServer, type AddressInfo, type Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "../../src/ports/system-clock.ts";
import type { Clock } from "../../src/ports/clock.ts";
import type { PeerHandler } from "../../src/ports/peer-transport.ts";
import { encodeFrame } from "../../src/transport/frames.ts";
import { TcpPeerTransport } from "../../src/transport/peer-tcp.ts";
import { helloOf, slotRecord } from "../fakes/builders.ts";
import { EventCounts } from "../fakes/event-counts.ts";
import { advanceUntilSettled, VirtualClock } from "../fakes/virtual-clock.ts";
import { waitUntil } from "../fakes/wait.ts";

const test = suite("peer-tcp");
const CONFIG = { type: "config" } as const;
const REPLY = { type: "config-reply", revision: 7, document: undefined } as const;
const cleanUp: (() => Promise<void> | void)[] = [];
let events = new EventCounts();

test.before.each(() => {
  events = new EventCounts();
});
test.after.each(async () => {
  for (const step of cleanUp.splice(0)) await step();
});

function transport(clock: Clock = new SystemClock()): TcpPeerTransport {
  const log = { error: (): void => undefined };
  const created = new TcpPeerTransport({ clock, counter: events, log });
  cleanUp.push(() => created.close());
  return created;
}

async function startServer(handler: PeerHandler): Promise<string> {
  const server = transport();
  (await server.listen(helloOf("server"), handler)).unwrap();
  return server.address!;
}

/** Starts a fake peer that calls `onData` for each chunk that the client sends. */
async function startScriptedPeer(onData: (socket: Socket, chunk: number) => void): Promise<string> {
  const server = createServer((socket) => {
    let chunk = 0;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      onData(socket, chunk++);
    });
    cleanUp.push(() => void socket.destroy());
  });
  cleanUp.push(() => void server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const frame = (value: unknown): Buffer => encodeFrame(value).unwrap();
const helloFrame = (): Buffer => frame({ kind: "hello", hello: helloOf("scripted") });

// Guards against replies matched to the wrong call when handlers finish out of order.
test("concurrent calls each get their own reply", async () => {
  const address = await startServer(async (_from, req) => {
    const wanted = req.type === "budget-request" ? req.wanted : 0;
    await new Promise((resolve) => setTimeout(resolve, 20 - wanted));
    return { type: "ack", accepted: wanted % 2 === 0 };
  });
  const peer = (await transport().connect(address, helloOf("client"))).unwrap();
  assert.is(peer.remote.incarnation, "server");
  const calls = Array.from({ length: 20 }, (_, wanted) =>
    peer.call({ type: "budget-request", team: "t", wanted }, 1000),
  );
  const replies = await Promise.all(calls);
  replies.forEach((reply, wanted) => {
    assert.is(reply.unwrap().accepted, wanted % 2 === 0);
  });
});

// Guards against a new incarnation in the same process that still responds as the previous one,
// which its peers refuse.
test("a transport that listens again responds only as its new incarnation", async () => {
  const server = transport();
  const handler: PeerHandler = () => Promise.resolve(REPLY);
  (await server.listen(helloOf("first"), handler)).unwrap();
  const { address } = server;
  await server.close();
  (await server.listen(helloOf("second", { address: address! }), handler)).unwrap();
  const peer = (await transport().connect(address!, helloOf("client"))).unwrap();
  assert.is(peer.remote.incarnation, "second");
  assert.equal((await peer.call(CONFIG, 1000)).unwrap(), REPLY);
  assert.is(events.count("peer_reply_unmatched"), 0);
});

// Guards against a late reply that is matched to another call.
test("a reply after the timeout is dropped and counted", async () => {
  let sendReply = (): void => undefined;
  const replyReleased = new Promise<void>((resolve) => (sendReply = resolve));
  let calls = 0;
  const address = await startServer(async () => {
    const revision = ++calls;
    if (revision === 1) await replyReleased;
    return { ...REPLY, revision };
  });
  const peer = (await transport().connect(address, helloOf("client"))).unwrap();
  const late = await peer.call(CONFIG, 30);
  assert.is(late.err && late.val.kind, "ambiguous");
  sendReply();
  await waitUntil(() => events.count("peer_reply_unmatched") === 1);
  assert.is((await peer.call(CONFIG, 1000)).unwrap().revision, 2);
});

// Guards against reporting a call that may have run as not run, and vice versa.
test("calls are ambiguous once they were written, and not sent before", async () => {
  const address = await startScriptedPeer((socket, chunk) => {
    if (chunk === 0) socket.write(helloFrame());
    else socket.destroy();
  });
  const peer = (await transport().connect(address, helloOf("client"))).unwrap();
  const lost = await peer.call(CONFIG, 1000);
  assert.is(lost.err && lost.val.kind, "ambiguous");
  await waitUntil(() => !peer.open);
  const closed = await peer.call(CONFIG, 1000);
  assert.is(closed.err && closed.val.kind, "not-sent");
  const refused = await transport().connect("127.0.0.1:1", helloOf("client"));
  assert.is(refused.err && refused.val.kind, "not-sent");
});

// Guards against unbounded buffering for a peer that stops reading, and against reporting calls that
// never left this process as possibly run.
test("calls queued behind a blocked connection are not sent", async () => {
  const address = await startScriptedPeer((socket) => {
    socket.write(helloFrame());
    socket.pause();
  });
  const peer = (await transport().connect(address, helloOf("client"))).unwrap();
  const payload = { contentType: "a/b", body: Buffer.alloc(1_000_000) };
  const state = { kind: "pending", started: false } as const;
  const records = [{ ...slotRecord({ payload }), state, attempt: 0 }];
  const results = await Promise.all(
    Array.from({ length: 300 }, () =>
      peer.call({ type: "slot-transfer", slots: [], records }, 100),
    ),
  );
  const kinds = results.map((result) => (result.err ? result.val.kind : "ok"));
  assert.is(kinds[0], "ambiguous");
  assert.is(kinds[255], "not-sent");
  assert.equal(new Set(kinds.slice(256)), new Set(["busy"]));
});

// Guards against keeping a connection after the remote peer violated the protocol.
test("malformed frames and calls close the connection and are counted by reason", async () => {
  const address = await startServer(() => Promise.resolve(REPLY));
  const oversized = Buffer.from([0x7f, 0, 0, 0]);
  const cases: readonly (readonly [string, readonly Buffer[]])[] = [
    ["peer_frame_oversized", [helloFrame(), oversized]],
    ["peer_frame_not_cbor", [helloFrame(), Buffer.from([0, 0, 0, 1, 0xff])]],
    ["peer_call_malformed", [helloFrame(), frame({ kind: "call", callId: 1, req: { type: "x" } })]],
    ["peer_hello_malformed", [frame({ kind: "call", callId: 1, req: CONFIG })]],
    ["peer_version_mismatch", [frame({ kind: "hello", hello: { version: 99 } })]],
  ];
  for (const [reason, bytes] of cases) {
    const { port } = new URL(`tcp://${address}`);
    const socket = connectTcp(Number(port), "127.0.0.1");
    const closed = new Promise((resolve) => socket.on("close", resolve).resume());
    socket.on("error", () => undefined);
    for (const part of bytes) socket.write(part);
    await closed;
    await waitUntil(() => events.count(reason) === 1);
  }
});

// Guards against a peer that exceeds the limit of concurrent calls.
test("calls above the limit are refused without being processed", async () => {
  let handled = 0;
  const address = await startServer(() => {
    handled++;
    return new Promise(() => undefined);
  });
  const socket = connectTcp(Number(new URL(`tcp://${address}`).port), "127.0.0.1");
  cleanUp.push(() => void socket.destroy());
  socket.write(helloFrame());
  for (let callId = 0; callId < 260; callId++) {
    socket.write(frame({ kind: "call", callId, req: CONFIG }));
  }
  await waitUntil(() => events.count("peer_busy") === 4);
  assert.is(handled, 256);
});

// Guards against passing a reply of the wrong type to the caller.
test("a reply of the wrong type closes the connection", async () => {
  const wrong = { kind: "reply", callId: 1, reply: { type: "ack", accepted: true } };
  const address = await startScriptedPeer((socket, chunk) => {
    socket.write(chunk === 0 ? helloFrame() : frame(wrong));
  });
  const peer = (await transport().connect(address, helloOf("client"))).unwrap();
  const reply = await peer.call(CONFIG, 1000);
  assert.is(reply.err && reply.val.kind, "ambiguous");
  assert.is(events.count("peer_reply_malformed"), 1);
});

// Guards against keeping a connection during minutes of TCP retransmission after a partition.
test("an unresponsive connection is closed after calls time out", async () => {
  const clock = new VirtualClock();
  const address = await startScriptedPeer((socket, chunk) => {
    if (chunk === 0) socket.write(helloFrame());
  });
  const peer = (await transport(clock).connect(address, helloOf("client"))).unwrap();
  assert.is((await advanceUntilSettled(clock, peer.call(CONFIG, 1000))).err, true);
  assert.ok(peer.open);
  const calls = [peer.call(CONFIG, 2500), peer.call(CONFIG, 3500)];
  for (const call of calls) assert.is((await advanceUntilSettled(clock, call)).err, true);
  assert.not.ok(peer.open);
  assert.is(events.count("peer_silent"), 1);
});

// Guards against a failed handler that sends no reply, so that its caller waits for the timeout.
test("a failing handler gives an ambiguous result", async () => {
  const address = await startServer(() => Promise.reject(new Error("fault")));
  const peer = (await transport().connect(address, helloOf("client"))).unwrap();
  const reply = await peer.call(CONFIG, 1000);
  assert.is(reply.err && reply.val.kind, "ambiguous");
  assert.is(events.count("peer_handler_failed"), 1);
});

test.run();
