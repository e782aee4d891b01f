import { test } from "uvu";
import * as assert from "uvu/assert";
import { choosePlacement } from "../../../src/state/jobs/scheduling/placement.ts";
import { cpu, step } from "../../fakes/jobs/job-builders.ts";
import { candidate } from "../../fakes/jobs/run-builders.ts";

const DEMAND = { cpuMillis: 2000, memoryMb: 1000, accelerators: 0 };

function freeCapacity(cpuMillis: number, memoryMb = 64_000) {
  return { free: { cpuMillis, memoryMb, accelerators: 0 } };
}

test("a task is not placed on a server with free processors but too little memory", () => {
  assert.is(
    choosePlacement(step(), DEMAND, [candidate("a", freeCapacity(16_000, 900))]),
    undefined,
  );
});

test("short tasks fill the fullest server, so that whole servers stay free for large tasks", () => {
  const chosen = choosePlacement(step(), DEMAND, [
    candidate("empty", freeCapacity(16_000)),
    candidate("full", freeCapacity(2500)),
    candidate("half", freeCapacity(8000)),
  ]);
  assert.is(chosen?.id, "full");
});

test("a server gets no more tasks of a step than the limit per server", () => {
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

test("a task prefers the rack of its data over a fuller server on another rack", () => {
  const servers = [candidate("far", freeCapacity(2500)), candidate("near", { rack: "r2" })];
  assert.is(choosePlacement(step({ dataRack: "r2" }), DEMAND, servers)?.id, "near");
});

test("long-running tasks are packed on few servers but not all on one", () => {
  const longRunning = step({ tasks: 4, longRunning: true });
  const belowShare = [candidate("a", { longTasks: 1, tasksOfStep: 1 }), candidate("b")];
  assert.is(choosePlacement(longRunning, DEMAND, belowShare)?.id, "a");
  const atShare = [candidate("a", { longTasks: 2, tasksOfStep: 2 }), candidate("b")];
  assert.is(choosePlacement(longRunning, DEMAND, atShare)?.id, "b");
});

test("a slow server and one on which the task failed are chosen last", () => {
  const servers = [
    candidate("failed", { failedHere: true }),
    candidate("slow", { slow: true }),
    candidate("good"),
  ];
  assert.is(choosePlacement(step(), DEMAND, servers)?.id, "good");
  assert.is(choosePlacement(step(), DEMAND, servers.slice(0, 1))?.id, "failed");
});

test("a long-running task avoids servers that a wave has yet to maintain", () => {
  const servers = [candidate("a", { maintenancePending: true }), candidate("b", { rack: "r2" })];
  assert.is(choosePlacement(step({ longRunning: true }), DEMAND, servers)?.id, "b");
});

test.run();
