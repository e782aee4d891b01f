import { distance } from "fastest-levenshtein";

/** One problem in a settings or template file. */
export interface SettingsProblem {
  readonly file: string;
  /** Line number, starting at 1; undefined if the problem is not at a line of the file. */
  readonly line: number | undefined;
  readonly section: string | undefined;
  readonly key: string | undefined;
  readonly value: string | undefined;
  /** What is wrong and what is allowed instead. */
  readonly detail: string;
}

/** Formats a problem as one line of text. */
export function formatProblem(problem: SettingsProblem): string {
  const location = problem.line === undefined ? problem.file : `${problem.file}:${problem.line}`;
  const section = problem.section === undefined ? "" : ` [${problem.section}]`;
  const value = problem.value === undefined ? "" : ` = ${JSON.stringify(problem.value)}`;
  const key = problem.key === undefined ? "" : ` ${problem.key}${value}`;
  const setting = `${section}${key}`;
  return `${location}:${setting}${setting === "" ? "" : ":"} ${problem.detail}`;
}

/** The candidate that is most similar to a misspelt name; undefined if none is similar enough. */
export function nearestName(name: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates
    .map((candidate) => ({ candidate, edits: distance(name, candidate) }))
    .sort((a, b) => a.edits - b.edits);
  const best = ranked[0];
  if (best === undefined) return undefined;
  // With more edits than half the length of the longer name, almost any two names would match.
  const maxEdits = Math.max(1, Math.floor(Math.max(name.length, best.candidate.length) / 2));
  return best.edits <= maxEdits ? best.candidate : undefined;
}

/** Hint that suggests the nearest candidate, or lists all candidates if none is similar. */
export function suggestion(name: string, candidates: readonly string[]): string {
  const nearest = nearestName(name, candidates);
  if (nearest !== undefined) return `did you mean "${nearest}"?`;
  if (candidates.length === 0) return "none is defined";
  return `allowed: ${[...candidates].sort().join(", ")}`;
}
