import { EntryDirectory } from "../coordination/entry-directory.ts";
import { numberOption, urlOption, type CliContext, type CliOptions } from "./context.ts";

/** Time within which a configuration should be in effect everywhere, in seconds. */
export const CONFIRM_WAIT_S = 20;

/** Value of `--wait` in milliseconds. */
export function waitOption(options: CliOptions): number {
  return (numberOption(options, "wait", 0) ?? CONFIRM_WAIT_S) * 1000;
}

/** A revision that was accepted. */
export interface AcceptedRevision {
  readonly revision: number;
  readonly waitMs: number;
  /** What the command did, for JSON output. */
  readonly result: object;
}

/** Waits for the entries to have the revision and prints which have it. */
export async function reportConfirmations(
  ctx: CliContext,
  options: CliOptions,
  { revision, waitMs, result }: AcceptedRevision,
): Promise<void> {
  const directory = new EntryDirectory({
    clock: ctx.clock,
    keyValue: ctx.keyValue(urlOption(options, "key-value")),
    reader: ctx.statusReader,
  });
  const reply = await directory.confirmations(revision, waitMs);
  const confirmed = reply.ok ? reply.val.confirmed.map((e) => e.session.incarnation) : [];
  const waiting = reply.ok
    ? reply.val.waiting.map(({ session, status }) => ({
        incarnation: session.incarnation,
        zone: session.zone,
        state: status.ok ? `at revision ${status.val.configRevision}` : `no status: ${status.val}`,
      }))
    : [];
  const problem = reply.err ? reply.val : undefined;
  if (options.json === true) {
    ctx.print(JSON.stringify({ ...result, confirmed, waiting, problem }));
    return;
  }
  if (problem !== undefined) ctx.printError(`confirmations unknown: ${problem}`);
  else {
    ctx.print(`in effect on ${confirmed.length} of ${confirmed.length + waiting.length} entries`);
  }
  for (const entry of waiting) {
    ctx.printError(`not confirmed: ${entry.incarnation} in ${entry.zone}: ${entry.state}`);
  }
}
