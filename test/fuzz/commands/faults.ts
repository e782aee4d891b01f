import fc from "fast-check";
import { GROUP, TEAMS } from "../fleet-plan.ts";
import type { World } from "../world.ts";
import { command, type FuzzCommand } from "./command.ts";
import { cutFor, submitEverywhere } from "./effects.ts";
import { resize } from "./operators.ts";
import { outageCommands } from "./outages.ts";

const index = fc.nat({ max: 11 });
const LEADER_ROLES = [`planner-${GROUP}`, `planner-${GROUP}`, "reclaim-a", "reclaim-b"] as const;

/** Kills a process and starts a replacement with empty memory after the delay. */
export function killAndReplace(world: World, entry: number, afterMs: number): void {
  const slot = world.slot(entry);
  slot.kill();
  world.memoryLost = true;
  world.recordFault(afterMs);
  world.clock.schedule(afterMs, () => {
    slot.start();
  });
}

function pause(world: World, entry: number, ms: number): void {
  const gate = world.slot(entry).process?.party.gate;
  gate?.pause();
  world.recordFault(ms);
  world.clock.schedule(ms, () => {
    gate?.resume();
  });
}

/** Cuts a zone from the platform and from every other zone. */
export function isolateZone(world: World, index: number, ms: number, late: boolean): void {
  const zone = world.zone(index);
  cutFor(world, `zone:${zone}`, "platform", ms, late);
  for (const other of world.zones) {
    if (other !== zone) cutFor(world, `zone:${zone}`, `zone:${other}`, ms, late);
  }
}

/** Withdraws a key while a zone is isolated and cannot learn of it, then uses it everywhere. */
async function withdrawDuringIsolation(world: World, index: number, team: string): Promise<void> {
  isolateZone(world, index, 15_000, false);
  const key = world.operators.validKey(team);
  world.runOperatorCommand(world.operators.withdrawKey(team));
  await world.advance(8000);
  submitEverywhere(world, { queue: "plans", team, key, timeoutMs: 2000 });
}

/** Drops all replies of backend servers while requests with short timeouts are started. */
function loseStartReplies(world: World, team: string, queue: string, timeoutMs: number): void {
  world.links.loseReplies("server", 1);
  world.recordFault(3000);
  world.clock.schedule(3000, () => {
    world.links.loseReplies("server", 0);
  });
  submitEverywhere(world, { queue, team, key: world.operators.validKey(team), timeoutMs });
}

/** Delays starts sent by an entry instance until another one may have acquired its servers. */
async function delayStarts(world: World, entry: number, team: string, ms: number): Promise<void> {
  const key = world.operators.validKey(team);
  submitEverywhere(world, { queue: "orders", team, key, timeoutMs: 30_000 });
  await world.advance(0);
  cutFor(world, world.slot(entry).tag, "server", ms, true);
}

/**
 * Delays starts in flight, while the entry instances reach their servers over new connections,
 * acquire new leases, find that nothing was started and start the requests again.
 */
async function stallStarts(world: World, team: string, ms: number): Promise<void> {
  const key = world.operators.validKey(team);
  submitEverywhere(world, { queue: "orders", team, key, timeoutMs: 30_000 });
  world.links.stall("entry", "server", { ms, forMs: 5 });
  world.recordFault(ms);
  await world.advance(ms + 500);
}

const durationMs = fc.constantFrom(200, 1000, 5000, 12_000, 30_000);
const pauseMs = fc.constantFrom(500, 3000, 6000, 20_000);
const lateDelivery = fc.boolean();

function loseServer(world: World, server: number): void {
  world.recordFault(Infinity);
  world.farm.lose(world.farm.instance(server));
}

function loseRack(world: World, server: number): void {
  const { rack } = world.farm.instance(server).listing;
  world.recordFault(Infinity);
  for (const instance of world.farm.instances) {
    if (instance.listing.rack === rack) world.farm.lose(instance);
  }
}

