import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeavingServerMonitor } from "../../src/coordination/leaving-server-monitor.ts";
import type { ListedInstance } from "../../src/ports/instance-list.ts";
import { RecordedCounters } from "../fakes/observability-fakes.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";
import { StaticInstanceList } from "../../src/stand-ins/static-instance-list.ts";

function listed(name: string, zone: string, state: ListedInstance["state"]): ListedInstance {
  const size = { cores: 1, memoryGb: 1, accelerators: 0, slots: 1 };
  return { name, zone, state, address: "http://127.0.0.1:1", rack: "r", ...size };
}

// Guards against new work on a server that is marked as leaving only in the instance list, because
// the planner is paused.
test("servers of the entry's zone that are listed as leaving are announced, and no others", async () => {
  const instanceList = new StaticInstanceList([
    listed("a", "z1", "leaving"),
    listed("b", "z1", "live"),
    listed("c", "z2", "leaving"),
  ]);
  const announced: string[] = [];
  const peers = {
    self: { zone: "z1" },
    announceLeaving: (server: string) => announced.push(server),
  };
  const counters = new RecordedCounters();
  const clock = new VirtualClock();
  const monitor = new LeavingServerMonitor({
    clock,
    instanceList,
    counters,
    peers: peers as never,
  });
  await monitor.step();
  assert.equal(announced, ["a"]);
});

// Guards against a zone in which no entry reads the list because its leaders are paused or gone.
test("an entry reads the list every 2 s while it has no leader role, and not otherwise", async () => {
  const clock = new VirtualClock();
  const instanceList = new StaticInstanceList([listed("a", "z1", "leaving")]);
  const announced: string[] = [];
  const peers = { self: { zone: "z1" }, announceLeaving: (name: string) => announced.push(name) };
  const counters = new RecordedCounters();
  const monitor = new LeavingServerMonitor({
    clock,
    instanceList,
    counters,
    peers: peers as never,
  });
  let needed = false;
  const end = new AbortController();
  void monitor.run(() => needed, end.signal);
  await clock.advance(5000);
  assert.equal(announced, []);
  needed = true;
  await clock.advance(2000);
  assert.equal(announced, ["a"]);
  end.abort();
});

test.run();
