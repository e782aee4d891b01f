import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { BackendServer } from "../../src/ports/backend-server.ts";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { ConfigurableRunner } from "../../src/stand-ins/configurable-runner.ts";
import { serveBackendServer } from "../../src/stand-ins/http-backend-server.ts";
import { serveInstanceList } from "../../src/stand-ins/http-instance-list.ts";
import { SimulatedBackendServer } from "../../src/stand-ins/simulated-backend-server.ts";
import type { StandInServer } from "../../src/stand-ins/stand-in-server.ts";
import { StaticInstanceList } from "../../src/stand-ins/static-instance-list.ts";
import { HttpBackendConnector } from "../../src/transport/http-backend-server.ts";
import { HttpInstanceList } from "../../src/transport/http-instance-list.ts";
import { taskSpec } from "../fakes/builders.ts";

const test = suite("http-backend-server");
const clock = new SystemClock();
let simulated: SimulatedBackendServer;
let server: StandInServer;
let connector: HttpBackendConnector;
let backend: BackendServer;
let url: string;

test.before.each(async () => {
  const runner = new ConfigurableRunner({ runMs: 5 });
  simulated = new SimulatedBackendServer({ clock, name: "s1", slots: 2, runner });
  server = serveBackendServer(clock, simulated, runner);
  url = (await server.listen("127.0.0.1", 0)).unwrap();
  connector = new HttpBackendConnector({ clock, timeoutMs: 500 });
  backend = connector.connect(url);
});
test.after.each(async () => {
  simulated.restart();
  await connector.close();
  await server.close();
});

async function lease(): Promise<string> {
  return (await backend.acquireLease("e1", 60_000)).unwrap().leaseId;
}

function post(path: string, body: unknown): Promise<Response> {
  return fetch(url + path, { method: "POST", body: JSON.stringify(body) });
}

// Guards against a body or a field that changes in a call to the backend server or in its reply.
test("a task runs, and its whole record is listed until it is acknowledged", async () => {
  const leaseId = await lease();
  const body = Buffer.from([0, 255, 10, 13]);
  const payload = { contentType: "application/octet-stream", body };
  const spec = taskSpec({ requestId: "e1.a/b c", team: undefined, payload });
  assert.ok((await backend.startTask(leaseId, spec)).ok);
  const events = (await backend.pollEvents(leaseId, 0, 5000)).unwrap();
  const { payload: _payload, ...fields } = spec;
  const record = { ...fields, state: "finished", result: { kind: "answer", payload } };
  assert.equal(events.finished, [record]);
  const { next } = events;
  assert.equal((await backend.renewLease(leaseId, 4000)).unwrap(), { next });
  assert.equal((await backend.listTasks(leaseId)).unwrap(), [record]);
  assert.ok((await backend.acknowledgeTask(leaseId, spec)).ok);
  assert.equal((await backend.listTasks(leaseId)).unwrap(), []);
});

// Guards against a refusal that the dispatcher mistakes for another one.
test("every refusal keeps its kind", async () => {
  const leaseId = await lease();
  const long = { runMs: 60_000 };
  assert.ok((await backend.startTask(leaseId, taskSpec({}, long))).ok);
  assert.equal((await backend.startTask(leaseId, taskSpec())).val, { kind: "duplicate" });
  assert.equal((await backend.startTask("x", taskSpec())).val, { kind: "lease-lapsed" });
  const second = taskSpec({ requestId: "r2" }, long);
  assert.ok((await backend.startTask(leaseId, second)).ok);
  const third = taskSpec({ requestId: "r3" });
  assert.equal((await backend.startTask(leaseId, third)).val, { kind: "full" });
  assert.equal((await backend.reboot(leaseId)).val, { kind: "full" });
  assert.equal((await backend.acquireLease("e2", 1000)).val, { kind: "held", holder: "e1" });
  assert.is((await post("/faults", { leaving: true })).status, 200);
  assert.equal((await backend.startTask(leaseId, third)).val, { kind: "leaving" });
  assert.ok((await backend.stopTask(leaseId, second)).ok);
  const events = (await backend.pollEvents(leaseId, 0, 0)).unwrap();
  assert.ok(events.leaving);
  assert.equal(events.finished[0]?.result, { kind: "stopped", checkpointed: false });
  const bad = await backend.startTask(leaseId, taskSpec({ attempt: -1 }));
  assert.is(bad.err && bad.val.kind, "rejected");
});

