import { test } from "uvu";
import * as assert from "uvu/assert";
import { choosePlacement } from "../../../src/state/jobs/placement.ts";
import { cpu, step } from "../../fakes/jobs/job-builders.ts";
import { candidate } from "../../fakes/jobs/run-builders.ts";

const DEMAND = { cpuMillis: 2000, memoryMb: 1000, accelerators: 0 };

function room(cpuMillis: number, memoryMb = 64_000) {
  return { free: { cpuMillis, memoryMb, accelerators: 0 } };
}

test("a task is not placed where memory is short although processors are free", () => {
  assert.is(choosePlacement(step(), DEMAND, [candidate("a", room(16_000, 900))]), undefined);
});

test("short tasks fill the fullest server, so that whole servers stay free for wide steps", () => {
  const chosen = choosePlacement(step(), DEMAND, [
    candidate("empty", room(16_000)),
    candidate("full", room(2500)),
    candidate("half", room(8000)),
  ]);
  assert.is(chosen?.id, "full");
});

test("a limit of tasks per server holds", () => {
  const limited = step({ maxPerServer: 1 });
  const servers = [candidate("a", { tasksOfStep: 1 }), candidate("b")];
  assert.is(choosePlacement(limited, DEMAND, servers)?.id, "b");
  assert.is(choosePlacement(limited, DEMAND, servers.slice(0, 1)), undefined);
});

test("a required label is not waived when every labelled server is full", () => {
  const labelled = step({ requiredLabel: "gpu" });
  const servers = [candidate("a"), candidate("b", { labels: ["gpu"], free: cpu(0) })];
  assert.is(choosePlacement(labelled, DEMAND, servers), undefined);
});

test("a task goes to the rack of its data before a fuller server elsewhere", () => {
  const servers = [candidate("far", room(2500)), candidate("near", { rack: "r2" })];
  assert.is(choosePlacement(step({ dataRack: "r2" }), DEMAND, servers)?.id, "near");
});

test("long-running tasks gather on few servers but not all on one", () => {
  const lasting = step({ tasks: 4, longRunning: true });
  const gathered = [candidate("a", { longTasks: 1, tasksOfStep: 1 }), candidate("b")];
  assert.is(choosePlacement(lasting, DEMAND, gathered)?.id, "a");
  const enough = [candidate("a", { longTasks: 2, tasksOfStep: 2 }), candidate("b")];
  assert.is(choosePlacement(lasting, DEMAND, enough)?.id, "b");
});

test("a server on which the task failed or that crawls is taken last", () => {
  const servers = [
    candidate("failed", { failedHere: true }),
    candidate("slow", { slow: true }),
    candidate("good"),
  ];
  assert.is(choosePlacement(step(), DEMAND, servers)?.id, "good");
  assert.is(choosePlacement(step(), DEMAND, servers.slice(0, 1))?.id, "failed");
});

test("a long-running task avoids servers that a wave is still to maintain", () => {
  const servers = [candidate("a", { maintenanceAhead: true }), candidate("b", { rack: "r2" })];
  assert.is(choosePlacement(step({ longRunning: true }), DEMAND, servers)?.id, "b");
});

test.run();
