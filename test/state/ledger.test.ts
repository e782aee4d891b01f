import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LedgerDocument } from "../../src/protocol/ledger-document.ts";
import {
  adjustBudgets,
  effectiveBudget,
  EMPTY_LEDGER,
  reclaimUnusedBudget,
  addTombstone,
  rowOf,
} from "../../src/state/ledger.ts";

interface TargetOptions {
  readonly target: number;
  readonly limit?: number;
  readonly configRevision?: number;
  readonly keepIfLast?: number;
}

function withTarget(
  doc: LedgerDocument,
  incarnation: string,
  { target, limit = 10, configRevision = 1, keepIfLast = 0 }: TargetOptions,
): LedgerDocument {
  const budgetTarget = { team: "t", target, limit, configRevision, keepIfLast };
  return adjustBudgets(doc, incarnation, [budgetTarget]) ?? doc;
}

function budget(doc: LedgerDocument, incarnation: string): number {
  return rowOf(doc, "t", incarnation)?.budget ?? 0;
}

function usable(doc: LedgerDocument, incarnation: string): number {
  return effectiveBudget(rowOf(doc, "t", incarnation));
}

const tombstone = { incarnation: "a", zone: "z", at: 1 };

// Guards against a sum of budgets above the team's upper limit.
test("a raise takes at most what the other rows leave of the upper limit", () => {
  const doc = withTarget(withTarget(EMPTY_LEDGER, "a", { target: 7 }), "b", { target: 7 });
  assert.equal([budget(doc, "a"), budget(doc, "b")], [7, 3]);
});

// Guards against an idle team that loses all budget and cannot raise it during a platform outage.
test("the last live row keeps the requested minimum, and is not raised to it", () => {
  const keep = { target: 0, keepIfLast: 2 };
  let doc = withTarget(withTarget(EMPTY_LEDGER, "a", { target: 3 }), "b", { target: 3 });
  doc = withTarget(doc, "a", keep);
  assert.equal([budget(doc, "a"), budget(doc, "b")], [0, 3]);
  doc = withTarget(doc, "b", keep);
  assert.is(budget(doc, "b"), 2);
  doc = withTarget(withTarget(doc, "b", { target: 1 }), "b", keep);
  assert.is(budget(doc, "b"), 1);
  doc = withTarget(addTombstone(doc, { ...tombstone, incarnation: "b" }) ?? doc, "a", {
    target: 3,
  });
  assert.is(budget(withTarget(doc, "a", keep), "a"), 2);
  assert.is(budget(withTarget(doc, "a", { target: 0 }), "a"), 0);
});

// Guards against caps that add up to more than the lowered limit once one row was lowered: from
// rows 50 and 50 and a limit of 10, the first would lower to 5 and the second compute 50 * 10 / 55.
test("caps after a lowered limit are set for all rows at once", () => {
  let doc = withTarget(EMPTY_LEDGER, "a", { target: 50, limit: 100 });
  doc = withTarget(doc, "b", { target: 50, limit: 100 });
  doc = withTarget(doc, "a", { target: 5, limit: 10, configRevision: 2 });
  doc = withTarget(doc, "b", { target: 50, limit: 10, configRevision: 2 });
  assert.equal([usable(doc, "a"), usable(doc, "b")], [5, 5]);
  doc = withTarget(doc, "b", { target: 5, limit: 10, configRevision: 2 });
  assert.is(rowOf(doc, "t", "b")?.cap, undefined);
});

// Guards against an entry instance with an older configuration that raises its budget to the former
// limit.
test("a newer limit in the document takes precedence, even when no row is left", () => {
  let doc = withTarget(EMPTY_LEDGER, "a", { target: 9, limit: 9 });
  doc = withTarget(doc, "a", { target: 0, limit: 2, configRevision: 5 });
  doc = withTarget(doc, "b", { target: 9, limit: 9, configRevision: 4 });
  assert.is(budget(doc, "b"), 2);
});

// Guards against a lost entry instance that raises its budget after it was marked as retired.
test("a retired incarnation can lower its budget but not raise it", () => {
  const doc = addTombstone(withTarget(EMPTY_LEDGER, "a", { target: 4 }), tombstone)!;
  assert.is(budget(withTarget(doc, "a", { target: 8 }), "a"), 4);
  assert.is(budget(withTarget(doc, "a", { target: 1 }), "a"), 1);
});

// Guards against reassigning the budget of running tasks, and against a reclaim without a
// tombstone.
test("a reclaim leaves what still runs charged to the lost incarnation", () => {
  const doc = withTarget(EMPTY_LEDGER, "a", { target: 8 });
  assert.is(reclaimUnusedBudget(doc, "a", []), undefined);
  const marked = addTombstone(doc, tombstone)!;
  const first = reclaimUnusedBudget(marked, "a", [
    { team: "t", tasks: 1 },
    { team: "t", tasks: 2 },
  ])!;
  assert.is(budget(first, "a"), 3);
  assert.is(budget(withTarget(first, "b", { target: 10 }), "b"), 7);
  assert.is(budget(reclaimUnusedBudget(first, "a", [])!, "a"), 0);
});

test.run();
