/** Rules of a ledger shard: the sum of a team's budgets never passes its upper limit by a raise. */
import type {
  BudgetRow,
  LedgerDocument,
  TeamBudgets,
  Tombstone,
} from "../protocol/ledger-document.ts";

/** Age after which the mark of an incarnation without rows is dropped from a shard. */
const TOMBSTONE_KEPT_MS = 24 * 3_600_000;

/** A team's upper limit and the configuration revision that states it. */
export interface UpperLimit {
  readonly limit: number;
  readonly configRevision: number;
}

/** Budget an incarnation wants for a team. */
export interface BudgetTarget extends UpperLimit {
  readonly team: string;
  /** A lower value than the row's must already hold for the running tasks. */
  readonly target: number;
  /** Budget that the row keeps when it is lowered and no other live row has any. @default 0 */
  readonly keepIfLast?: number;
}

/** Number of running tasks of a team. */
export interface TeamCharge {
  readonly team: string;
  readonly tasks: number;
}

export const EMPTY_LEDGER: LedgerDocument = { writeId: "", teams: [], retired: [] };

/** True if the incarnation is marked as retired. */
export function isRetired(doc: LedgerDocument, incarnation: string): boolean {
  return doc.retired.some((mark) => mark.incarnation === incarnation);
}

/** Row of an incarnation, or undefined if it has no budget. */
export function rowOf(
  doc: LedgerDocument,
  team: string,
  incarnation: string,
): BudgetRow | undefined {
  const record = doc.teams.find((budgets) => budgets.team === team);
  return record?.rows.find((row) => row.incarnation === incarnation);
}

/** Tasks that may run under a row. */
export function effectiveBudget(row: BudgetRow | undefined): number {
  if (row === undefined) return 0;
  return Math.min(row.budget, row.cap ?? row.budget);
}

/** Sum of all rows of a team. */
export function sumBudgets(rows: readonly BudgetRow[]): number {
  return rows.reduce((sum, row) => sum + row.budget, 0);
}

/**
 * Takes over a newer upper limit. If the rows no longer fit, every row of a live incarnation gets a
 * cap in proportion to its budget. All caps are set in one write, because caps that each entry
 * computed from rows it read at a different time can add up to more than the limit.
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
  const dead = new Set(retired.map((mark) => mark.incarnation));
  const basis = (row: BudgetRow): number => {
    if (dead.has(row.incarnation)) return 0;
    return lowered ? effectiveBudget(row) : row.budget;
  };
  const fixed = sumBudgets(record.rows.filter((row) => dead.has(row.incarnation)));
  const available = Math.max(0, limit - fixed);
  const sum = record.rows.reduce((total, row) => total + basis(row), 0);
  const rows = record.rows.map((row) => {
    if (dead.has(row.incarnation)) return row;
    const share = sum <= available ? basis(row) : Math.floor((basis(row) * available) / sum);
    return withCap(row, share);
  });
  return { ...next, rows };
}

/**
 * Moves the rows of one incarnation towards its wishes: lowers as asked, raises as far as the upper
 * limit allows. A newer limit in the document prevails over the wish's. Undefined if nothing
 * changes; a retired incarnation can only lower.
 */
export function adjust(
  doc: LedgerDocument,
  incarnation: string,
  wishes: readonly BudgetTarget[],
): LedgerDocument | undefined {
  const mayRaise = !isRetired(doc, incarnation);
  let next = doc;
  for (const wish of wishes) {
    const old = next.teams.find((record) => record.team === wish.team);
    const record = old ?? { team: wish.team, limit: 0, configRevision: 0, rows: [] };
    const limited = mayRaise ? applyUpperLimit(record, wish, next.retired) : record;
    const target = Math.max(wish.target, keptByLast(limited, incarnation, wish, next.retired));
    const settled = settleRow(limited, incarnation, target, mayRaise);
    const same = old?.rows === settled.rows && old.limit === settled.limit;
    if (same || (old === undefined && settled.rows.length === 0)) continue;
    next = { ...next, teams: replaceTeam(next.teams, settled) };
  }
  return next === doc ? undefined : next;
}

/** Marks an incarnation as retired and drops marks that nothing needs any more. */
export function retire(doc: LedgerDocument, mark: Tombstone): LedgerDocument | undefined {
  if (isRetired(doc, mark.incarnation)) return undefined;
  const holders = new Set(doc.teams.flatMap(({ rows }) => rows.map((row) => row.incarnation)));
  const kept = doc.retired.filter(
    (old) => holders.has(old.incarnation) || mark.at - old.at < TOMBSTONE_KEPT_MS,
  );
  return { ...doc, retired: [...kept, mark] };
}

/**
 * Lowers the rows of a retired incarnation to its tasks that still run. What is left stays charged
 * to the incarnation until a later reclaim finds that the tasks ended. It is not moved to the rows
 * of the adopters: the server's record of a task names the incarnation it was charged to first, so
 * after the adopter's own loss nobody could tell which row covers the task.
 */
export function reclaim(
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
    const settled = settleRow(record, incarnation, left, false);
    next = { ...next, teams: replaceTeam(next.teams, settled) };
  }
  return next === doc ? undefined : next;
}

/** Budget still charged to an incarnation in a shard, over all teams. */
export function budgetOf(doc: LedgerDocument, incarnation: string): number {
  return doc.teams.reduce(
    (sum, { rows }) => sum + sumBudgets(rows.filter((row) => row.incarnation === incarnation)),
    0,
  );
}

/** What the last live row with budget keeps, which is no more than it has. */
function keptByLast(
  { rows }: TeamBudgets,
  incarnation: string,
  { keepIfLast = 0 }: BudgetTarget,
  retired: readonly Tombstone[],
): number {
  const dead = new Set(retired.map((mark) => mark.incarnation));
  const live = rows.filter((row) => row.budget > 0 && !dead.has(row.incarnation));
  const own = live.find((row) => row.incarnation === incarnation);
  return live.length === 1 && own !== undefined ? Math.min(keepIfLast, own.budget) : 0;
}

function settleRow(
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
  if (next === budget && !hasNeedlessCap(record, row)) return record;
  const others = record.rows.filter((one) => one.incarnation !== incarnation);
  const own = { ...(row ?? { incarnation }), budget: next };
  const rows = next === 0 ? others : [...others, own];
  const fits = sumBudgets(rows) <= record.limit;
  return { ...record, rows: fits ? rows.map(withoutCap) : rows };
}

function hasNeedlessCap(record: TeamBudgets, row: BudgetRow | undefined): boolean {
  return row?.cap !== undefined && sumBudgets(record.rows) <= record.limit;
}

function withCap(row: BudgetRow, cap: number): BudgetRow {
  return { incarnation: row.incarnation, budget: row.budget, cap };
}

function withoutCap(row: BudgetRow): BudgetRow {
  return row.cap === undefined ? row : { incarnation: row.incarnation, budget: row.budget };
}

function replaceTeam(teams: readonly TeamBudgets[], settled: TeamBudgets): readonly TeamBudgets[] {
  // A record without rows is kept, so that an entry with an older configuration sees the limit.
  return [...teams.filter((record) => record.team !== settled.team), settled];
}
