/** Load of requests with idempotency keys, each submitted several times to different entries. */
import { slotRecord } from "./builders.ts";
import type { Cluster } from "./limits-cluster.ts";
import type { Entry } from "./limits-entry.ts";

const SUBMISSIONS = 4;
const KEY_INTERVAL_MS = 100;
const RETRY_MS = 200;
const MAX_DISPATCH_ATTEMPTS = 20;

/** Submits idempotency keys until the test ends. A key's request must be started at most once. */
export async function submitKeys(cluster: Cluster): Promise<void> {
  const { clock, random } = cluster;
  for (let i = 0; ; i++) {
    await clock.sleep(KEY_INTERVAL_MS);
    // Every other key contains no timestamp, like an order number.
    const key = i % 2 === 0 ? random.uuidV7(clock.wallTime()) : `order-${i}`;
    for (let submission = 0; submission < SUBMISSIONS; submission++) {
      const delay = random.next() ** 3 * 60_000;
      clock.schedule(delay, () => void submit(cluster, key));
    }
  }
}

async function submit(cluster: Cluster, key: string): Promise<void> {
  const receiver = pickLiveEntry(cluster);
  await receiver.clock.untilRunning();
  if (receiver.gate.dead) return;
  const id = receiver.slotOwnership.requestId(undefined, "q", key);
  const lookup = receiver.slotOwnership.lookup(id);
  if (lookup.kind === "self") await dispatchAsOwner(cluster, receiver, id);
  if (lookup.kind !== "peer") return;
  const owner = cluster.entries.find((entry) => entry.hello.incarnation === lookup.incarnation);
  if (owner === undefined || !cluster.connected(receiver, owner)) return;
  await cluster.clock.sleep(1);
  await owner.clock.untilRunning();
  if (owner.slotOwnership.lookup(id).kind === "self") await dispatchAsOwner(cluster, owner, id);
}

/** Records a request at its owner if it is new, then tries to start it there or at a peer. */
async function dispatchAsOwner(cluster: Cluster, owner: Entry, id: string): Promise<void> {
  const { records, slotOwnership, clock } = owner;
  if (records.byId.has(id) || slotOwnership.classify(id) !== "fresh") return;
  records.byId.set(id, slotRecord({ requestId: id }));
  records.pending.add(id);
  for (let i = 0; i < MAX_DISPATCH_ATTEMPTS; i++) {
    const runner = cluster.random.next() < 0.5 ? owner : pickLiveEntry(cluster);
    if (await startAt(cluster, runner, owner, id)) break;
    await clock.sleep(RETRY_MS);
  }
  records.pending.delete(id);
}

/** Returns whether the attempt may have been started. */
async function startAt(
  cluster: Cluster,
  runner: Entry,
  owner: Entry,
  id: string,
): Promise<boolean> {
  if (runner !== owner) {
    if (!cluster.connected(owner, runner)) return false;
    await cluster.clock.sleep(1);
    await runner.clock.untilRunning();
    if (runner.slotOwnership.isRetired(owner.hello.incarnation)) return false;
    // Simulates the time in the peer's queue.
    await runner.clock.sleep(cluster.random.next() * 500);
    await runner.clock.untilRunning();
  }
  const target = runner.leases
    .list()
    .find((server) => server.dispatchable && server.running < server.slots);
  if (target === undefined) return false;
  const task = { ...runner.nextTask(undefined), requestId: id, home: owner.hello.incarnation };
  const outcome = await runner.leases.start(target.name, task);
  return outcome.ok || outcome.val.kind === "ambiguous";
}

function pickLiveEntry({ entries, random }: Cluster): Entry {
  const alive = entries.filter((entry) => !entry.gate.dead);
  return alive[Math.floor(random.next() * alive.length)]!;
}
