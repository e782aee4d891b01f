import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeaseBounds } from "../../../src/state/jobs/execution/lease-bounds.ts";
import { ServerClock } from "../../../src/state/jobs/execution/server-clock.ts";

const TTL_MS = 6000;
const MAX_MS = 10_000;
const TAKEN_OVER_AT = 100_000;
/** Lease times on a clock that is 2% slow. */
const TTL_LAPSED_MS = TTL_MS / 0.98;
const MAX_LAPSED_MS = MAX_MS / 0.98;

function leaseBounds(former?: LeaseBounds, serverClock = new ServerClock()): LeaseBounds {
  return new LeaseBounds({
    ...{ serverClock, former, takenOverAt: TAKEN_OVER_AT },
    ...{ leaseTtlMs: TTL_MS, maxServerLeaseMs: MAX_MS },
  });
}

interface Polled {
  readonly former?: LeaseBounds;
  /** Reading of the boot's clock at its last list. */
  readonly clockMs?: number;
  /** Time of the first list. */
  readonly adoptedAt?: number;
}

/** Bounds of a boot whose last list and last order came at `at`. */
function polledAt(at: number, { former, clockMs = 50_000, adoptedAt = at }: Polled = {}) {
  const serverClock = new ServerClock();
  const bounds = leaseBounds(former, serverClock);
  bounds.listRead(adoptedAt);
  serverClock.addReading({ clockMs, receivedAt: at });
  serverClock.issueDeadline(at, TTL_MS);
  bounds.orderSent();
  bounds.orderEnded(at);
  return bounds;
}

test("a run that the former scheduler has confirmed lapses with the leases that it granted", () => {
  const bounds = leaseBounds();
  assert.is(bounds.ownBootLapsedAt(TAKEN_OVER_AT), TAKEN_OVER_AT + TTL_LAPSED_MS);
  assert.is(bounds.anyBootLapsedAt(TAKEN_OVER_AT), TAKEN_OVER_AT + MAX_LAPSED_MS);
  assert.is(bounds.isAsGranted(TAKEN_OVER_AT + 60_000), false, "no list was read");
});

// Guards against a lease that the former scheduler's orders for an earlier boot have given to this one.
test("a boot is not trusted to have the granted lease until the longest one has passed since its first list", () => {
  const listedAt = TAKEN_OVER_AT + 500;
  const bounds = leaseBounds();
  bounds.listRead(listedAt);
  bounds.listRead(listedAt + 2000);
  assert.is(bounds.ownBootLapsedAt(listedAt), listedAt + MAX_LAPSED_MS);
  assert.is(bounds.isAsGranted(listedAt + MAX_LAPSED_MS), false);
  assert.is(bounds.isAsGranted(listedAt + MAX_LAPSED_MS + 1), true);
});

// Guards against a task that is started elsewhere while a later boot may still run it.
test("a long-known boot lapses by the deadlines on its own clock, but not for a run that a later boot may have", () => {
  const at = TAKEN_OVER_AT + 60_000;
  const bounds = polledAt(TAKEN_OVER_AT);
  bounds.orderSent();
  bounds.orderEnded(at);
  assert.is(bounds.ownBootLapsedAt(at), TAKEN_OVER_AT + MAX_LAPSED_MS);
  assert.is(bounds.anyBootLapsedAt(at), at + MAX_LAPSED_MS);
});

// Guards against a lease on the new boot that an order for the former one extends while it is under way.
test("orders for a former boot move the bounds of the later one until they have ended", () => {
  const at = TAKEN_OVER_AT + 60_000;
  const former = polledAt(at, { clockMs: 900_000 });
  former.orderSent();
  const later = polledAt(at, { former });
  const last = polledAt(at, { former: later });
  assert.is(later.ownBootLapsedAt(at + 700), at + 700 + MAX_LAPSED_MS);
  assert.is(last.ownBootLapsedAt(at + 700), at + 700 + MAX_LAPSED_MS);
  former.orderEnded(at + 900);
  const lapsedAt = at + 900 + MAX_LAPSED_MS;
  assert.is(later.ownBootLapsedAt(at + 5000), lapsedAt);
  assert.is(last.ownBootLapsedAt(at + 5000), lapsedAt);
  assert.is(last.isAsGranted(lapsedAt), false);
  assert.is(last.isAsGranted(lapsedAt + 1), true);
});

