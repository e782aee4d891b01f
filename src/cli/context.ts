import type { EntryStatusReader } from "../coordination/entry-directory.ts";
import type { Clock } from "../ports/clock.ts";
import type { InstanceList } from "../ports/instance-list.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import { suggestion } from "../settings/settings-problem.ts";

/** Services, files and output that the operators' commands use. */
export abstract class CliContext {
  abstract readonly clock: Clock;
  abstract readonly random: Random;
  abstract readonly statusReader: EntryStatusReader;
  /** Opens a client of the key-value service at a base URL. */
  abstract keyValue(url: string): KeyValueService;
  /** Opens a client of the instance list at a base URL. */
  abstract instanceList(url: string): InstanceList;
  /** Reads a text file; undefined if it cannot be read. */
  abstract readFile(path: string): string | undefined;
  /** Writes a line to standard output. */
  abstract print(line: string): void;
  /** Writes a line to standard error. */
  abstract printError(line: string): void;
  /** Sets the exit code of the process. */
  abstract exit(code: ExitCode): void;
}

/** 0: done. 1: refused or failed. 2: invalid input, nothing was changed. */
export type ExitCode = 0 | 1 | 2;

/** Options as parsed from the command line. */
export type CliOptions = Readonly<Record<string, unknown>>;

/** Thrown if the input of a command is invalid; the message says what is allowed. */
export class UsageError extends Error {}

/** Runs a command and sets the exit code; 2 if the command throws a {@link UsageError}. */
export async function runCommand(
  ctx: CliContext,
  options: CliOptions,
  allowed: readonly string[],
  command: () => Promise<ExitCode>,
): Promise<void> {
  try {
    checkOptions(options, allowed);
    ctx.exit(await command());
  } catch (err) {
    if (!(err instanceof UsageError)) throw err;
    ctx.printError(err.message);
    ctx.exit(2);
  }
}

/** Rejects unknown options; `sade` accepts any option and would ignore a misspelt one. */
function checkOptions(options: CliOptions, allowed: readonly string[]): void {
  for (const [name, value] of Object.entries(options)) {
    if (name === "_") {
      const extra = Array.isArray(value) ? value.join(" ") : "";
      if (extra !== "") throw new UsageError(`unexpected argument: ${extra}`);
    } else if (value !== undefined && !allowed.includes(name)) {
      throw new UsageError(`unknown option --${name}; ${suggestion(name, allowed)}`);
    }
  }
}

/** Returns a required URL option without trailing slashes. */
export function urlOption(options: CliOptions, name: string): string {
  const value = options[name];
  if (typeof value !== "string" || !/^https?:\/\//.test(value) || !URL.canParse(value)) {
    const given = value === undefined ? "missing" : `= ${JSON.stringify(value)}`;
    throw new UsageError(`--${name}: ${given}; allowed: a URL, as in http://127.0.0.1:9100`);
  }
  return value.replace(/\/+$/, "");
}

/** Returns an optional whole number of at least `min`. */
export function numberOption(options: CliOptions, name: string, min: number): number | undefined {
  const value = options[name];
  if (value === undefined) return undefined;
  if (typeof value !== "number" || !Number.isInteger(value) || value < min) {
    throw new UsageError(
      `--${name}: = ${JSON.stringify(value)}; allowed: a whole number of at least ${min}`,
    );
  }
  return value;
}

/** Returns an optional string. */
export function textOption(options: CliOptions, name: string): string | undefined {
  const value = options[name];
  if (value === undefined) return undefined;
  if (typeof value === "string") return value;
  throw new UsageError(`--${name}: = ${JSON.stringify(value)}; allowed: a string`);
}
