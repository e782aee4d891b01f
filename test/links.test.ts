import { Ok, type Result } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { KeyValueStore } from "../src/stand-ins/key-value-store.ts";
import { EchoRunner, SimulatedBackendServer } from "../src/stand-ins/simulated-backend-server.ts";
import type { PeerConnection, PeerError } from "../src/ports/peer-transport.ts";
import { FaultyBackendConnector } from "./fakes/faulty-backend.ts";
import { helloOf, taskSpec } from "./fakes/builders.ts";
import { FaultyKeyValue } from "./fakes/faulty-key-value.ts";
import { Links, type Party } from "./fakes/links.ts";
import { PeerNetwork } from "./fakes/peer-network.ts";
import { ProcessClock, ProcessGate } from "./fakes/process-gate.ts";
import { SeededRandom } from "./fakes/seeded-random.ts";
import { LaggingInstances } from "./fakes/faulty-instance-list.ts";
import { advanceUntilSettled, VirtualClock } from "./fakes/virtual-clock.ts";

// Tests of the fakes that inject faults. If a fake does not inject its fault, the fuzz tests pass
// without testing that fault.

interface Fixture {
  readonly clock: VirtualClock;
  readonly links: Links;
  readonly party: (...tags: string[]) => Party;
}

function fixture(): Fixture {
  const clock = new VirtualClock();
  const links = new Links({ clock, random: new SeededRandom(1) });
  return { clock, links, party: (...tags) => ({ tags, gate: new ProcessGate({ clock }) }) };
}

const hello = (address: string) => helloOf(address, { address });

const SPEC = taskSpec({ requestId: "r", team: undefined });

test("a paused process runs its timers late and in order", async () => {
  const { clock } = fixture();
  const gate = new ProcessGate({ clock });
  const process = new ProcessClock({ base: clock, gate });
  const ran: string[] = [];
  process.schedule(20, () => ran.push(`b at ${process.now()}`));
  process.schedule(10, () => ran.push(`a at ${process.now()}`));
  process.schedule(15, () => ran.push("cancelled")).cancel();
  gate.pause();
  await clock.advance(1000);
  assert.equal(ran, []);
  gate.resume();
  await clock.advance(1);
  assert.equal(ran, ["a at 1000", "b at 1000"]);
});

test("a killed process runs nothing more and gets no reply", async () => {
  const { clock, links, party } = fixture();
  const [a, b] = [party("a"), party("b")];
  let replied = false;
  void links.call(a, b, () => Promise.resolve(1), 100).then(() => (replied = true));
  a.gate.kill();
  await clock.advance(500);
  assert.is(replied, false);
  const refused = await advanceUntilSettled(
    clock,
    links.call(b, a, () => Promise.resolve(1), 100),
  );
  assert.is(refused.kind, "not-sent");
});

test("a cut makes a pending call ambiguous, and late delivery completes it after healing", async () => {
  const { clock, links, party } = fixture();
  let delivered = 0;
  const deliver = (): Promise<number> => Promise.resolve(++delivered);
  const call = links.call(party("a"), party("b"), deliver, 100);
  links.setLateDelivery(true);
  links.cut("a", "b");
  assert.is((await advanceUntilSettled(clock, call)).kind, "ambiguous");
  await clock.advance(1000);
  assert.is(delivered, 0);
  links.heal("a", "b");
  await clock.advance(1000);
  assert.is(delivered, 1);
});

test("a call that reports not-sent never has an effect", async () => {
  const { clock, links, party } = fixture();
  links.cut("a", "b");
  links.setLateDelivery(true);
  const effects = new Set<number>();
  const notSent: number[] = [];
  for (let i = 0; i < 20; i++) {
    const call = links.call(party("a"), party("b"), () => Promise.resolve(effects.add(i)), 100);
    if ((await advanceUntilSettled(clock, call)).kind === "not-sent") notSent.push(i);
  }
  links.healAll();
  await clock.advance(1000);
  assert.ok(notSent.length > 0 && effects.size > 0);
  assert.is(effects.size + notSent.length, 20);
  assert.not.ok(notSent.some((i) => effects.has(i)));
});

