import type { EntryStatusReader } from "../coordination/entry-directory.ts";
import type { Clock } from "../ports/clock.ts";
import type { InstanceList } from "../ports/instance-list.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import { suggestion } from "../settings/problem.ts";

/** What operators' commands need from the process they run in. */
export abstract class CliContext {
  abstract readonly clock: Clock;
  abstract readonly random: Random;
  abstract readonly statusReader: EntryStatusReader;
  /** Client of the key-value service at a base URL. */
  abstract keyValue(url: string): KeyValueService;
  /** Client of the instance list at a base URL. */
  abstract instanceList(url: string): InstanceList;
  /** Content of a file; undefined if it cannot be read. */
  abstract readFile(path: string): string | undefined;
  /** Writes a line to standard output. */
  abstract print(line: string): void;
  /** Writes a line to standard error. */
  abstract printError(line: string): void;
  /** Sets the exit code of the process. */
  abstract exit(code: ExitCode): void;
}

/** 0 done, 1 refused or failed, 2 invalid input with nothing changed. */
export type ExitCode = 0 | 1 | 2;

/** Options as parsed from the command line. */
export type CliOptions = Readonly<Record<string, unknown>>;

/** A command's input is invalid; the message says what is allowed. */
export class UsageError extends Error {}

/** Runs a command and turns its outcome into the exit code. */
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

/** `sade` takes any option, so a misspelt one would be ignored without this. */
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

/** A required URL option. */
export function urlOption(options: CliOptions, name: string): string {
  const value = options[name];
  if (typeof value !== "string" || !/^https?:\/\//.test(value) || !URL.canParse(value)) {
    const given = value === undefined ? "missing" : `= ${JSON.stringify(value)}`;
    throw new UsageError(`--${name}: ${given}; allowed: a URL, as in http://127.0.0.1:9100`);
  }
  return value.replace(/\/+$/, "");
}

/** An optional whole number of at least `min`. */
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

/** An optional text. */
export function textOption(options: CliOptions, name: string): string | undefined {
  const value = options[name];
  if (value === undefined) return undefined;
  if (typeof value === "string") return value;
  throw new UsageError(`--${name}: = ${JSON.stringify(value)}; allowed: a text`);
}
