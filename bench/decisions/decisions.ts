import { LOAD_PATTERNS, type LoadPattern } from "./load-patterns.ts";
import { POLICIES, type PolicyName } from "./policies.ts";
import { Replay, type JobOutcome } from "./replay.ts";
import { planCostMicros } from "./plan-cost.ts";

const PERCENTILE = 0.95;

/** Figures of some jobs of a replay. */
export interface DecisionFigures {
  /** Value that callers received, as a part of the value of all jobs. */
  readonly utility: number;
  readonly onTime: number;
  /** 95th percentile of the time from release to end, in ms. */
  readonly p95Ms: number;
  /** Part of the work that was done for jobs that ended after their callers had given up. */
  readonly wasted: number;
}

/** Replays a pattern with several seeds and returns the outcomes of all jobs. */
export function replayAll(
  pattern: LoadPattern,
  policy: PolicyName,
  seeds: readonly number[],
): readonly JobOutcome[] {
  return seeds.flatMap((seed) => new Replay(pattern, policy, seed).run());
}

/** Computes the figures of the given jobs. */
export function figuresOf(outcomes: readonly JobOutcome[]): DecisionFigures {
  const sum = (figure: (outcome: JobOutcome) => number): number =>
    outcomes.reduce((total, outcome) => total + figure(outcome), 0);
  const times = outcomes.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
  return {
    utility: sum(({ utility }) => utility) / sum(({ value }) => value),
    onTime: sum(({ onTime }) => Number(onTime)) / outcomes.length,
    p95Ms: Math.round(times[Math.floor(times.length * PERCENTILE)] ?? 0),
    wasted: sum(({ useful, work }) => (useful ? 0 : work)) / sum(({ work }) => work),
  };
}

/** Groups outcomes by queue and organisation, in the form `queue organisation`. */
export function groupsOf(outcomes: readonly JobOutcome[]): ReadonlyMap<string, JobOutcome[]> {
  const groups = new Map<string, JobOutcome[]>();
  for (const outcome of outcomes) {
    const { queue, organisation } = outcome;
    const name = organisation === "all" ? queue : `${queue} ${organisation}`;
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [outcome]);
    else group.push(outcome);
  }
  return groups;
}

/** Replays all load patterns with each policy and prints a Markdown table. */
export function printDecisions(seed: number, rounds: number): void {
  const seeds = Array.from({ length: rounds }, (_, n) => seed + n);
  console.log(`decisions: seeds ${seed} to ${seed + rounds - 1}`);
  console.log("| load | policy | utility | on time | on time by queue and organisation | wasted |");
  console.log("|---|---|---|---|---|---|");
  for (const pattern of LOAD_PATTERNS) {
    for (const policy of POLICIES) printRow(pattern, policy, seeds);
  }
  console.log(`\nplan of 1,000 steps: ${Math.round(planCostMicros(1000))} microseconds`);
  console.log(`plan of 2,000 steps: ${Math.round(planCostMicros(2000))} microseconds`);
}

function printRow(pattern: LoadPattern, policy: PolicyName, seeds: readonly number[]): void {
  const outcomes = replayAll(pattern, policy, seeds);
  const { utility, onTime, wasted } = figuresOf(outcomes);
  const groups = [...groupsOf(outcomes)].sort(([a], [b]) => a.localeCompare(b));
  const parts = groups.map(([name, group]) => `${name} ${figuresOf(group).onTime.toFixed(2)}`);
  const cells = [pattern.name, policy, utility.toFixed(3), onTime.toFixed(3), parts.join(", ")];
  console.log(`| ${cells.join(" | ")} | ${wasted.toFixed(3)} |`);
}
