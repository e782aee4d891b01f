/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { join } from "node:path";
import { CaseRecord } from "./record.ts";
import type { Site } from "./site.ts";

/** A case that takes longer is ended. */
const MAX_CASE_MS = 115_000;

/** A case that is being played. */
export interface CasePlay {
  readonly record: CaseRecord;
  /** False if the case is played without its disruption. */
  readonly trouble: boolean;
  /** Registers the site, which is closed when the case ends. */
  readonly use: (site: Site) => Site;
}

/**
 * Plays a case. The command line names the folder for `record.txt`, then `TROUBLE`: 0 plays the case
 * without its disruption. `play` resolves with what broke the rule; empty if it held.
 */
export async function runCase(
  play: (context: CasePlay) => Promise<readonly string[]>,
): Promise<void> {
  const record = new CaseRecord(join(process.argv[2] ?? ".", "record.txt"));
  const sites: Site[] = [];
  const end = async (code: number): Promise<never> => {
    // What the end of the stand-ins does to runs is no part of the case.
    record.save();
    for (const site of sites) await site.close();
    process.exit(code);
  };
  const giveUp = (reason: string): void => {
    record.say(`the case could not run: ${reason}`);
    void end(2);
  };
  setTimeout(() => {
    giveUp("it takes too long");
  }, MAX_CASE_MS);
  process.once("SIGTERM", () => {
    giveUp("SIGTERM");
  });
  process.once("SIGINT", () => {
    giveUp("SIGINT");
  });
  const use = (site: Site): Site => {
    sites.push(site);
    return site;
  };
  try {
    const broken = await play({ record, trouble: process.argv[3] !== "0", use });
    for (const line of broken) record.say(`broken: ${line}`);
    record.say(broken.length > 0 ? "the rule was broken" : "the rule held");
    await end(broken.length > 0 ? 1 : 0);
  } catch (err) {
    giveUp(err instanceof Error ? err.message : String(err));
  }
}
