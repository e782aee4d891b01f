import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LedgerDocument } from "../../src/protocol/ledger-document.ts";
import {
  adjust,
  effectiveBudget,
  EMPTY_LEDGER,
  reclaim,
  retire,
  rowOf,
} from "../../src/state/ledger.ts";

interface Wish {
  readonly target: number;
  readonly limit?: number;
  readonly configRevision?: number;
  readonly keepIfLast?: number;
}

function wishOf(
  doc: LedgerDocument,
  incarnation: string,
  { target, limit = 10, configRevision = 1, keepIfLast = 0 }: Wish,
): LedgerDocument {
  const wish = { team: "t", target, limit, configRevision, keepIfLast };
  return adjust(doc, incarnation, [wish]) ?? doc;
}

function budget(doc: LedgerDocument, incarnation: string): number {
  return rowOf(doc, "t", incarnation)?.budget ?? 0;
}

function usable(doc: LedgerDocument, incarnation: string): number {
  return effectiveBudget(rowOf(doc, "t", incarnation));
}

const mark = { incarnation: "a", zone: "z", at: 1 };

// Guards against a raise beyond what the other rows leave.
test("a raise takes at most the remainder", () => {
  const doc = wishOf(wishOf(EMPTY_LEDGER, "a", { target: 7 }), "b", { target: 7 });
  assert.equal([budget(doc, "a"), budget(doc, "b")], [7, 3]);
});

// Guards against an idle team without any budget, which cannot be raised in a platform outage.
test("the last live row keeps what it is asked to, and is not raised for that", () => {
  const keep = { target: 0, keepIfLast: 2 };
  let doc = wishOf(wishOf(EMPTY_LEDGER, "a", { target: 3 }), "b", { target: 3 });
  doc = wishOf(doc, "a", keep);
  assert.equal([budget(doc, "a"), budget(doc, "b")], [0, 3]);
  doc = wishOf(doc, "b", keep);
  assert.is(budget(doc, "b"), 2);
  doc = wishOf(wishOf(doc, "b", { target: 1 }), "b", keep);
  assert.is(budget(doc, "b"), 1);
  doc = wishOf(retire(doc, { ...mark, incarnation: "b" }) ?? doc, "a", { target: 3 });
  assert.is(budget(wishOf(doc, "a", keep), "a"), 2);
  assert.is(budget(wishOf(doc, "a", { target: 0 }), "a"), 0);
});

// Guards against caps that add up to more than the lowered limit once one row was lowered: from
// rows 50 and 50 and a limit of 10, the first would lower to 5 and the second compute 50 * 10 / 55.
test("caps after a lowered limit are set for all rows at once", () => {
  let doc = wishOf(EMPTY_LEDGER, "a", { target: 50, limit: 100 });
  doc = wishOf(doc, "b", { target: 50, limit: 100 });
  doc = wishOf(doc, "a", { target: 5, limit: 10, configRevision: 2 });
  doc = wishOf(doc, "b", { target: 50, limit: 10, configRevision: 2 });
  assert.equal([usable(doc, "a"), usable(doc, "b")], [5, 5]);
  doc = wishOf(doc, "b", { target: 5, limit: 10, configRevision: 2 });
  assert.is(rowOf(doc, "t", "b")?.cap, undefined);
});

// Guards against an entry with an older configuration that raises to the former limit.
test("a newer limit in the document prevails, also when no row is left", () => {
  let doc = wishOf(EMPTY_LEDGER, "a", { target: 9, limit: 9 });
  doc = wishOf(doc, "a", { target: 0, limit: 2, configRevision: 5 });
  doc = wishOf(doc, "b", { target: 9, limit: 9, configRevision: 4 });
  assert.is(budget(doc, "b"), 2);
});

// Guards against a lost entry that raises its budget after it was marked.
test("a retired incarnation can only lower", () => {
  const doc = retire(wishOf(EMPTY_LEDGER, "a", { target: 4 }), mark)!;
  assert.is(budget(wishOf(doc, "a", { target: 8 }), "a"), 4);
  assert.is(budget(wishOf(doc, "a", { target: 1 }), "a"), 1);
});

// Guards against budget of tasks that still run being given to others, and against reclaim without
// a mark.
test("a reclaim leaves what still runs charged to the lost incarnation", () => {
  const doc = wishOf(EMPTY_LEDGER, "a", { target: 8 });
  assert.is(reclaim(doc, "a", []), undefined);
  const marked = retire(doc, mark)!;
  const first = reclaim(marked, "a", [
    { team: "t", tasks: 1 },
    { team: "t", tasks: 2 },
  ])!;
  assert.is(budget(first, "a"), 3);
  assert.is(budget(wishOf(first, "b", { target: 10 }), "b"), 7);
  assert.is(budget(reclaim(first, "a", [])!, "a"), 0);
});

test.run();
