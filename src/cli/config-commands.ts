import type { Sade } from "sade";
import { ConfigStore } from "../coordination/config-store.ts";
import { OperatorActions } from "../coordination/operator-actions.ts";
import type { ConfigDocument } from "../protocol/config-document.ts";
import { readEntrySettings } from "../settings/entry-file.ts";
import { parseIni } from "../settings/ini-text.ts";
import { formatProblem } from "../settings/settings-problem.ts";
import type { TemplateParameters } from "../settings/substitution.ts";
import type { TemplateContent } from "../settings/template-content.ts";
import { readTemplate } from "../settings/template-file.ts";
import { diffConfig, formatChange } from "../state/config-diff.ts";
import { configToIni } from "../settings/config-to-ini.ts";
import { DEFAULT_CONFIRM_WAIT_S, reportConfirmations, confirmWaitMs } from "./confirmations.ts";
import {
  numberOption,
  runCommand,
  textOption,
  urlOption,
  UsageError,
  type CliContext,
  type CliOptions,
  type ExitCode,
} from "./context.ts";
import { explainError } from "./operator-errors.ts";

/** Adds the commands `config check`, `config apply`, `config show` and `config history`. */
export function addConfigCommands(program: Sade, ctx: CliContext): void {
  program
    .command("config check <file>")
    .describe("Check a template or an entry settings file without changing anything.")
    .option("--parameters", "INI file with a [parameters] section of values for ${name}")
    .action((file: string, options: CliOptions) =>
      runCommand(ctx, options, ["parameters"], () => check(ctx, file, options)),
    );
  program
    .command("config apply <file>")
    .describe("Apply a template as the new configuration. Stored API keys are kept.")
    .option("--key-value", "Base URL of the key-value service")
    .option("--base", "Revision that the template was edited from")
    .option("--parameters", "INI file with a [parameters] section of values for ${name}")
    .option(
      "--wait",
      `Seconds to wait for the entries' confirmation (default ${DEFAULT_CONFIRM_WAIT_S})`,
    )
    .option("--json", "Print JSON")
    .action((file: string, options: CliOptions) =>
      runCommand(ctx, options, ["key-value", "base", "parameters", "wait", "json"], () =>
        apply(ctx, file, options),
      ),
    );
  program
    .command("config show")
    .describe("Print the current configuration as a template.")
    .option("--key-value", "Base URL of the key-value service")
    .option("--json", "Print the stored document as JSON, without key hashes")
    .action((options: CliOptions) =>
      runCommand(ctx, options, ["key-value", "json"], () => show(ctx, options)),
    );
  program
    .command("config history")
    .describe("Print the stored revisions and the changes made by each.")
    .option("--key-value", "Base URL of the key-value service")
    .option("--json", "Print JSON")
    .action((options: CliOptions) =>
      runCommand(ctx, options, ["key-value", "json"], () => history(ctx, options)),
    );
}

/** Creates the operators' actions on the key-value service given by `--key-value`. */
export function createOperatorActions(ctx: CliContext, options: CliOptions): OperatorActions {
  const { clock, random } = ctx;
  const keyValue = ctx.keyValue(urlOption(options, "key-value"));
  return new OperatorActions({ clock, random, store: new ConfigStore({ clock, keyValue }) });
}

function readText(ctx: CliContext, file: string): string {
  const text = ctx.readFile(file);
  if (text === undefined) throw new UsageError(`${file}: the file cannot be read`);
  return text;
}

function readParameters(ctx: CliContext, options: CliOptions): TemplateParameters {
  const file = textOption(options, "parameters");
  if (file === undefined) return new Map();
  const ini = parseIni(file, readText(ctx, file));
  const otherSection = ini.sections.find((section) => section.title !== "parameters");
  if (otherSection !== undefined) {
    throw new UsageError(`${file}: [${otherSection.title}]: allowed: only [parameters]`);
  }
  if (ini.problems.length > 0) throw new UsageError(ini.problems.map(formatProblem).join("\n"));
  return new Map(ini.sections.flatMap((s) => s.entries.map((e) => [e.key, e.value] as const)));
}

