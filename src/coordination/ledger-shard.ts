/** This entry's view of one ledger shard and its own rows in it. */
import { Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import {
  LedgerDocumentSchema,
  ledgerKey,
  type LedgerDocument,
} from "../protocol/ledger-document.ts";
import {
  adjustBudgets,
  effectiveBudget,
  EMPTY_LEDGER,
  isRetired,
  rowOf,
  applyUpperLimit,
  type BudgetTarget,
  type UpperLimit,
} from "../state/ledger.ts";
import type {
  Change,
  DocumentError,
  DocumentKind,
  DocumentStore,
  UpdateOutcome,
  Versioned,
} from "./document-store.ts";

/** Options of {@link LedgerShard}. */
export interface LedgerShardOptions {
  readonly shard: number;
  readonly incarnation: string;
  readonly store: DocumentStore;
  readonly clock: Clock;
  /** Upper limit in the current configuration; undefined without a configuration. */
  readonly limitOf: (team: string) => UpperLimit | undefined;
}

/** Upper bound on a usable budget, kept until the write that lowers the row is resolved. */
interface Ceiling {
  readonly budget: number;
  /** Set if the outcome is unknown: the write can take effect until this revision has passed. */
  readonly pendingAt: number | undefined;
}

/** Kind of a ledger shard's document. */
export function ledgerKind(shard: number): DocumentKind<LedgerDocument> {
  return { key: ledgerKey(shard), schema: LedgerDocumentSchema };
}

/** Reads and changes one shard. Calls that write must not run concurrently. */
export class LedgerShard {
  readonly #options: LedgerShardOptions;
  readonly #kind: DocumentKind<LedgerDocument>;
  readonly #ceilings = new Map<string, Ceiling>();
  #known: Versioned<LedgerDocument> | undefined;
  #confirmedAt: number | undefined;
  /** Revision up to which a write without a reply may still take effect. */
  #unresolvedThrough: number | undefined;

  constructor(options: LedgerShardOptions) {
    this.#options = options;
    this.#kind = ledgerKind(options.shard);
  }

  get document(): LedgerDocument {
    return this.#known?.value ?? EMPTY_LEDGER;
  }

  /** Monotonic time at which the last call that returned the newest document was sent. */
  get confirmedAt(): number | undefined {
    return this.#confirmedAt;
  }

  /** True if this incarnation is marked as retired. */
  get retired(): boolean {
    return isRetired(this.document, this.#options.incarnation);
  }

  /**
   * True while a write without a reply may still take effect. A raise that takes effect late would
   * otherwise go undetected and its budget unused, because a shard in which this incarnation has no
   * rows is not read.
   */
  get hasUnresolvedWrite(): boolean {
    return this.#unresolvedThrough !== undefined;
  }

  /** Budget in this incarnation's row, whether usable or not. */
  budget(team: string): number {
    return rowOf(this.document, team, this.#options.incarnation)?.budget ?? 0;
  }

  /** Teams with a row of this incarnation. */
  teams(): readonly string[] {
    const { incarnation } = this.#options;
    return this.document.teams
      .filter(({ rows }) => rows.some((row) => row.incarnation === incarnation))
      .map(({ team }) => team);
  }

  /** Part of a team's limit that no row holds, as of the last read. */
  remaining(team: string): number {
    const record = this.document.teams.find((budgets) => budgets.team === team);
    if (record === undefined) return this.#options.limitOf(team)?.limit ?? 0;
    return record.limit - record.rows.reduce((sum, { budget }) => sum + budget, 0);
  }

  /** Number of a team's tasks that this incarnation's row allows to run, as of the last read. */
  allowance(team: string): number {
    if (this.retired) return 0;
    const record = this.document.teams.find((budgets) => budgets.team === team);
    if (record === undefined) return 0;
    const limit = this.#options.limitOf(team);
    const limited =
      limit === undefined ? record : applyUpperLimit(record, limit, this.document.retired);
    const row = limited.rows.find((one) => one.incarnation === this.#options.incarnation);
    return Math.min(effectiveBudget(row), this.#ceilings.get(team)?.budget ?? Infinity);
  }

  /** Reads the newest document. Returns false if the key-value service could not be used. */
  async read(): Promise<boolean> {
    const sentAt = this.#options.clock.now();
    const reply = await this.#options.store.read(this.#kind);
    if (!reply.ok) return false;
    this.#acceptDocument(reply.val, sentAt);
    return true;
  }

  /**
   * Moves this incarnation's rows towards the targets. Released budget is unusable from this call
   * on.
   */
  async adjust(
    targets: readonly BudgetTarget[],
  ): Promise<Result<UpdateOutcome<LedgerDocument>, DocumentError>> {
    for (const { team, target } of targets) {
      if (target < this.budget(team)) this.#lowerCeiling(team, target);
    }
    const { incarnation } = this.#options;
    const result = await this.update((current, writeId) => {
      const next = adjustBudgets(current ?? EMPTY_LEDGER, incarnation, targets);
      return next && { ...next, writeId };
    });
    this.#settleCeilings(targets, result);
    return result;
  }

  /** Applies any other change to the shard. */
  async update(
    change: Change<LedgerDocument>,
  ): Promise<Result<UpdateOutcome<LedgerDocument>, DocumentError>> {
    const sentAt = this.#options.clock.now();
    const from = this.#known;
    const result = await this.#options.store.update(this.#kind, change, { from });
    if (!result.ok) {
      if (result.val.kind === "ambiguous") this.#recordUnresolvedWrite(result.val.expectedRevision);
      return result;
    }
    const { written, current } = result.val;
    const contacted = written || from === undefined || current?.revision !== from.revision;
    if (contacted) this.#acceptDocument(current, sentAt);
    return Ok(result.val);
  }

  #acceptDocument(next: Versioned<LedgerDocument> | undefined, sentAt: number): void {
    const revision = next?.revision ?? 0;
    // A reply that arrives out of order could show budget that was released since.
    if (revision < (this.#known?.revision ?? 0)) return;
    this.#known = next;
    if (revision > (this.#unresolvedThrough ?? Infinity)) this.#unresolvedThrough = undefined;
    this.#confirmedAt = Math.max(this.#confirmedAt ?? sentAt, sentAt);
    for (const [team, { pendingAt }] of this.#ceilings) {
      if (pendingAt !== undefined && revision > pendingAt) this.#ceilings.delete(team);
    }
  }

  #recordUnresolvedWrite(revision: number): void {
    this.#unresolvedThrough = Math.max(this.#unresolvedThrough ?? 0, revision);
  }

  #lowerCeiling(team: string, budget: number): void {
    const before = this.#ceilings.get(team);
    this.#ceilings.set(team, {
      budget: Math.min(budget, before?.budget ?? budget),
      pendingAt: before?.pendingAt,
    });
  }

  #settleCeilings(
    targets: readonly BudgetTarget[],
    result: Result<UpdateOutcome<LedgerDocument>, DocumentError>,
  ): void {
    for (const { team } of targets) {
      const ceiling = this.#ceilings.get(team);
      if (ceiling === undefined) continue;
      const pendingAt = this.#pendingRevision(ceiling, result);
      if (pendingAt === undefined) this.#ceilings.delete(team);
      else this.#ceilings.set(team, { ...ceiling, pendingAt });
    }
  }

  /**
   * Revision up to which the write of a lower budget may still take effect. Otherwise a delayed
   * write could lower the row, unnoticed by this entry, after it had resumed using all of the row.
   */
  #pendingRevision(
    { pendingAt }: Ceiling,
    result: Result<UpdateOutcome<LedgerDocument>, DocumentError>,
  ): number | undefined {
    const known = this.#known?.revision ?? 0;
    if (result.ok) return pendingAt !== undefined && known <= pendingAt ? pendingAt : undefined;
    const err = result.val;
    if (err.kind === "ambiguous") return Math.max(err.expectedRevision, pendingAt ?? 0);
    return err.kind === "malformed" ? Math.max(known, pendingAt ?? 0) : pendingAt;
  }
}