/** Makes an instance leave. It is lost after 20 s, unless it was lost or restored before. */
function leave(world: World, server: number, listOnly: boolean): void {
  const instance = world.farm.instance(server);
  world.recordFault(Infinity);
  world.farm.leave(instance, { listOnly });
  world.clock.schedule(20_000, () => {
    if (instance.leaving) world.farm.lose(instance);
  });
}

/** Makes an instance leave while every entry instance gets requests. */
async function leaveUnderLoad(world: World, server: number, listOnly: boolean): Promise<void> {
  leave(world, server, listOnly);
  for (let round = 0; round < 7; round++) {
    for (const team of TEAMS) {
      const key = world.operators.validKey(team);
      for (const queue of ["plans", "surveys"])
        submitEverywhere(world, { queue, team, key, timeoutMs: 2000 });
    }
    await world.advance(1200);
  }
}

/** Kills a process whose budgets are in use, so that they must be reclaimed. */
async function replaceUnderLoad(world: World, entry: number, afterMs: number): Promise<void> {
  for (const team of TEAMS) {
    const key = world.operators.validKey(team);
    submitEverywhere(world, { queue: "plans", team, key, timeoutMs: 10_000 });
  }
  await world.advance(1200);
  killAndReplace(world, entry, afterMs);
}

/** Pauses the entry instance that holds a leader role, possibly past its lease, and resumes it. */
async function pauseLeader(world: World, role: string, ms: number): Promise<void> {
  const leader = await world.findLeader(role);
  if (leader !== undefined) pause(world, leader.index - 1, ms);
}

/**
 * Delays a write of the planner until its successor has made decisions. The platform is slow first,
 * so that a write is likely to be in flight when the link is cut.
 */
async function delayPlannerWrite(world: World, fromMain: boolean): Promise<void> {
  resize(world, fromMain);
  world.links.slow("platform", 800);
  world.recordFault(32_000);
  await world.advance(1500);
  const leader = await world.findLeader(`planner-${GROUP}`);
  if (leader !== undefined) cutFor(world, leader.tag, "platform", 26_000, true);
  world.links.slow("platform", 0);
  await world.advance(14_000);
  resize(world, !fromMain);
  await world.advance(14_000);
}

const processFaults: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc
    .tuple(index, fc.constantFrom(100, 3000, 10_000, 120_000))
    .map(command("killAndReplace", killAndReplace)),
  fc.tuple(index, fc.constantFrom(100, 10_000)).map(command("replaceUnderLoad", replaceUnderLoad)),
  fc.tuple(index).map(
    command("shutDown", (world: World, entry: number) => {
      world.shutDown(world.slot(entry));
    }),
  ),
  fc.tuple(index, pauseMs).map(command("pause", pause)),
  fc.tuple(fc.boolean()).map(command("delayPlannerWrite", delayPlannerWrite)),
  fc.tuple(fc.constantFrom(...LEADER_ROLES), pauseMs).map(command("pauseLeader", pauseLeader)),
];