function loadTemplate(ctx: CliContext, file: string, options: CliOptions): TemplateContent {
  const read = readTemplate(file, readText(ctx, file), readParameters(ctx, options));
  if (read.err) throw new UsageError(read.val.map(formatProblem).join("\n"));
  return read.val;
}

function check(ctx: CliContext, file: string, options: CliOptions): Promise<ExitCode> {
  const text = readText(ctx, file);
  const isEntryFile = parseIni(file, text).sections.some((section) => section.title === "entry");
  if (isEntryFile) {
    const read = readEntrySettings(file, text);
    if (read.err) throw new UsageError(read.val.map(formatProblem).join("\n"));
    ctx.print(`${file}: valid settings of an entry instance in zone ${read.val.zone}`);
    return Promise.resolve(0);
  }
  const { pools, queues, teams } = loadTemplate(ctx, file, options);
  const servers = pools.reduce((sum, pool) => sum + pool.targetSize, 0);
  ctx.print(
    `${file}: valid template: ${pools.length} pools for ${servers} servers, ${queues.length} queues, ${teams.length} teams`,
  );
  return Promise.resolve(0);
}

async function apply(ctx: CliContext, file: string, options: CliOptions): Promise<ExitCode> {
  const content = loadTemplate(ctx, file, options);
  const waitMs = confirmWaitMs(options);
  const base = numberOption(options, "base", 0);
  const applied = await createOperatorActions(ctx, options).apply(content, base);
  if (applied.err) {
    for (const line of explainError(applied.val)) ctx.printError(line);
    return 1;
  }
  const { revision, changes } = applied.val;
  if (options.json !== true) {
    ctx.print(`accepted at revision ${revision}`);
    for (const change of changes) ctx.print(`  ${formatChange(change)}`);
  }
  await reportConfirmations(ctx, options, { revision, waitMs, result: { revision, changes } });
  return 0;
}

async function show(ctx: CliContext, options: CliOptions): Promise<ExitCode> {
  const stored = await createOperatorActions(ctx, options).show();
  if (stored.err) {
    for (const line of explainError(stored.val)) ctx.printError(line);
    return 1;
  }
  const { document } = stored.val;
  if (options.json === true) ctx.print(JSON.stringify(withoutHashes(document)));
  else ctx.print(configToIni(document));
  return 0;
}

/** Leaves out key hashes, which are of no use to a reader. No command prints them. */
function withoutHashes(document: ConfigDocument): object {
  const teams = document.teams.map((team) => ({
    ...team,
    keys: team.keys.map((key) => key.id),
  }));
  return { ...document, teams };
}

async function history(ctx: CliContext, options: CliOptions): Promise<ExitCode> {
  const actions = createOperatorActions(ctx, options);
  const [stored, kept] = [await actions.show(), await actions.history()];
  if (stored.err || kept.err) {
    const err = stored.err ? stored.val : kept.err ? kept.val : undefined;
    for (const line of err === undefined ? [] : explainError(err)) ctx.printError(line);
    return 1;
  }
  const current = stored.val.document;
  // The history may contain the current revision, if it was stored there and the write of its
  // successor then failed. It is listed once.
  const all = [current, ...kept.val.filter((document) => document.revision < current.revision)];
  const rows = all.map((document, index) => {
    const before = all[index + 1];
    const changes = before === undefined ? [] : diffConfig(before, document).map(formatChange);
    const acceptedAt = new Date(document.acceptedAt).toISOString();
    return { revision: document.revision, acceptedAt, changes };
  });
  if (options.json === true) ctx.print(JSON.stringify(rows));
  else {
    for (const row of rows) {
      ctx.print(`revision ${row.revision}, accepted ${row.acceptedAt}`);
      for (const change of row.changes) ctx.print(`  ${change}`);
    }
  }
  return 0;
}
