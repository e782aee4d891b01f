/** Runs one case and ends the process with the exit code that the review asks for. */
import { CaseRecord } from "./record.ts";

/** True unless the case runs without its disruption. */
export const trouble = process.env.TROUBLE !== "0";

/** What a case found. */
export type Verdict =
  | { readonly kind: "held" }
  | { readonly kind: "broken"; readonly what: string }
  | { readonly kind: "not-run"; readonly why: string };

const EXIT_CODES = { held: 0, broken: 1, "not-run": 2 } as const;

/** Runs a case; the first argument of the program names the file of the record. */
export async function runCase(run: (record: CaseRecord) => Promise<Verdict>): Promise<never> {
  const record = new CaseRecord(process.argv[2] ?? "record.txt");
  record.add(trouble ? "with the disruption" : "without the disruption");
  let verdict: Verdict;
  try {
    verdict = await run(record);
  } catch (err) {
    verdict = { kind: "not-run", why: String(err instanceof Error ? err.stack : err) };
  }
  const detail =
    verdict.kind === "broken" ? verdict.what : verdict.kind === "not-run" ? verdict.why : "";
  record.add(`${verdict.kind} ${detail}`.trim());
  record.write();
  console.log(`${verdict.kind} ${detail}`.trim());
  process.exit(EXIT_CODES[verdict.kind]);
}
