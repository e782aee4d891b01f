import PQueue from "p-queue";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Priority } from "../../src/ports/backend-server.ts";
import {
  FairShareQueue,
  SharePolicy,
  type FairShareOptions,
} from "../../src/state/fair-share-queue.ts";

class TablePolicy extends SharePolicy {
  readonly running = new Map<string, number>();
  readonly weights = new Map<string, number>();
  readonly withoutBudget = new Set<string>();
  normalSlots = Infinity;
  urgentSlots = Infinity;

  hasFreeSlot(precedence: Priority): boolean {
    return (precedence === "urgent" ? this.urgentSlots : this.normalSlots) > 0;
  }

  hasBudget(team: string): boolean {
    return !this.withoutBudget.has(team);
  }

  usage(team: string): number {
    return (this.running.get(team) ?? 0) / (this.weights.get(team) ?? 1);
  }

  recentStarts(): number {
    return 0;
  }

  start(team: string): void {
    this.running.set(team, (this.running.get(team) ?? 0) + 1);
  }
}

interface Fixture {
  readonly policy: TablePolicy;
  readonly queue: FairShareQueue;
  readonly add: (team: string, precedence?: Priority, returned?: boolean) => string;
  readonly drain: () => readonly string[];
}

/** Ids are team, precedence and number, such as `red normal 1`. */
function fixture(): Fixture {
  const policy = new TablePolicy();
  const queue = new FairShareQueue({ policy });
  const left: string[] = [];
  let count = 0;
  const add = (team: string, precedence: Priority = "normal", returned = false): string => {
    const id = `${team} ${precedence} ${++count}`;
    const run = (): Promise<unknown> => Promise.resolve(left.push(id));
    queue.enqueue(run, { id, team, precedence, acceptedAt: count, returned });
    return id;
  };
  const drain = (): readonly string[] => {
    left.length = 0;
    while (queue.size > 0) {
      void queue.dequeue()!();
      policy.start(left.at(-1)!.split(" ")[0]!);
    }
    return [...left];
  };
  return { policy, queue, add, drain };
}

// Guards against urgent work behind other work, and batch work ahead of a team's normal work.
test("urgent work of any team goes first, and a team's batch work last", () => {
  const { add, drain } = fixture();
  add("red", "batch");
  add("red", "normal");
  add("blue", "normal");
  add("red", "urgent");
  add("blue", "urgent");
  assert.equal(drain(), [
    "red urgent 4",
    "blue urgent 5",
    "red normal 2",
    "blue normal 3",
    "red batch 1",
  ]);
});

// Guards against starts that are not proportional to the weights of teams.
test("starts follow the weights of teams with work, and other teams use an unused share", () => {
  const { policy, add, drain } = fixture();
  policy.weights.set("red", 3);
  for (let i = 0; i < 40; i++) add("red");
  for (let i = 0; i < 10; i++) add("blue");
  const started = drain();
  const red = started.slice(0, 20).filter((id) => id.startsWith("red")).length;
  assert.is(red, 15);
  for (let i = 0; i < 5; i++) add("blue");
  assert.is(drain().length, 5);
});

// Guards against head-of-line blocking by an item that cannot run.
test("teams without budget are skipped and keep their place", () => {
  const { policy, queue, add, drain } = fixture();
  policy.withoutBudget.add("red");
  add("red");
  add("blue");
  assert.equal(drain(), ["blue normal 2"]);
  assert.is(queue.length, 1);
  assert.is(queue.size, 0);
  policy.withoutBudget.clear();
  assert.equal(drain(), ["red normal 1"]);
});

// Guards against normal work that uses slots reserved for urgent work.
test("reserved slots are used for urgent work only", () => {
  const { policy, add, drain } = fixture();
  policy.normalSlots = 0;
  add("red");
  add("blue", "urgent");
  assert.equal(drain(), ["blue urgent 2"]);
});

// Guards against dequeuing cancelled items, and against requeued items that lose their place.
test("a removed item is never dequeued, and a requeued one goes ahead of newer ones", () => {
  const { queue, add, drain } = fixture();
  queue.remove(add("red"));
  add("red");
  add("red", "normal", true);
  assert.equal(drain(), ["red normal 3", "red normal 2"]);
});

// Guards against removal cost that grows with the queue: bursts of cancellations are frequent.
test("20,000 items are removed from the end of the queue in less than a second", () => {
  const { queue, add } = fixture();
  const ids = Array.from({ length: 20_000 }, () => add("red"));
  const before = performance.now();
  for (const id of ids.reverse()) queue.remove(id);
  assert.is(queue.length, 0);
  assert.ok(performance.now() - before < 1000);
});

// Guards against the cost of evaluating the policy at each change when nothing is queued.
test("free slots are checked only for precedences with queued work", () => {
  const { policy, queue, add } = fixture();
  const asked: Priority[] = [];
  policy.hasFreeSlot = (precedence) => asked.push(precedence) < 0;
  assert.is(queue.size, 0);
  assert.equal(asked, []);
  queue.remove(add("red", "urgent"));
  add("red", "batch");
  assert.is(queue.size, 0);
  assert.equal(asked, ["batch"]);
});

// Guards against p-queue dequeuing items that the policy does not allow to start.
test("p-queue starts items only while the policy allows it", async () => {
  const policy = new TablePolicy();
  policy.normalSlots = 0;
  class Queue extends FairShareQueue {
    constructor() {
      super({ policy });
    }
  }
  const queue = new PQueue<Queue, FairShareOptions>({ queueClass: Queue });
  const done = queue.add(() => "done", { id: "1", team: "red", precedence: "normal" });
  assert.is(queue.pending, 0);
  policy.normalSlots = 1;
  queue.pause();
  queue.start();
  assert.is(await done, "done");
});

test.run();
