/** Updates of a ledger shard. No raise makes the sum of a team's budgets exceed its upper limit. */
import type {
  BudgetRow,
  LedgerDocument,
  TeamBudgets,
  Tombstone,
} from "../protocol/ledger-document.ts";

/** Age in milliseconds after which the tombstone of an incarnation without rows is dropped. */
const TOMBSTONE_RETENTION_MS = 24 * 3_600_000;

/** A team's upper limit and the configuration revision that defines it. */
export interface UpperLimit {
  readonly limit: number;
  readonly configRevision: number;
}

/** Budget that an incarnation requests for a team. */
export interface BudgetTarget extends UpperLimit {
  readonly team: string;
  /** If lower than the current budget, the running tasks must already fit in it. */
  readonly target: number;
  /** Budget that the row keeps when it is lowered and no other live row has budget. @default 0 */
  readonly keepIfLast?: number;
}

/** Number of running tasks of a team. */
export interface TeamCharge {
  readonly team: string;
  readonly tasks: number;
}

export const EMPTY_LEDGER: LedgerDocument = { writeId: "", teams: [], retired: [] };

/** True if the shard has a tombstone of the incarnation. */
export function isRetired(doc: LedgerDocument, incarnation: string): boolean {
  return doc.retired.some((tombstone) => tombstone.incarnation === incarnation);
}

/** Finds the row of an incarnation. Undefined if it has no budget. */
export function rowOf(
  doc: LedgerDocument,
  team: string,
  incarnation: string,
): BudgetRow | undefined {
  const record = doc.teams.find((budgets) => budgets.team === team);
  return record?.rows.find((row) => row.incarnation === incarnation);
}

/** Maximum number of tasks that may run under a row. */
export function effectiveBudget(row: BudgetRow | undefined): number {
  if (row === undefined) return 0;
  return Math.min(row.budget, row.cap ?? row.budget);
}

/** Sum of the budgets of rows. */
export function sumBudgets(rows: readonly BudgetRow[]): number {
  return rows.reduce((sum, row) => sum + row.budget, 0);
}

/**
 * Applies a newer upper limit. If the rows exceed it, every row of a live incarnation gets a cap in
 * proportion to its budget. All caps are set in one write: if each entry instance computed its own
 * cap from rows read at a different time, the caps could add up to more than the limit.
 */
export function applyUpperLimit(
  record: TeamBudgets,
  { limit, configRevision }: UpperLimit,
  retired: readonly Tombstone[],
): TeamBudgets {
  if (configRevision <= record.configRevision) return record;
  if (limit === record.limit) return { ...record, configRevision };
  const lowered = limit < record.limit;
  const next = { ...record, limit, configRevision };
  if (sumBudgets(record.rows) <= limit) return { ...next, rows: record.rows.map(withoutCap) };
  const retiredIds = new Set(retired.map((tombstone) => tombstone.incarnation));
  const basis = (row: BudgetRow): number => {
    if (retiredIds.has(row.incarnation)) return 0;
    return lowered ? effectiveBudget(row) : row.budget;
  };
  const fixed = sumBudgets(record.rows.filter((row) => retiredIds.has(row.incarnation)));
  const available = Math.max(0, limit - fixed);
  const sum = record.rows.reduce((total, row) => total + basis(row), 0);
  const rows = record.rows.map((row) => {
    if (retiredIds.has(row.incarnation)) return row;
    const share = sum <= available ? basis(row) : Math.floor((basis(row) * available) / sum);
    return withCap(row, share);
  });
  return { ...next, rows };
}

/**
 * Moves the rows of one incarnation towards its targets: lowers them fully, raises them as far as
 * the upper limit allows. A newer limit in the document overrides the limit of the target. A
 * retired incarnation can only lower its rows. Undefined if nothing changes.
 */
export function adjustBudgets(
  doc: LedgerDocument,
  incarnation: string,
  budgetTargets: readonly BudgetTarget[],
): LedgerDocument | undefined {
  const mayRaise = !isRetired(doc, incarnation);
  let next = doc;
  for (const budgetTarget of budgetTargets) {
    const old = next.teams.find((record) => record.team === budgetTarget.team);
    const record = old ?? { team: budgetTarget.team, limit: 0, configRevision: 0, rows: [] };
    const limited = mayRaise ? applyUpperLimit(record, budgetTarget, next.retired) : record;
    const target = Math.max(
      budgetTarget.target,
      minimumOfLastRow(limited, incarnation, budgetTarget, next.retired),
    );
    const updated = updateRow(limited, incarnation, target, mayRaise);
    const same = old?.rows === updated.rows && old.limit === updated.limit;
    if (same || (old === undefined && updated.rows.length === 0)) continue;
    next = { ...next, teams: replaceTeam(next.teams, updated) };
  }
  return next === doc ? undefined : next;
}

