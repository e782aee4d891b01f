import type { LockTenure } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import type { Log } from "../../../src/ports/log.ts";
import type { VirtualClock } from "../virtual-clock.ts";

const RENEWAL_INTERVAL_MS = 100;

/** A log that drops every line. */
export function silentLog(): Log {
  const drop = (): void => undefined;
  return { debug: drop, info: drop, warn: drop, error: drop };
}

/** Order times of instances that allow every order. */
export function unrestrictedOrders() {
  return {
    load: () => Promise.resolve(true),
    allowed: () => true,
    persist: () => Promise.resolve(true),
  };
}

/** Advances virtual time while the scheduler lock is renewed. */
export async function advanceWithLock(
  clock: VirtualClock,
  tenure: LockTenure,
  ms: number,
): Promise<void> {
  for (let waited = 0; waited < ms; waited += RENEWAL_INTERVAL_MS) {
    tenure.renewed({ now: clock.now(), wallTime: clock.wallTime() });
    await clock.advance(RENEWAL_INTERVAL_MS);
  }
}
