import fc from "fast-check";
import { TEAMS } from "../fleet-plan.ts";
import { limitEdit, type Edit } from "../simulated-operators.ts";
import type { World } from "../world.ts";
import { command, type FuzzCommand } from "./command.ts";

const team = fc.constantFrom(...TEAMS);

function race(world: World, name: string, limits: readonly number[]): void {
  world.runOperatorCommand(world.operators.race(limits.map((limit) => limitEdit(name, limit))));
}

/** Moves one instance of the target sizes between the pools `main` and `other`. */
export function resize(world: World, fromMain: boolean): void {
  const edit: Edit = (doc) => ({
    ...doc,
    pools: doc.pools.map((pool) => {
      if (pool.name === "spare") return pool;
      const grows = (pool.name === "main") !== fromMain;
      return { ...pool, targetSize: Math.max(1, pool.targetSize + (grows ? 1 : -1)) };
    }),
  });
  world.runOperatorCommand(world.operators.apply(edit));
}

function setMinAvailable(world: World, minAvailable: number): void {
  const edit: Edit = (doc) => ({
    ...doc,
    pools: doc.pools.map((pool) => (pool.name === "main" ? { ...pool, minAvailable } : pool)),
  });
  world.runOperatorCommand(world.operators.apply(edit));
}

/** Makes maintenance due for every instance, or disables it. */
function setMaintenance(world: World, on: boolean): void {
  world.runOperatorCommand(world.operators.apply(maintenanceEdit(on)));
}

function maintenanceEdit(on: boolean): Edit {
  return (doc) => ({
    ...doc,
    maintenance: { ...doc.maintenance, everyDays: on ? 0.0002 : 0, maxParallel: 2 },
  });
}

/** Starts a maintenance wave under an availability budget that permits few or no drains in `main`. */
async function startTightWave(world: World, maxUnavailable: number): Promise<void> {
  const edit: Edit = (doc) => {
    const due = maintenanceEdit(true)(doc);
    const pools = due.pools.map((pool) =>
      pool.name === "main"
        ? { ...pool, minAvailable: Math.max(0, world.zones.length * 2 - maxUnavailable) }
        : pool,
    );
    return { ...due, pools };
  };
  world.runOperatorCommand(world.operators.apply(edit));
  await world.advance(8000);
}

/** Commands of operators. */
export const operatorCommands: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc.tuple(team).map(
    command("issueKey", (world: World, name: string) => {
      world.runOperatorCommand(world.operators.issueKey(name));
    }),
  ),
  fc.tuple(team).map(
    command("withdrawKey", (world: World, name: string) => {
      world.runOperatorCommand(world.operators.withdrawKey(name));
    }),
  ),
  fc.tuple(team, fc.constantFrom(0, 1, 2, 5, 7)).map(
    command("setLimit", (world: World, name: string, limit: number) => {
      world.runOperatorCommand(world.operators.setLimit(name, limit));
    }),
  ),
  fc.tuple(team, fc.tuple(fc.nat({ max: 6 }), fc.nat({ max: 6 }))).map(command("race", race)),
  fc.tuple(fc.boolean()).map(command("resize", resize)),
  fc.tuple(fc.constantFrom(1, 2, 3, 4)).map(command("setMinAvailable", setMinAvailable)),
  fc.tuple(fc.constantFrom(true, true, false)).map(command("setMaintenance", setMaintenance)),
  fc.tuple(fc.constantFrom(0, 1, 2)).map(command("startTightWave", startTightWave)),
  fc.tuple(fc.constantFrom(0, 1, 2)).map(command("startTightWave", startTightWave)),
];
