import { createHash } from "node:crypto";
import * as v from "valibot";

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Task budget of one incarnation. */
export const BudgetRowSchema = v.strictObject({
  incarnation: v.string(),
  budget: count,
  /**
   * Set after the upper limit was lowered below the sum of the budgets. No task may start while
   * this many or more are running.
   */
  cap: v.optional(count),
});

/** Budgets of one team. Their sum exceeds the upper limit only after that limit was lowered. */
export const TeamBudgetsSchema = v.strictObject({
  team: v.string(),
  /** Upper limit in the newest configuration revision under which a row was written. */
  limit: count,
  configRevision: count,
  rows: v.array(BudgetRowSchema),
});

/** An incarnation that must not raise its budgets any more. */
export const TombstoneSchema = v.strictObject({
  incarnation: v.string(),
  zone: v.string(),
  /** Wall-clock time of retirement in milliseconds since the Unix epoch. */
  at: v.number(),
});

/** Budgets of all teams in one shard. */
export const LedgerDocumentSchema = v.strictObject({
  writeId: v.string(),
  teams: v.array(TeamBudgetsSchema),
  retired: v.array(TombstoneSchema),
});

type Row = v.InferOutput<typeof BudgetRowSchema>;
type Team = v.InferOutput<typeof TeamBudgetsSchema>;

export type BudgetRow = Readonly<Row>;
export type TeamBudgets = Readonly<Omit<Team, "rows">> & { readonly rows: readonly BudgetRow[] };
export type Tombstone = Readonly<v.InferOutput<typeof TombstoneSchema>>;

/** A ledger shard as stored. */
export interface LedgerDocument {
  readonly writeId: string;
  readonly teams: readonly TeamBudgets[];
  readonly retired: readonly Tombstone[];
}

/** Key of a ledger shard. */
export function ledgerKey(shard: number): string {
  return `ledger/${shard}`;
}

/** Shard of a team, selected by the hash of its name. */
export function ledgerShardForTeam(team: string, shards: number): number {
  return createHash("sha256").update(team).digest().readUInt32BE(0) % shards;
}
