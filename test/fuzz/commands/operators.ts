import fc from "fast-check";
import { TEAMS } from "../fleet-plan.ts";
import type { World } from "../world.ts";
import { command, type FuzzCommand } from "./command.ts";

const team = fc.constantFrom(...TEAMS);

async function race(world: World, name: string, limits: readonly number[]): Promise<void> {
  const base = await world.operators.read();
  const accepted: boolean[] = [];
  for (const upperLimit of limits) {
    const edit = (doc: typeof base.doc): typeof base.doc => ({
      ...doc,
      teams: doc.teams.map((t) => (t.name === name ? { ...t, upperLimit } : t)),
    });
    accepted.push(await world.operators.apply(edit, base));
  }
  world.oracle.raced(accepted);
}

/** Moves one instance's worth of target between the two working pools. */
async function resize(world: World, fromMain: boolean): Promise<void> {
  await world.operators.apply((doc) => ({
    ...doc,
    pools: doc.pools.map((pool) => {
      if (pool.name === "spare") return pool;
      const grows = (pool.name === "main") !== fromMain;
      return { ...pool, targetSize: Math.max(1, pool.targetSize + (grows ? 1 : -1)) };
    }),
  }));
}

async function setMinAvailable(world: World, minAvailable: number): Promise<void> {
  await world.operators.apply((doc) => ({
    ...doc,
    pools: doc.pools.map((pool) => (pool.name === "main" ? { ...pool, minAvailable } : pool)),
  }));
}

/** Makes maintenance due for every instance now, or turns it off. */
async function setMaintenance(world: World, on: boolean): Promise<void> {
  await world.operators.apply((doc) => ({
    ...doc,
    maintenance: { ...doc.maintenance, everyDays: on ? 0.0002 : 0, maxParallel: 2 },
  }));
}

/** Commands of operators. */
export const operatorCommands: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc.tuple(team).map(
    command("giveKey", async (world: World, name: string) => {
      await world.giveKey(name);
    }),
  ),
  fc.tuple(team).map(
    command("withdrawKey", async (world: World, name: string) => {
      await world.operators.withdrawKey(name);
    }),
  ),
  fc.tuple(team, fc.constantFrom(0, 1, 2, 5, 7)).map(
    command("setLimit", async (world: World, name: string, limit: number) => {
      await world.operators.setLimit(name, limit);
    }),
  ),
  fc.tuple(team, fc.tuple(fc.nat({ max: 6 }), fc.nat({ max: 6 }))).map(command("race", race)),
  fc.tuple(fc.boolean()).map(command("resize", resize)),
  fc.tuple(fc.constantFrom(1, 2, 3, 4)).map(command("setMinAvailable", setMinAvailable)),
  fc.tuple(fc.constantFrom(true, true, false)).map(command("setMaintenance", setMaintenance)),
];
