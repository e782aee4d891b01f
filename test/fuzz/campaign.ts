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
import { ViolationError, World } from "./world.ts";

/** Options of {@link fuzz}. */
export interface CampaignOptions {
  readonly seed: number;
  readonly runs: number;
  readonly factory: EntryFactory;
  /** Only violations of this property fail a run. @default every property */
  readonly property?: Property | undefined;
  readonly mutant?: Mutant | undefined;
  /** Most commands of one run. @default 40 */
  readonly maxCommands?: number;
  /** Time limit for shrinking a failing run, in milliseconds; 0 disables shrinking. @default 0 */
  readonly shrinkMs?: number;
  readonly log: Log;
}

/** Result of a campaign. */
export interface CampaignResult {
  /** Runs up to and including the first failing one, or all. */
  readonly runs: number;
  readonly failure: CampaignFailure | undefined;
}

/** The first failing run, or the last failing one that shrinking found. */
export interface CampaignFailure {
  readonly worldSeed: number;
  readonly zones: readonly string[];
  readonly commands: string;
  readonly violations: readonly Violation[];
  readonly shrinks: number;
}

/** Generated input of one run: zones, world seed and commands. */
type RunInput = [readonly string[], number, Iterable<AsyncCommand<Model, World>>];

/** Runs command sequences against fresh worlds until one fails or all have passed. */
export async function fuzz(options: CampaignOptions): Promise<CampaignResult> {
  const { seed, runs, maxCommands = 40, shrinkMs = 0 } = options;
  // A list that is included twice makes its commands twice as frequent.
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
  let failingRuns = 0;
  let failedAt = 0;
  let done = 0;
  const property = fc.asyncProperty(zones, fc.nat(), commands, async (...input: RunInput) => {
    if (failure !== undefined && performance.now() - failedAt > shrinkMs) return;
    if (failure === undefined) done++;
    const violations = await runOnce(options, input);
    if (violations.length === 0) return;
    if (failure === undefined) failedAt = performance.now();
    const [usedZones, worldSeed, sequence] = input;
    const shrinks = failingRuns++;
    // fast-check lists only the commands that have run, so the sequence is formatted after the run.
    failure = {
      worldSeed,
      zones: usedZones,
      commands: formatCommands(sequence),
      violations,
      shrinks,
    };
    throw new Error("a property was violated");
  });
  const endOnFailure = shrinkMs === 0;
  const { failed, errorInstance } = await fc.check(property, {
    seed,
    numRuns: runs,
    endOnFailure,
  });
  // Without this, an error of the harness would end the campaign early and count as passed.
  if (failed && failure === undefined) throw errorInstance as Error;
  return { runs: done, failure };
}

/** Runs one command sequence, then the recovery check, and returns the violations. */
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
    if (!(error instanceof ViolationError)) throw error;
  } finally {
    world.dispose();
    process.off("unhandledRejection", onRejection);
  }
  return world.violations;
}

/** Formats the commands that have run, as fast-check records them. */
function formatCommands(sequence: Iterable<unknown>): string {
  return fc.stringify(sequence);
}