const linkFaults: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc.tuple(index, index, durationMs, lateDelivery).map(
    command("cutZones", (world: World, a: number, b: number, ms: number, late: boolean) => {
      const [first, second] = [world.zone(a), world.zone(b)];
      if (first !== second) cutFor(world, `zone:${first}`, `zone:${second}`, ms, late);
    }),
  ),
  fc.tuple(index, durationMs, lateDelivery).map(
    command("cutZoneFromPlatform", (world: World, zone: number, ms: number, late: boolean) => {
      cutFor(world, `zone:${world.zone(zone)}`, "platform", ms, late);
    }),
  ),
  fc.tuple(index, durationMs, lateDelivery).map(command("isolateZone", isolateZone)),
  fc
    .tuple(index, fc.constantFrom(...TEAMS))
    .map(command("withdrawDuringIsolation", withdrawDuringIsolation)),
  fc
    .tuple(index, fc.constantFrom(...TEAMS), fc.constantFrom(8000, 15_000))
    .map(command("delayStarts", delayStarts)),
  fc
    .tuple(fc.constantFrom(...TEAMS), fc.constantFrom(3000, 6000))
    .map(command("stallStarts", stallStarts)),
  fc
    .tuple(
      fc.constantFrom(...TEAMS),
      fc.constantFrom("plans", "orders"),
      fc.constantFrom(300, 1100, 2000),
    )
    .map(command("loseStartReplies", loseStartReplies)),
  fc.tuple(index, index, durationMs, lateDelivery).map(
    command("cutEntries", (world: World, a: number, b: number, ms: number, late: boolean) => {
      if (world.slot(a) !== world.slot(b)) {
        cutFor(world, world.slot(a).tag, world.slot(b).tag, ms, late);
      }
    }),
  ),
  fc.tuple(index, index, durationMs, lateDelivery).map(
    command(
      "cutEntryFromServer",
      (world: World, entry: number, server: number, ms: number, late: boolean) => {
        cutFor(world, world.slot(entry).tag, world.farm.instance(server).party.tags[0]!, ms, late);
      },
    ),
  ),
  fc.tuple(index, durationMs, lateDelivery).map(
    command("cutEntryFromServers", (world: World, entry: number, ms: number, late: boolean) => {
      cutFor(world, world.slot(entry).tag, "server", ms, late);
    }),
  ),
  fc.tuple(index, index).map(
    command("loseConnections", (world: World, a: number, b: number) => {
      world.recordFault(0);
      world.links.reset(world.slot(a).tag, world.slot(b).tag);
    }),
  ),
  fc.tuple(durationMs, lateDelivery).map(
    command("platformDown", (world: World, ms: number, late: boolean) => {
      cutFor(world, "entry", "platform", ms, late);
    }),
  ),
  fc
    .tuple(
      fc.constantFrom("platform", "entry", "server"),
      fc.constantFrom(50, 800, 3000),
      durationMs,
    )
    .map(
      command("slow", (world: World, tag: string, delayMs: number, ms: number) => {
        world.links.slow(tag, delayMs);
        world.recordFault(ms);
        world.clock.schedule(ms, () => {
          world.links.slow(tag, 0);
        });
      }),
    ),
  fc
    .tuple(fc.constantFrom("platform", "entry", "server"), fc.constantFrom(0.1, 0.5, 1), durationMs)
    .map(
      command("loseReplies", (world: World, tag: string, share: number, ms: number) => {
        world.links.loseReplies(tag, share);
        world.recordFault(ms);
        world.clock.schedule(ms, () => {
          world.links.loseReplies(tag, 0);
        });
      }),
    ),
];

const serverFaults: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc.tuple(index).map(command("loseServer", loseServer)),
  fc.tuple(index).map(command("loseRack", loseRack)),
  fc.tuple(index).map(
    command("restoreServer", (world: World, server: number) => {
      const instance = world.farm.instance(server);
      if (instance.lost) world.farm.restore(instance);
    }),
  ),
  fc.tuple(index, fc.boolean()).map(command("leave", leave)),
  fc
    .tuple(index)
    .map(
      command("leaveUnderLoad", (world: World, server: number) =>
        leaveUnderLoad(world, server, true),
      ),
    ),
  fc
    .tuple(index, fc.constantFrom(true, true, false))
    .map(command("leaveUnderLoad", leaveUnderLoad)),
  fc.tuple(index, fc.boolean()).map(
    command("failEverything", (world: World, server: number, on: boolean) => {
      if (on) world.recordFault(Infinity);
      world.farm.setFailing(world.farm.instance(server), on);
    }),
  ),
  fc.tuple(durationMs).map(
    command("freezeInstanceList", (world: World, ms: number) => {
      world.farm.instanceList.freeze();
      world.clock.schedule(ms, () => {
        world.farm.instanceList.unfreeze();
      });
    }),
  ),
];

/** Commands that inject faults into processes, links, the platform and backend servers. */
export const faultCommands: readonly fc.Arbitrary<FuzzCommand>[] = [
  ...processFaults,
  ...linkFaults,
  ...outageCommands,
  ...serverFaults,
];
