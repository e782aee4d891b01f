/** End-to-end tests with separate processes: 2 zones with 2 entry instances and 3 servers each. */
import { once } from "node:events";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  assertRepliesMatchTasks,
  countAnswered,
  orderTemplate,
  sendOrder,
  type Reply,
} from "./callers.ts";
import { ProcessCluster, waitFor, type EntryProcessHandle } from "./cluster.ts";

const test = suite("whole path");
const cluster = new ProcessCluster({
  zones: ["z1", "z2"],
  entriesPerZone: 2,
  serversPerZone: 3,
  slots: 2,
  template: orderTemplate({ upperLimit: 12 }),
});
let key = "";

function order(entry: EntryProcessHandle, body: object, id?: string): Promise<Reply> {
  return sendOrder({ entry, key, body, id });
}

function entryAt(index: number): EntryProcessHandle {
  const entry = cluster.entries[index];
  if (entry === undefined) throw new Error("no such entry instance");
  return entry;
}

/** Sends requests through each given entry, one at a time per entry, until stopped. */
function startLoad(entries: readonly EntryProcessHandle[]): () => Promise<readonly Reply[]> {
  const replies: Reply[] = [];
  let active = true;
  const loops = entries.map(async (entry, caller) => {
    for (let n = 0; active; n++) {
      replies.push(await order(entry, { caller, n, runMs: 30 }));
      if (replies.at(-1)?.status === undefined) await new Promise((done) => setTimeout(done, 50));
    }
  });
  return async () => {
    active = false;
    await Promise.all(loops);
    return replies;
  };
}

function assertReplies(replies: readonly Reply[]): void {
  assertRepliesMatchTasks(cluster, replies);
}

test.before(async () => {
  await cluster.start();
  key = await cluster.issueKey("crew");
  await waitFor("every entry accepts the key", async () => {
    const replies = await Promise.all(cluster.entries.map((entry) => order(entry, { runMs: 1 })));
    return countAnswered(replies) === replies.length;
  });
});

test.after(async () => {
  await cluster.stop();
});

// Guards against entries that only serve requests their own servers have slots for.
test("an entry serves more concurrent requests than its own servers have slots", async () => {
  const work = Array.from({ length: 12 }, (_, n) => order(entryAt(0), { n, runMs: 800 }));
  const replies = await Promise.all(work);
  assert.is(countAnswered(replies), 12);
  assertReplies(replies);
});

// Guards against a second run when a caller repeats its request at another entry.
test("a request with a repeated id gets the stored reply through any entry", async () => {
  const first = await order(entryAt(0), { runMs: 5 }, "order-7");
  const again = await order(entryAt(3), { runMs: 5 }, "order-7");
  assert.is(first.status, 200);
  assert.is(again.body, first.body);
  assertReplies([first, again]);
});

// Guards against requests with an API key failing for the whole duration of a platform outage.
test("requests are served while the platform is unavailable to all processes", async () => {
  await cluster.setKeyValueFaults({ unavailable: true });
  const stop = startLoad(cluster.entries);
  await new Promise((done) => setTimeout(done, 8000));
  const replies = await stop();
  await cluster.setKeyValueFaults({ unavailable: false });
  assertReplies(replies);
  assert.ok(
    countAnswered(replies) > replies.length * 0.9,
    `${countAnswered(replies)} of ${replies.length}`,
  );
});

// Guards against starts by an entry whose leases expired while it was paused.
test("an entry paused for longer than its leases starts no request twice", async () => {
  const stop = startLoad(cluster.entries.slice(1));
  const paused = entryAt(0);
  paused.child.kill("SIGSTOP");
  await new Promise((done) => setTimeout(done, 7000));
  paused.child.kill("SIGCONT");
  await new Promise((done) => setTimeout(done, 2000));
  const replies = await stop();
  assertReplies(replies);
  assert.ok(countAnswered(replies) > 0);
});

// Guards against a new incarnation, started after a retirement, that no peer contacts.
test("an entry paused until its retirement serves requests as a new incarnation", async () => {
  const paused = entryAt(0);
  const retired = await cluster.incarnationOf(paused);
  paused.child.kill("SIGSTOP");
  await waitFor(
    "the paused entry is retired",
    async () => (await cluster.memberState(retired)) !== "active",
  );
  paused.child.kill("SIGCONT");
  await waitFor("every peer is connected to the new incarnation", async () => {
    const incarnation = await cluster.incarnationOf(paused);
    if (incarnation === retired) return false;
    const peers = await Promise.all(cluster.entries.slice(1).map((one) => cluster.peersOf(one)));
    return peers.every((each) => each.includes(incarnation));
  });
  const work = Array.from({ length: 12 }, (_, n) => order(paused, { n, runMs: 100 }));
  const replies = await Promise.all(work);
  assert.is(countAnswered(replies), 12, JSON.stringify(replies));
  assertReplies(replies);
});

// Guards against a process that keeps running although it cannot serve.
test("a listen address in use ends the process with an error that names the address", async () => {
  const { port } = new URL(entryAt(0).adminUrl);
  const file = `${cluster.folder}/entry-${new URL(entryAt(0).callerUrl).port}.ini`;
  const ended = await cluster.run(["entry", "--config", file]).catch(String);
  assert.match(ended, `admin_address = 127.0.0.1:${port}: cannot listen`);
});

// Guards against requests cut by a graceful shutdown.
test("an entry completes its accepted requests during a graceful shutdown", async () => {
  const entry = await cluster.startEntry("z1");
  await waitFor("new entry serves", async () => (await order(entry, { runMs: 1 })).status === 200);
  const work = Array.from({ length: 6 }, (_, n) => order(entry, { n, runMs: 700 }));
  await new Promise((done) => setTimeout(done, 300));
  const exit = once(entry.child, "exit");
  entry.child.kill("SIGTERM");
  const replies = await Promise.all(work);
  const [code] = (await exit) as [number];
  assert.is(code, 0);
  assert.is(countAnswered(replies), 6, JSON.stringify(replies));
  cluster.entries.pop();
});

// Guards against lost, mixed-up or duplicate replies when an entry dies.
test("an entry killed under load causes no wrong reply and its servers are taken over", async () => {
  const stop = startLoad(cluster.entries);
  await new Promise((done) => setTimeout(done, 1000));
  const killed = cluster.entries.pop();
  killed?.child.kill("SIGKILL");
  await new Promise((done) => setTimeout(done, 9000));
  const replies = await stop();
  assertReplies(replies);
  const work = Array.from({ length: 12 }, (_, n) => order(entryAt(0), { n, runMs: 500 }));
  const after = await Promise.all(work);
  assert.is(countAnswered(after), 12, JSON.stringify(after));
  assertReplies(after);
});

test.run();
