import fc, { type AsyncCommand } from "fast-check";
import type { Log } from "../../src/ports/log.ts";
import { faultCommands } from "./commands/faults.ts";
import type { Model } from "./commands/command.ts";
import { operatorCommands } from "./commands/operators.ts";
import { requestCommands } from "./commands/requests.ts";
import { timeCommands } from "./commands/time.ts";
import type { EntryFactory, Mutant } from "./entry-under-test.ts";
import { checkRecovery } from "./recovery.ts";
import type { Property, Violation } from "./violations.ts";
import { ViolationSeen, World } from "./world.ts";

/** Options of {@link fuzz}. */
export interface CampaignOptions {
  readonly seed: number;
  readonly runs: number;
  readonly factory: EntryFactory;
  /** Checks only this property. */
  readonly property?: Property | undefined;
  readonly mutant?: Mutant | undefined;
  /** @default 40 */
  readonly maxCommands?: number;
  /** Time spent on finding a shorter failing run, in milliseconds. 0 keeps the first. @default 0 */
  readonly shrinkMs?: number;
  readonly log: Log;
}

/** What a campaign found. */
export interface CampaignResult {
  /** Runs done until the first failure, or all. */
  readonly runs: number;
  readonly failure: CampaignFailure | undefined;
}

/** The first failing run, or a shorter one found from it. */
export interface CampaignFailure {
  readonly worldSeed: number;
  readonly zones: readonly string[];
  readonly commands: string;
  readonly violations: readonly Violation[];
  readonly shrinks: number;
}

/** What one run is generated from. */
type RunInput = [readonly string[], number, Iterable<AsyncCommand<Model, World>>];

/** Runs command sequences against fresh worlds until one fails or all have passed. */
export async function fuzz(options: CampaignOptions): Promise<CampaignResult> {
  const { seed, runs, maxCommands = 40, shrinkMs = 0 } = options;
  const all = [
    ...requestCommands,
    ...requestCommands,
    ...timeCommands,
    ...timeCommands,
    ...operatorCommands,
    ...faultCommands,
  ];
  const zones = fc.constantFrom<readonly string[]>(["a", "b"], ["a", "b", "c"]);
  const commands = fc.commands<Model, World, false>([...all], { maxCommands, size: "max" });
  let failure: CampaignFailure | undefined;
  let failedRuns = 0;
  let failedAt = 0;
  let done = 0;
  const property = fc.asyncProperty(zones, fc.nat(), commands, async (...input: RunInput) => {
    if (failure !== undefined && performance.now() - failedAt > shrinkMs) return;
    if (failure === undefined) done++;
    const violations = await runOnce(options, input);
    if (violations.length === 0) return;
    if (failure === undefined) failedAt = performance.now();
    const [usedZones, worldSeed, sequence] = input;
    const shrinks = failedRuns++;
    // The text of a sequence names the commands that ran, so it is taken after the run.
    failure = { worldSeed, zones: usedZones, commands: textOf(sequence), violations, shrinks };
    throw new Error("violated");
  });
  const endOnFailure = shrinkMs === 0;
  const { failed, errorInstance } = await fc.check(property, {
    seed,
    numRuns: runs,
    endOnFailure,
  });
  // An error of the harness itself would otherwise end the campaign early and count as passed.
  if (failed && failure === undefined) throw errorInstance as Error;
  return { runs: done, failure };
}

/** Runs one command sequence and the check of the recovery; returns the violations. */
async function runOnce(
  { factory, mutant, property, log }: CampaignOptions,
  [zones, seed, commands]: RunInput,
): Promise<readonly Violation[]> {
  const options = { seed, zones, entriesPerZone: 2, factory, mutant, property, log };
  const world = new World(options);
  const onRejection = (error: unknown): void => {
    world.oracle.threw("a background promise", error);
  };
  process.on("unhandledRejection", onRejection);
  try {
    await world.start();
    await fc.asyncModelRun(() => ({ model: {}, real: world }), commands);
    await checkRecovery(world);
  } catch (error) {
    if (!(error instanceof ViolationSeen)) throw error;
  } finally {
    world.dispose();
    process.off("unhandledRejection", onRejection);
  }
  return world.violations;
}

/** fast-check gives an iterable of commands a text form with the commands that ran. */
function textOf(sequence: Iterable<unknown>): string {
  return fc.stringify(sequence);
}
