import type { SimulatedRequest } from "./callers.ts";
import { DECLARED_RUN_MS, TEAMS } from "./fleet-plan.ts";
import type { Edit } from "./simulated-operators.ts";
import type { World } from "./world.ts";

/** Time limit for the outcome of every accepted request, in milliseconds. */
export const OUTCOME_LIMIT_MS = 90_000;
/** Time limit within which all teams can use their upper limits again, in milliseconds. */
export const CAPACITY_LIMIT_MS = 60_000;
/** Time limit within which every live entry has the latest configuration, in milliseconds. */
export const CONFIG_LIMIT_MS = 20_000;
/** Run time of the tasks that use up a team's limit, in milliseconds. */
const FILL_RUN_MS = 4000;
/** Most running tasks checked per team, because the fleet may be too small for higher limits. */
const FILL_LIMIT = 6;

/** Ends every fault and the maintenance, as operators and the platform do after an incident. */
export async function healEverything(world: World): Promise<void> {
  world.links.healAll();
  world.farm.instanceList.unfreeze();
  for (const instance of world.farm.instances) {
    if (instance.lost || instance.leaving) world.farm.restore(instance);
    world.farm.setFailing(instance, false);
  }
  for (const slot of world.slots) {
    slot.process?.party.gate.resume();
    slot.start();
  }
  world.observe();
  const endMaintenance: Edit = (doc) => ({
    ...doc,
    maintenance: { ...doc.maintenance, everyDays: 0 },
  });
  await world.advanceUntilSettled(world.operators.apply(endMaintenance));
}

/**
 * Ends every fault and checks that the system recovers. The checks run one after the other, and the
 * time limit of each begins with the check.
 */
export async function checkRecovery(world: World): Promise<void> {
  await healEverything(world);
  // An operator's change that takes effect later would change the limits that are checked.
  await world.settleOperators();
  const keys = new Map<string, string>();
  for (const team of TEAMS) {
    const key = await world.advanceUntilSettled(world.operators.issueKey(team));
    if (key === undefined) world.oracle.notRecovered(`no key could be issued to ${team}`);
    else keys.set(team, key);
  }
  await checkConfiguration(world);
  await checkCapacity(world, keys);
  await checkOutcomes(world, keys);
}

async function checkConfiguration(world: World): Promise<void> {
  const { operators } = world.oracle;
  const isInForce = await world.advanceUntil(
    () =>
      world
        .incarnations()
        .every((name) => operators.revisionOf(name) === operators.latest?.revision),
    CONFIG_LIMIT_MS,
  );
  if (isInForce) return;
  const revisions = world
    .incarnations()
    .map((name) => `${name}: ${operators.revisionOf(name) ?? "none"}`);
  world.oracle.notRecovered(
    `revision ${operators.latest?.revision ?? 0} was not in force within ${CONFIG_LIMIT_MS} ms (${revisions.join(", ")})`,
  );
}

async function checkCapacity(world: World, keys: ReadonlyMap<string, string>): Promise<void> {
  const { operators, fleet } = world.oracle;
  const end = world.clock.now() + CAPACITY_LIMIT_MS;
  for (const team of TEAMS) {
    const limit = operators.latest?.teams.find((t) => t.name === team)?.upperLimit ?? 0;
    const target = Math.min(limit, FILL_LIMIT);
    let mostRunning = 0;
    const reached = (): boolean => {
      mostRunning = Math.max(mostRunning, fleet.runningCount(team));
      return mostRunning >= target;
    };
    while (!reached() && world.clock.now() < end) {
      for (let n = 0; n < target; n++) submitFillTask(world, team, keys.get(team), n);
      await world.advanceUntil(reached, FILL_RUN_MS);
    }
    if (mostRunning < target) {
      world.oracle.notRecovered(
        `${team} ran at most ${mostRunning} of ${target} in ${CAPACITY_LIMIT_MS} ms`,
      );
    }
  }
}

function submitFillTask(world: World, team: string, key: string | undefined, n: number): void {
  const request: SimulatedRequest = {
    queue: "plans",
    team,
    key,
    idempotencyKey: undefined,
    priority: "normal",
    atMostOnce: false,
    timeoutMs: 2 * FILL_RUN_MS,
    job: world.callers.newJob(FILL_RUN_MS + DECLARED_RUN_MS),
  };
  world.callers.submit(request, world.slot(n), "sync");
}

async function checkOutcomes(world: World, keys: ReadonlyMap<string, string>): Promise<void> {
  const end = world.clock.now() + OUTCOME_LIMIT_MS;
  const hasTask = (id: string): boolean =>
    world.farm.instances.some(({ server }) => server.hasTask(id));
  const options = { keys, lossAllowed: world.memoryLost, hasTask };
  const unresolved = (): number => world.oracle.requests.unresolved().length;
  for (let round = 0; unresolved() > 0 && world.clock.now() < end; round++) {
    world.callers.queryAll(world.slot(round), 1000, options);
    await world.advanceUntil(() => unresolved() === 0, 5000);
  }
  for (const { call, requestId } of world.oracle.requests.unresolved()) {
    world.oracle.notRecovered(
      `call ${call} (${requestId ?? "no id"}) has no outcome after ${OUTCOME_LIMIT_MS} ms of queries`,
    );
  }
}