test("a write whose reply is lost is ambiguous and took effect", async () => {
  const { clock, links, party } = fixture();
  const store = new KeyValueStore({ clock });
  const platform = party("platform");
  const keyValue = new FaultyKeyValue({ links, party: party("a"), platform, store });
  links.loseReplies("platform", 1);
  const put = await advanceUntilSettled(
    clock,
    keyValue.put({ key: "k", value: "1", expectedRevision: 0 }),
  );
  assert.is(put.err && put.val.kind, "ambiguous");
  links.healAll();
  const got = await advanceUntilSettled(clock, keyValue.get("k"));
  assert.is(got.ok && got.val?.value, "1");
});

test("a start delivered late reaches the backend server after its sender timed out", async () => {
  const { clock, links, party } = fixture();
  const starts: string[] = [];
  const server = new SimulatedBackendServer({
    clock,
    name: "s",
    runner: new EchoRunner(),
    observe: (event, spec) => starts.push(`${event} ${spec.requestId}`),
  });
  const backend = new FaultyBackendConnector({
    links,
    party: party("a"),
    servers: [{ address: "http://s", party: party("s"), server }],
  }).connect("http://s");
  const lease = (await advanceUntilSettled(clock, backend.acquireLease("a", 60_000))).unwrap();
  const start = backend.startTask(lease.leaseId, SPEC);
  links.setLateDelivery(true);
  links.cut("a", "s");
  const outcome = await advanceUntilSettled(clock, start);
  assert.is(outcome.err && outcome.val.kind, "ambiguous");
  assert.equal(starts, []);
  links.heal("a", "s");
  await clock.advance(1000);
  assert.equal(starts, ["start r", "end r"]);
});

test("peers exchange copies of messages, and a reset closes their connection", async () => {
  const { clock, links, party } = fixture();
  const network = new PeerNetwork({ links });
  const received: unknown[] = [];
  await network.transport(party("b")).listen(hello("b"), (from, req) => {
    received.push({ from: from.incarnation, req });
    return Promise.resolve({ type: "ack", accepted: true });
  });
  const opening = network.transport(party("a")).connect("b", hello("a"));
  const opened: Result<PeerConnection, PeerError> = await advanceUntilSettled(clock, opening);
  const connection = opened.unwrap();
  const req = { type: "run-cancel", requestId: "r", attempt: 1 } as const;
  assert.equal(
    await advanceUntilSettled(clock, connection.call(req, 100)),
    Ok({ type: "ack", accepted: true }),
  );
  assert.equal(received, [{ from: "a", req }]);
  const cut = connection.call(req, 100);
  links.cut("a", "b");
  links.reset("a", "b");
  assert.ok((await advanceUntilSettled(clock, cut)).err);
  assert.is(connection.open, false);
});

test("the instance list shows changes after its lag, and none while frozen", async () => {
  const { clock } = fixture();
  const list = new LaggingInstances({ clock, instances: [], lagMs: 100 });
  const instance = {
    name: "s",
    address: "",
    zone: "a",
    rack: "r",
    cores: 1,
    memoryGb: 1,
    accelerators: 0,
    slots: 1,
    state: "live",
  } as const;
  list.set([instance]);
  assert.is(list.visible.length, 0);
  list.freeze();
  await clock.advance(200);
  assert.is(list.visible.length, 0);
  list.unfreeze();
  assert.is(list.visible.length, 1);
});

test("a stall delays messages in flight, and later messages overtake them", async () => {
  const { clock, links, party } = fixture();
  const [from, to] = [party("entry"), party("server")];
  const arrived: string[] = [];
  const send = (name: string): void => {
    void links.call(from, to, () => Promise.resolve(arrived.push(name)), 1000);
  };
  send("first");
  links.stall("entry", "server", { ms: 3000, forMs: 5 });
  await clock.advance(100);
  send("second");
  await clock.advance(100);
  assert.equal(arrived, ["second"]);
  await clock.advance(3000);
  assert.equal(arrived, ["second", "first"]);
});

test.run();
