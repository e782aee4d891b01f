import type { Sade } from "sade";
import { parseLogLine, jobTimeline, type LogLine } from "../state/jobs/records/job-timeline.ts";
import {
  runCommand,
  UsageError,
  type CliContext,
  type CliOptions,
  type ExitCode,
} from "./context.ts";

/** Adds the `explain` command. */
export function addExplainCommand(program: Sade, ctx: CliContext): void {
  program
    .command("explain <id>")
    .describe("Print the timeline of a job from the log lines of all processes.")
    .option("--log", "File with log lines; several are separated by commas")
    .option("--json", "Print the lines as JSON")
    .example("explain 5c0e7a21d94b36f8 --log a.log,b.log")
    .action((id: string, options: CliOptions) =>
      runCommand(ctx, options, ["log", "json"], () => Promise.resolve(explain(ctx, id, options))),
    );
}

function explain(ctx: CliContext, id: string, { log, json }: CliOptions): ExitCode {
  if (typeof log !== "string")
    throw new UsageError("--log: missing; allowed: files with log lines");
  const lines = log.split(",").flatMap((file) => readLines(ctx, file));
  const timeline = jobTimeline(lines, id);
  if (timeline.length === 0) {
    ctx.printError(`no log line mentions ${id}`);
    return 1;
  }
  for (const line of timeline)
    ctx.print(json === true ? JSON.stringify(line) : formatLogLine(line));
  return 0;
}

function readLines(ctx: CliContext, file: string): readonly LogLine[] {
  const text = ctx.readFile(file);
  if (text === undefined) throw new UsageError(`--log: ${file} cannot be read; allowed: files`);
  return text.split("\n").flatMap((line) => parseLogLine(line) ?? []);
}

function formatLogLine({ time, instance, msg, fields }: LogLine): string {
  return `${new Date(time).toISOString()} ${instance} ${msg} ${JSON.stringify(fields)}`;
}