/** Adds the tombstone of an incarnation, and drops old tombstones of incarnations without rows. */
export function addTombstone(
  doc: LedgerDocument,
  tombstone: Tombstone,
): LedgerDocument | undefined {
  if (isRetired(doc, tombstone.incarnation)) return undefined;
  const holders = new Set(doc.teams.flatMap(({ rows }) => rows.map((row) => row.incarnation)));
  const kept = doc.retired.filter(
    (old) => holders.has(old.incarnation) || tombstone.at - old.at < TOMBSTONE_RETENTION_MS,
  );
  return { ...doc, retired: [...kept, tombstone] };
}

/**
 * Lowers the rows of a retired incarnation to the number of its tasks that still run. The remaining
 * budget stays charged to that incarnation until a later reclaim finds that the tasks ended. It is
 * not moved to the incarnations that took over the tasks: the backend server's record of a task
 * names the incarnation it was first charged to, so if the new one were lost too, the row that
 * covers the task could not be determined.
 */
export function reclaimUnusedBudget(
  doc: LedgerDocument,
  incarnation: string,
  running: readonly TeamCharge[],
): LedgerDocument | undefined {
  if (!isRetired(doc, incarnation)) return undefined;
  let next = doc;
  for (const record of doc.teams) {
    const left = running
      .filter(({ team }) => team === record.team)
      .reduce((sum, { tasks }) => sum + tasks, 0);
    const row = record.rows.find((one) => one.incarnation === incarnation);
    if (row === undefined || row.budget <= left) continue;
    const updated = updateRow(record, incarnation, left, false);
    next = { ...next, teams: replaceTeam(next.teams, updated) };
  }
  return next === doc ? undefined : next;
}

/** Budget charged to an incarnation in a shard, summed over all teams. */
export function totalBudgetOf(doc: LedgerDocument, incarnation: string): number {
  return doc.teams.reduce(
    (sum, { rows }) => sum + sumBudgets(rows.filter((row) => row.incarnation === incarnation)),
    0,
  );
}

/** Minimum budget of the row if it is the last live one with budget, at most its current budget. */
function minimumOfLastRow(
  { rows }: TeamBudgets,
  incarnation: string,
  { keepIfLast = 0 }: BudgetTarget,
  retired: readonly Tombstone[],
): number {
  const retiredIds = new Set(retired.map((tombstone) => tombstone.incarnation));
  const live = rows.filter((row) => row.budget > 0 && !retiredIds.has(row.incarnation));
  const own = live.find((row) => row.incarnation === incarnation);
  return live.length === 1 && own !== undefined ? Math.min(keepIfLast, own.budget) : 0;
}

function updateRow(
  record: TeamBudgets,
  incarnation: string,
  target: number,
  mayRaise: boolean,
): TeamBudgets {
  const row = record.rows.find((one) => one.incarnation === incarnation);
  const budget = row?.budget ?? 0;
  const remaining = record.limit - sumBudgets(record.rows);
  const raised = mayRaise ? budget + Math.max(0, Math.min(target - budget, remaining)) : budget;
  const next = target < budget ? target : raised;
  if (next === budget && !hasUnneededCap(record, row)) return record;
  const others = record.rows.filter((one) => one.incarnation !== incarnation);
  const own = { ...(row ?? { incarnation }), budget: next };
  const rows = next === 0 ? others : [...others, own];
  const fits = sumBudgets(rows) <= record.limit;
  return { ...record, rows: fits ? rows.map(withoutCap) : rows };
}

function hasUnneededCap(record: TeamBudgets, row: BudgetRow | undefined): boolean {
  return row?.cap !== undefined && sumBudgets(record.rows) <= record.limit;
}

function withCap(row: BudgetRow, cap: number): BudgetRow {
  return { incarnation: row.incarnation, budget: row.budget, cap };
}

function withoutCap(row: BudgetRow): BudgetRow {
  return row.cap === undefined ? row : { incarnation: row.incarnation, budget: row.budget };
}

function replaceTeam(teams: readonly TeamBudgets[], updated: TeamBudgets): readonly TeamBudgets[] {
  // Keeps records without rows, so that entry instances with an older configuration read the
  // newer limit.
  return [...teams.filter((record) => record.team !== updated.team), updated];
}
