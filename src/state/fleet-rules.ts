import type { Explanation } from "../protocol/entry-status.ts";
import type { Decision, FleetSituation, Rule } from "./fleet-situation.ts";
import {
  finishOrders,
  orderMoveOrReboot,
  quarantine,
  drainQuarantined,
  cancelDrains,
} from "./health-rules.ts";
import { addServers, markLeaving, removeOrRestore } from "./listing-rules.ts";
import { continueWave } from "./maintenance-rules.ts";
import { moveTowardsTargets } from "./move-rules.ts";

/** All rules in order of precedence: existing servers, failures, pending orders, then new plans. */
const RULES: readonly Rule[] = [
  addServers,
  markLeaving,
  removeOrRestore,
  cancelDrains,
  quarantine,
  finishOrders,
  moveTowardsTargets,
  orderMoveOrReboot,
  drainQuarantined,
  continueWave,
];

/** The next decision, and what the rules evaluated so far withheld. */
export interface Plan {
  readonly decision: Decision | undefined;
  readonly withheld: readonly Explanation[];
}

/** Evaluates the rules in order until one returns a decision. */
export function planNext(situation: FleetSituation): Plan {
  const withheld: Explanation[] = [];
  for (const rule of RULES) {
    const outcome = rule(situation);
    withheld.push(...outcome.withheld);
    if (outcome.decision !== undefined) return { decision: outcome.decision, withheld };
  }
  return { decision: undefined, withheld };
}

/** Sequence of decisions that the rules would take if nothing else changed. */
export interface DryRun {
  readonly decisions: readonly Explanation[];
  readonly withheld: readonly Explanation[];
  /** True if the list ended at the limit; more decisions may follow. */
  readonly more: boolean;
}

/** Computes up to `limit` decisions without writing them. */
export function dryRun(situation: FleetSituation, limit: number): DryRun {
  const decisions: Explanation[] = [];
  let current = situation;
  while (decisions.length < limit) {
    const { decision, withheld } = planNext(current);
    if (decision === undefined) return { decisions, withheld, more: false };
    decisions.push(decision.explanation);
    current = { ...current, servers: decision.servers };
  }
  return { decisions, withheld: [], more: true };
}
