import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("stand-in command");
const children: ChildProcess[] = [];

test.after(() => {
  for (const child of children) child.kill("SIGKILL");
});

function spawnStandIn(...args: readonly string[]): ChildProcess {
  const command = ["--import", "tsx", "src/cli/main.ts", "stand-in", ...args];
  const child = spawn(process.execPath, command, { stdio: ["ignore", "pipe", "pipe"] });
  children.push(child);
  return child;
}

async function waitUntilReady(child: ChildProcess): Promise<string> {
  const [line] = (await once(createInterface(child.stdout!), "line")) as [string];
  const { ready: isReady, address } = JSON.parse(line) as { ready: boolean; address: string };
  assert.ok(isReady);
  return address;
}

async function stop(child: ChildProcess): Promise<number | null> {
  const exit = once(child, "exit") as Promise<[number | null]>;
  child.kill("SIGTERM");
  return (await exit)[0];
}

// Guards against stand-ins that process tests cannot find or cannot stop.
test("a backend server registers, serves and leaves the list when it is stopped", async () => {
  const list = spawnStandIn("instance-list", "--listen", "127.0.0.1:0");
  const listUrl = await waitUntilReady(list);
  const server = spawnStandIn(
    "backend-server",
    "--name",
    "s7",
    "--slots",
    "3",
    "--register",
    listUrl,
  );
  const address = await waitUntilReady(server);
  const listed = async (): Promise<unknown> => (await fetch(`${listUrl}/v1/instances`)).json();
  const capacity = { cores: 16, memoryGb: 64, accelerators: 0, slots: 3 };
  const location = { zone: "zone-1", rack: "rack-1", state: "live" };
  assert.equal(await listed(), [{ name: "s7", address, ...capacity, ...location }]);
  const lease = { method: "POST", body: JSON.stringify({ holder: "e1", ttlMs: 60_000 }) };
  assert.is((await fetch(`${address}/lease`, lease)).status, 200);
  assert.is(await stop(server), 0);
  assert.equal(await listed(), []);
  assert.is(await stop(list), 0);
});

// Guards against a waiting watch that keeps the process from exiting when it is stopped.
test("the key-value service stops while a watch waits", async () => {
  const child = spawnStandIn("key-value");
  const url = await waitUntilReady(child);
  const watch = fetch(`${url}/v1/watch/config?after=0&waitMs=60000`).catch(() => "closed");
  let stats = "";
  for (let n = 0; n < 100 && !stats.includes("watch"); n++) {
    stats = await (await fetch(`${url}/stats`)).text();
  }
  assert.is(stats, '{"calls":{"watch":1}}');
  assert.is(await stop(child), 0);
  assert.is(await watch, "closed");
});

// Guards against a stand-in that starts with settings other than those requested.
test("invalid options are refused with exit code 2", async () => {
  for (const args of [
    ["--listen", "localhost:1"],
    ["--slots", "many"],
  ]) {
    const child = spawnStandIn("backend-server", ...args);
    let message = "";
    child.stderr!.on("data", (chunk: Buffer) => (message += chunk.toString()));
    const [code] = (await once(child, "close")) as [number];
    assert.is(code, 2);
    assert.match(message, `option ${args[0]!}`);
  }
});

test.run();
