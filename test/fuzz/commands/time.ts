import fc from "fast-check";
import type { World } from "../world.ts";
import { command, type FuzzCommand } from "./command.ts";

const advance = command("advance", (world: World, ms: number) => world.advance(ms));

/** Commands that advance the clock: within a call, within a lease or past every lease. */
export const timeCommands: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc.tuple(fc.constantFrom(1, 3, 10, 50)).map(advance),
  fc.tuple(fc.constantFrom(300, 900, 2000)).map(advance),
  fc.tuple(fc.constantFrom(2500, 5000, 10_000)).map(advance),
];
