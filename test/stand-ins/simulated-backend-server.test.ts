import { test } from "uvu";
import * as assert from "uvu/assert";
import { SimulatedBackendServer } from "../../src/stand-ins/simulated-backend-server.ts";
import { taskSpec } from "../fakes/builders.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

async function serverWithLease(): Promise<{
  clock: VirtualClock;
  server: SimulatedBackendServer;
  leaseId: string;
}> {
  const clock = new VirtualClock();
  const server = new SimulatedBackendServer({ clock, name: "s1" });
  const { leaseId } = (await server.acquireLease("e1", 4000)).unwrap();
  return { clock, server, leaseId };
}

// Guards against a paused holder that starts tasks after another entry instance took over.
test("a start under a lapsed lease starts nothing", async () => {
  const { clock, server, leaseId } = await serverWithLease();
  await clock.advance(4000);
  assert.equal((await server.renewLease(leaseId, 4000)).val, { kind: "lease-lapsed" });
  assert.equal((await server.startTask(leaseId, taskSpec())).val, { kind: "lease-lapsed" });
  assert.is(server.running.length, 0);
  const next = (await server.acquireLease("e2", 4000)).unwrap();
  assert.is.not(next.leaseId, leaseId);
});

// Guards against two holders: an entry instance must not acquire a server that is leased to another
// one or reserved for a successor.
test("a released server is reserved for its successor for 2 seconds", async () => {
  const { clock, server, leaseId } = await serverWithLease();
  assert.equal((await server.acquireLease("e2", 4000)).val, { kind: "held", holder: "e1" });
  await server.releaseLease(leaseId, "e2");
  assert.equal((await server.acquireLease("e3", 4000)).val, { kind: "held", holder: "e2" });
  await clock.advance(2000);
  assert.ok((await server.acquireLease("e3", 4000)).ok);
});

// Guards against a repeated start that runs a task twice, also after its result was acknowledged.
test("a second start of the same attempt is a duplicate", async () => {
  const { clock, server, leaseId } = await serverWithLease();
  assert.ok((await server.startTask(leaseId, taskSpec())).ok);
  assert.equal((await server.startTask(leaseId, taskSpec())).val, { kind: "duplicate" });
  await clock.advance(100);
  await server.acknowledgeTask(leaseId, taskSpec());
  assert.equal((await server.startTask(leaseId, taskSpec())).val, { kind: "duplicate" });
  assert.ok((await server.startTask(leaseId, taskSpec({ attempt: 2 }))).ok);
});

test.run();