// Guards against a truncated answer that is returned to a caller as a complete one.
test("a truncated answer is not delivered, and the next poll returns it complete", async () => {
  const leaseId = await lease();
  assert.ok((await backend.startTask(leaseId, taskSpec({}, { text: "whole" }))).ok);
  server.setFaults({ truncateReplies: true });
  const cut = await backend.pollEvents(leaseId, 0, 1000);
  assert.is(cut.err && cut.val.kind, "ambiguous");
  server.setFaults({ truncateReplies: false });
  const events = (await backend.pollEvents(leaseId, 0, 1000)).unwrap();
  const result = events.finished[0]?.result;
  assert.is(
    result?.kind === "answer" && Buffer.from(result.payload.body).toString(),
    '{"text":"whole"}',
  );
});

// Guards against repeating a start with unknown outcome, and against treating a start that was
// certainly not sent as one with unknown outcome.
test("a start is ambiguous once it was sent, and unreachable before", async () => {
  const leaseId = await lease();
  server.setFaults({ loseReplies: true });
  const lost = await backend.startTask(leaseId, taskSpec());
  assert.is(lost.err && lost.val.kind, "ambiguous");
  assert.is(server.callCounts().start, 1);
  await server.close();
  const down = await backend.startTask(leaseId, taskSpec({ attempt: 2 }));
  assert.is(down.err && down.val.kind, "unreachable");
});

// Guards against a start that is sent after it was reported to its caller as not sent.
test("starts that wait for a connection are not sent after their timeout", async () => {
  const leaseId = await lease();
  const polls = Array.from({ length: 64 }, () => backend.pollEvents(leaseId, 0, 10_000));
  const specs = Array.from({ length: 6 }, (_, n) => taskSpec({ requestId: `r${n}` }));
  const started = await Promise.all(specs.map((spec) => backend.startTask(leaseId, spec)));
  const kinds = started.map((start) => (start.err ? start.val.kind : "started"));
  assert.equal(new Set(kinds), new Set(["unreachable"]));
  simulated.leave();
  for (const poll of polls) assert.ok((await poll).ok);
  assert.ok((await backend.listTasks(leaseId)).ok);
  assert.is(server.callCounts().start, undefined);
});

// Guards against stand-ins that ignore the failures that fault tests configure.
test("tasks fail when the body, the options or a fault requests it", async () => {
  const leaseId = await lease();
  await backend.startTask(leaseId, taskSpec({}, { fail: "no ink", runMs: 1 }));
  const first = (await backend.pollEvents(leaseId, 0, 1000)).unwrap();
  assert.equal(first.finished[0]?.result, { kind: "failure", reason: "no ink" });
  await post("/faults", { failAll: true });
  await backend.startTask(leaseId, taskSpec({ attempt: 2 }));
  const second = (await backend.pollEvents(leaseId, first.next, 1000)).unwrap();
  assert.is(second.finished[0]?.result?.kind, "failure");
  assert.is((await post("/faults", { fialAll: true })).status, 400);
});

// Guards against an instance list that loses fields of a registered backend server.
test("registered instances are listed until they are removed", async () => {
  const listServer = serveInstanceList(clock, new StaticInstanceList());
  const listUrl = (await listServer.listen("127.0.0.1", 0)).unwrap();
  const list = new HttpInstanceList({ clock, url: listUrl });
  const resources = { cores: 64, memoryGb: 256, accelerators: 2, slots: 8 };
  const fields = { address: url, zone: "z1", rack: "k1", ...resources, state: "live" };
  const path = `${listUrl}/v1/instances/s1`;
  await fetch(path, { method: "PUT", body: JSON.stringify(fields) });
  assert.equal((await list.list()).unwrap(), [{ name: "s1", ...fields }]);
  await fetch(path, { method: "DELETE" });
  assert.equal((await list.list()).unwrap(), []);
  await listServer.close();
  assert.is((await list.list()).err, true);
  await list.close();
});

test.run();
