import { EntryDirectory } from "../coordination/entry-directory.ts";
import { numberOption, urlOption, type CliContext, type CliOptions } from "./context.ts";

/** Time in seconds within which a configuration should be in effect on all entry instances. */
export const DEFAULT_CONFIRM_WAIT_S = 20;

/** Returns the value of `--wait` in milliseconds. */
export function confirmWaitMs(options: CliOptions): number {
  return (numberOption(options, "wait", 0) ?? DEFAULT_CONFIRM_WAIT_S) * 1000;
}

/** An accepted revision whose confirmations are awaited. */
export interface AcceptedRevision {
  readonly revision: number;
  readonly waitMs: number;
  /** Result of the command, included in the JSON output. */
  readonly result: object;
}

/** Waits until all entry instances have the revision, at most `waitMs`, and prints which have it. */
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
  const reply = await directory.awaitConfirmations(revision, waitMs);
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
