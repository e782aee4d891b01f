import type { Sade } from "sade";
import { runCommand, type CliContext, type CliOptions, type ExitCode } from "./context.ts";
import { DEFAULT_CONFIRM_WAIT_S, reportConfirmations, confirmWaitMs } from "./confirmations.ts";
import { createOperatorActions } from "./config-commands.ts";
import { explainError } from "./operator-errors.ts";

/** Adds the commands `key give`, `key withdraw` and `key list`. */
export function addKeyCommands(program: Sade, ctx: CliContext): void {
  const allowed = ["key-value", "json"];
  program
    .command("key give <team>")
    .describe("Issue an API key for a team. It is printed once and stored only as a salted hash.")
    .option("--key-value", "Base URL of the key-value service")
    .option("--json", "Print JSON")
    .action((team: string, options: CliOptions) =>
      runCommand(ctx, options, allowed, () => give(ctx, team, options)),
    );
  program
    .command("key withdraw <team> <key-id>")
    .describe("Withdraw an API key of a team.")
    .option("--key-value", "Base URL of the key-value service")
    .option(
      "--wait",
      `Seconds to wait for the entries' confirmation (default ${DEFAULT_CONFIRM_WAIT_S})`,
    )
    .option("--json", "Print JSON")
    .action((team: string, keyId: string, options: CliOptions) =>
      runCommand(ctx, options, [...allowed, "wait"], () => withdraw(ctx, { team, keyId, options })),
    );
  program
    .command("key list")
    .describe("Print the ids of every team's API keys.")
    .option("--key-value", "Base URL of the key-value service")
    .option("--json", "Print JSON")
    .action((options: CliOptions) => runCommand(ctx, options, allowed, () => list(ctx, options)));
}

async function give(ctx: CliContext, team: string, options: CliOptions): Promise<ExitCode> {
  const issued = await createOperatorActions(ctx, options).issueKey(team);
  if (issued.err) {
    for (const line of explainError(issued.val)) ctx.printError(line);
    return 1;
  }
  const { revision, keyId, clear } = issued.val;
  if (options.json === true) ctx.print(JSON.stringify({ team, keyId, key: clear, revision }));
  else {
    ctx.print(clear);
    ctx.printError(
      `key ${keyId} of ${team}, accepted at revision ${revision}; it is not shown again`,
    );
  }
  return 0;
}

interface Withdrawal {
  readonly team: string;
  readonly keyId: string;
  readonly options: CliOptions;
}

async function withdraw(ctx: CliContext, { team, keyId, options }: Withdrawal): Promise<ExitCode> {
  const waitMs = confirmWaitMs(options);
  const withdrawn = await createOperatorActions(ctx, options).withdrawKey(team, keyId);
  if (withdrawn.err) {
    for (const line of explainError(withdrawn.val)) ctx.printError(line);
    return 1;
  }
  const revision = withdrawn.val;
  if (options.json !== true) {
    ctx.print(`key ${keyId} of ${team} withdrawn, accepted at revision ${revision}`);
  }
  const result = { team, keyId, revision };
  await reportConfirmations(ctx, options, { revision, waitMs, result });
  return 0;
}

async function list(ctx: CliContext, options: CliOptions): Promise<ExitCode> {
  const stored = await createOperatorActions(ctx, options).show();
  if (stored.err) {
    for (const line of explainError(stored.val)) ctx.printError(line);
    return 1;
  }
  const teams = stored.val.document.teams.map((team) => ({
    team: team.name,
    keyIds: team.keys.map((key) => key.id),
  }));
  if (options.json === true) ctx.print(JSON.stringify(teams));
  else for (const { team, keyIds } of teams) ctx.print(`${team}: ${keyIds.join(", ") || "none"}`);
  return 0;
}
