import { distance } from "fastest-levenshtein";

/** One fault in a settings or template file. */
export interface SettingsProblem {
  readonly file: string;
  /** Line of the fault, counted from 1; undefined if nothing is there. */
  readonly line: number | undefined;
  readonly section: string | undefined;
  readonly key: string | undefined;
  readonly value: string | undefined;
  /** What is wrong and what is allowed instead. */
  readonly detail: string;
}

/** Writes a fault as one line of text. */
export function formatProblem(problem: SettingsProblem): string {
  const place = problem.line === undefined ? problem.file : `${problem.file}:${problem.line}`;
  const section = problem.section === undefined ? "" : ` [${problem.section}]`;
  const value = problem.value === undefined ? "" : ` = ${JSON.stringify(problem.value)}`;
  const key = problem.key === undefined ? "" : ` ${problem.key}${value}`;
  const setting = `${section}${key}`;
  return `${place}:${setting}${setting === "" ? "" : ":"} ${problem.detail}`;
}

/** The candidate most similar to a misspelt name, if one is similar enough to be meant. */
export function nearestName(name: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates
    .map((candidate) => ({ candidate, edits: distance(name, candidate) }))
    .sort((a, b) => a.edits - b.edits);
  const best = ranked[0];
  if (best === undefined) return undefined;
  // More edits than half the name's length would turn any word into any other.
  const limit = Math.max(1, Math.floor(Math.max(name.length, best.candidate.length) / 2));
  return best.edits <= limit ? best.candidate : undefined;
}

/** Text that names the nearest candidate, or all of them if none is near. */
export function suggestion(name: string, candidates: readonly string[]): string {
  const nearest = nearestName(name, candidates);
  if (nearest !== undefined) return `did you mean "${nearest}"?`;
  if (candidates.length === 0) return "none is defined";
  return `allowed: ${[...candidates].sort().join(", ")}`;
}
