import { test } from "uvu";
import * as assert from "uvu/assert";
import { RebootKeeper } from "../../src/coordination/reboot-keeper.ts";
import { KeyValueFleetStore } from "../../src/coordination/fleet-store.ts";
import { FleetFollower } from "../../src/coordination/fleet-follower.ts";
import type { FleetView, HeldServers, Peers } from "../../src/coordination/ports.ts";
import { ReportedHealth, ZoneHealth } from "../../src/coordination/server-health.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { SimulatedBackendServer } from "../../src/stand-ins/simulated-backend-server.ts";
import { serversByRack } from "../fakes/planned-fleet.ts";
import { QUIET_LOG, RecordedCounters } from "../fakes/quiet.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { onClock, VirtualClock } from "../fakes/virtual-clock.ts";

// Guards against a takeover of leases that looks like the loss of servers, and against the reverse.
test("a server that no entry of its zone holds is down after the time of a takeover", async () => {
  const clock = new VirtualClock();
  const held = new Set(["s00", "s01"]);
  const servers = serversByRack().filter((server) => ["s00", "s01", "s02"].includes(server.name));
  const gossip = [{ hello: { zone: "andina-a" }, message: { held: ["s02"] } }];
  const zone = new ZoneHealth({
    ...{ clock, zone: "andina-a", bad: () => [] },
    fleet: { current: () => ({ servers }) } as unknown as FleetView,
    held: { list: () => [...held].map((name) => ({ name })) } as unknown as HeldServers,
    peers: { gossip: () => new Map(gossip.entries()) } as unknown as Peers,
  });
  assert.equal(zone.report().down, []);
  held.delete("s00");
  zone.report();
  await clock.advance(7000);
  assert.equal(zone.report().down, []);
  await clock.advance(1000);
  assert.equal(zone.report().down, ["s00"]);
  held.add("s00");
  assert.equal(zone.report().down, []);
});

// Guards against one entry that lost its connections and reports all servers of its zone as down.
test("a server is down only if every entry of its zone that is in contact says so", () => {
  const reports = [
    { zone: "a", down: ["s1", "s2"], bad: ["s3"] },
    { zone: "a", down: ["s1"], bad: [] },
    { zone: "b", down: [], bad: [] },
  ];
  const health = new ReportedHealth({ reports: () => reports, leaving: () => ["s4"] });
  assert.equal(
    ["s1", "s2", "s3", "s4"].map((name) => health.live(name)),
    [false, true, true, false],
  );
  assert.ok(health.bad("s3"));
});

// Guards against reboots by an entry without the lease, and against one that is never recorded.
test("the lease holder reboots an ordered server and puts it back into service", async () => {
  const clock = new VirtualClock();
  const random = new SeededRandom(1);
  const counters = new RecordedCounters();
  const keyValue = new KeyValueStore({ clock });
  const store = new KeyValueFleetStore({ keyValue, group: "andina" });
  const servers = serversByRack().map((server, index) => ({
    ...server,
    state: index < 2 ? ("rebooting" as const) : server.state,
  }));
  await store.write({ revision: 0, writeId: "w", group: "andina", servers, retired: [] });
  const fleet = new FleetFollower({
    ...{ clock, random, keyValue, counters, group: "andina" },
    log: QUIET_LOG,
  });
  fleet.start();
  await clock.advance(10);
  const backend = new SimulatedBackendServer({ clock, name: "s00" });
  const { leaseId, bootId } = (await backend.acquireLease("e1", 4000)).unwrap();
  const client = (name: string): unknown => (name === "s00" ? { backend, leaseId } : undefined);
  const held = { client } as unknown as HeldServers;
  const keeper = new RebootKeeper({ clock, random, counters, fleet, held, store });
  await onClock(clock, keeper.round());
  const after = (await store.read()).unwrap()?.servers ?? [];
  assert.is(after[0]?.state, "serving");
  assert.is(after[0]?.rebootedAt, clock.wallTime());
  assert.is(after[1]?.state, "rebooting");
  assert.is.not((await backend.acquireLease("e1", 4000)).unwrap().bootId, bootId);
  fleet.stop();
});

test.run();
