/** Callers that submit each key several times to different entries, and simple homes for them. */
import { slotRecord } from "./builders.ts";
import type { Cluster } from "./limits-cluster.ts";
import type { Entry } from "./limits-entry.ts";

const SUBMISSIONS = 4;
const KEY_INTERVAL_MS = 100;
const RETRY_MS = 200;
const DISPATCH_TRIES = 20;

/** Submits keys until the test ends. Every start beyond the first of a key is a fault. */
export async function submitKeys(cluster: Cluster): Promise<void> {
  const { clock, random } = cluster;
  for (let i = 0; ; i++) {
    await clock.sleep(KEY_INTERVAL_MS);
    // Every other key carries no time, like an order number.
    const key = i % 2 === 0 ? random.uuidV7(clock.wallTime()) : `order-${i}`;
    for (let submission = 0; submission < SUBMISSIONS; submission++) {
      const delay = random.next() ** 3 * 60_000;
      clock.schedule(delay, () => void submit(cluster, key));
    }
  }
}

async function submit(cluster: Cluster, key: string): Promise<void> {
  const receiver = pick(cluster);
  await receiver.clock.running();
  if (receiver.gate.dead) return;
  const id = receiver.homes.requestId(undefined, "q", key);
  const lookup = receiver.homes.lookup(id);
  if (lookup.kind === "self") await atHome(cluster, receiver, id);
  if (lookup.kind !== "peer") return;
  const home = cluster.entries.find((one) => one.hello.incarnation === lookup.incarnation);
  if (home === undefined || !cluster.connected(receiver, home)) return;
  await cluster.clock.sleep(1);
  await home.clock.running();
  if (home.homes.lookup(id).kind === "self") await atHome(cluster, home, id);
}

/** What a home does: look up, record and dispatch once, on its own servers or a peer's. */
async function atHome(cluster: Cluster, home: Entry, id: string): Promise<void> {
  const { records, homes, clock } = home;
  if (records.byId.has(id) || homes.classify(id) !== "fresh") return;
  records.byId.set(id, slotRecord({ requestId: id }));
  records.pending.add(id);
  for (let i = 0; i < DISPATCH_TRIES; i++) {
    const runner = cluster.random.next() < 0.5 ? home : pick(cluster);
    if (await startAt(cluster, runner, home, id)) break;
    await clock.sleep(RETRY_MS);
  }
  records.pending.delete(id);
}

/** True if the attempt may have been started. */
async function startAt(cluster: Cluster, runner: Entry, home: Entry, id: string): Promise<boolean> {
  if (runner !== home) {
    if (!cluster.connected(home, runner)) return false;
    await cluster.clock.sleep(1);
    await runner.clock.running();
    if (runner.homes.retired(home.hello.incarnation)) return false;
    // Time in the peer's queue.
    await runner.clock.sleep(cluster.random.next() * 500);
    await runner.clock.running();
  }
  const target = runner.leases.list().find((one) => one.dispatchable && one.running < one.slots);
  if (target === undefined) return false;
  const task = { ...runner.nextTask(undefined), requestId: id, home: home.hello.incarnation };
  const outcome = await runner.leases.start(target.name, task);
  return outcome.ok || outcome.val.kind === "ambiguous";
}

function pick({ entries, random }: Cluster): Entry {
  const alive = entries.filter((entry) => !entry.gate.dead);
  return alive[Math.floor(random.next() * alive.length)]!;
}
