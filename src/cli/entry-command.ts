import { setFlagsFromString } from "node:v8";
import type { Sade } from "sade";
import type { Counters } from "../coordination/ports.ts";
import { readEntrySettings } from "../settings/entry-file.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import { formatProblem } from "../settings/settings-problem.ts";
import { HttpBackendConnector } from "../transport/http-backend-server.ts";
import { HttpInstanceList } from "../transport/http-instance-list.ts";
import { HttpKeyValueService } from "../transport/http-key-value.ts";
import type { CliContext, CliOptions, ExitCode } from "./context.ts";
import { runCommand, textOption, UsageError } from "./context.ts";
import { handleUnexpectedErrors } from "./unexpected-errors.ts";
import { EntryProcess, openLog, stopOnSignal, type PlatformClients } from "./entry-process.ts";

const EXIT_INVALID_INPUT = 2;
/**
 * Marks the heap in one pass. On an idle entry instance, incremental marking ran as thousands of tasks,
 * each scheduled through a file descriptor, and took a quarter of its processor time. A heap of 128 MB
 * is small enough for one pass.
 */
const GARBAGE_COLLECTOR_FLAGS = "--no-incremental-marking";
const LOG_LEVELS = ["debug", "info", "warn", "error", "silent"];

/** Adds the `entry` command. */
export function addEntryCommand(program: Sade, ctx: CliContext): void {
  program
    .command("entry")
    .describe("Run one entry instance until SIGTERM.")
    .option("--config", "Entry settings file (INI)")
    .option("--log-level", `One of ${LOG_LEVELS.join(", ")} (default info)`)
    .action((options: CliOptions) =>
      runCommand(ctx, options, ["config", "log-level"], () => run(ctx, options)),
    );
}

async function run(ctx: CliContext, options: CliOptions): Promise<ExitCode> {
  const settings = loadSettings(ctx, options);
  setFlagsFromString(GARBAGE_COLLECTOR_FLAGS);
  const level = textOption(options, "log-level") ?? "info";
  if (!LOG_LEVELS.includes(level)) {
    throw new UsageError(`--log-level: = ${level}; allowed: ${LOG_LEVELS.join(", ")}`);
  }
  const log = openLog(level);
  const entry = new EntryProcess({
    settings,
    log,
    clock: ctx.clock,
    random: ctx.random,
    platform: (counters) => platformClients(ctx, settings, counters),
  });
  handleUnexpectedErrors(log, (event) => {
    entry.count(event);
  });
  try {
    await entry.start();
  } catch (err) {
    // Servers that were started before the failure would keep the process running.
    ctx.printError(err instanceof Error ? err.message : String(err));
    process.exit(EXIT_INVALID_INPUT);
  }
  stopOnSignal(() => entry.stop());
  log.info({ zone: settings.zone, callers: settings.callerAddress }, "entry instance started");
  return 0;
}

function loadSettings(ctx: CliContext, options: CliOptions): EntrySettings {
  const file = textOption(options, "config");
  if (file === undefined) throw new UsageError("--config: missing; allowed: a settings file");
  const text = ctx.readFile(file);
  if (text === undefined) throw new UsageError(`${file}: the file cannot be read`);
  const read = readEntrySettings(file, text);
  if (read.err) throw new UsageError(read.val.map(formatProblem).join("\n"));
  return read.val;
}

function platformClients(
  { clock }: CliContext,
  settings: EntrySettings,
  counter: Counters,
): PlatformClients {
  return {
    keyValue: new HttpKeyValueService({ clock, counter, url: settings.keyValueUrl }),
    instanceList: new HttpInstanceList({ clock, url: settings.instanceListUrl }),
    backends: new HttpBackendConnector({ clock }),
  };
}