// Guards against a wait for leases that no order can have given to the boot.
test("an order for a former boot extends the lease of a later one up to its deadline at most", () => {
  const at = TAKEN_OVER_AT + 60_000;
  const deadlineMs = 48_000 + TTL_MS;
  const former = polledAt(at, { clockMs: 48_000, adoptedAt: TAKEN_OVER_AT });
  const later = polledAt(at, { former });
  assert.is(later.isAsGranted(at + (deadlineMs - 50_000) / 0.98), false);
  assert.is(later.isAsGranted(at + (deadlineMs - 50_000) / 0.98 + 1), true);
  assert.is(polledAt(at, { former, clockMs: deadlineMs }).isAsGranted(at + 1), true);
});

test("a boot whose lease the former scheduler knew to be as granted lapses by its own deadlines", () => {
  const at = TAKEN_OVER_AT + 500;
  const bounds = polledAt(at);
  bounds.recordGrantedByFormerScheduler();
  assert.is(bounds.ownBootLapsedAt(at), at + TTL_LAPSED_MS);
  assert.is(bounds.isAsGranted(at), true);
  assert.is(bounds.anyBootLapsedAt(at), at + MAX_LAPSED_MS, "a run may be on a later boot");
  const unknown = leaseBounds();
  unknown.recordGrantedByFormerScheduler();
  assert.is(unknown.anyBootLapsedAt(at), TAKEN_OVER_AT + MAX_LAPSED_MS);
});

// Guards against doubt in servers that join long after a takeover, as every moved instance does (LOST).
test("orders of former schedulers reach no boot that was adopted long after the takeover", () => {
  const at = TAKEN_OVER_AT + 30_000;
  assert.is(polledAt(at).isAsGranted(at), true);
  assert.is(polledAt(at).ownBootLapsedAt(at), at + TTL_LAPSED_MS);
});

// Guards against an order of the former scheduler that is carried out by a boot that was adopted late.
test("leases of former schedulers count from the first list, of whichever boot it is", () => {
  const listedAt = TAKEN_OVER_AT + 4000;
  const neverAdopted = leaseBounds();
  assert.is(
    polledAt(listedAt, { former: neverAdopted }).ownBootLapsedAt(listedAt),
    listedAt + MAX_LAPSED_MS,
  );
  const adopted = polledAt(TAKEN_OVER_AT + 100);
  const later = leaseBounds(adopted);
  later.listRead(listedAt);
  assert.is(later.anyBootLapsedAt(listedAt), TAKEN_OVER_AT + 100 + MAX_LAPSED_MS);
});

// Guards against a lease that counts as granted before leases have lapsed that a former scheduler doubted.
test("what a former scheduler recorded shortens the doubt in a boot, but not in a later one", () => {
  const listedAt = TAKEN_OVER_AT + 100;
  const doubtedUntil = TAKEN_OVER_AT + 7000;
  const bounds = leaseBounds();
  assert.is(bounds.doubtedUntil(listedAt), undefined, "no list was read");
  bounds.listRead(listedAt);
  assert.is(bounds.doubtedUntil(listedAt), listedAt + MAX_LAPSED_MS);
  bounds.limitFormerOrders(doubtedUntil);
  assert.is(bounds.doubtedUntil(listedAt), doubtedUntil);
  assert.is(bounds.isAsGranted(doubtedUntil), false);
  assert.is(bounds.isAsGranted(doubtedUntil + 1), true);
  assert.is(bounds.anyBootLapsedAt(listedAt), listedAt + MAX_LAPSED_MS);
});

// Guards against a bound that is recorded while an order for a former boot can still extend the lease.
test("the end of the doubt in a boot is not known while an order for a former boot is pending", () => {
  const at = TAKEN_OVER_AT + 60_000;
  const former = polledAt(at);
  former.orderSent();
  const bounds = polledAt(at + 100, { former, clockMs: 100 });
  assert.is(bounds.doubtedUntil(at + 100), undefined);
  former.orderEnded(at + 500);
  assert.is(bounds.doubtedUntil(at + 600), at + 500 + MAX_LAPSED_MS);
});

test.run();
