import type { Clock } from "../../../ports/clock.ts";
import type { PlacementRecord } from "../../../protocol/job-records.ts";
import { TenureAges } from "../../../state/jobs/election/tenure-ages.ts";
import type { TenureHistory } from "../../../state/jobs/election/tenure-history.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import { leasesLapsedAt } from "../../../state/jobs/execution/server-clock.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import type { ProgressWriter } from "../records/progress-writer.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Options of {@link RecordedLeases}. */
export interface RecordedLeasesOptions {
  readonly clock: Clock;
  readonly tenure: LockTenure;
  readonly writer: ProgressWriter;
  readonly runRegistry: RunRegistry;
  /** Tenures that this process has seen. */
  readonly formerTenures: TenureHistory;
  /** Monotonic time in ms at which this scheduler took over. */
  readonly takenOverAt: number;
  /** Longest lease in ms that a backend server accepts, whatever deadline an order carries. */
  readonly maxServerLeaseMs: number;
}

/**
 * Records with the placements of listed runs how long the leases of their boots may be, and applies what
 * former schedulers recorded. Otherwise each scheduler would wait for the longest lease, counted from its
 * own takeover, before it starts the tasks of a lost server again.
 */
export class RecordedLeases {
  readonly #options: RecordedLeasesOptions;
  #formerAges = new TenureAges([], 0);
  /** Latest monotonic time in ms until which the lease of a boot with a listed run is in doubt. */
  #inDoubtUntil = 0;

  constructor(options: RecordedLeasesOptions) {
    this.#options = options;
  }

  /** True while a successor would need the age of this tenure to know when the doubt in a lease ends. */
  get inDoubt(): boolean {
    return this.#options.clock.now() <= this.#inDoubtUntil;
  }

  /** Passes the ages that earlier schedulers recorded, before any run is inherited. */
  formerAgesRead(ages: TenureAges): void {
    this.#formerAges = ages;
  }

  /**
   * Monotonic time in ms until which the boot of an inherited run may have a longer lease than former
   * schedulers granted; 0 if it has none. Known only for runs that a list of the boot has shown.
   */
  doubtedUntil({ leaseAsGranted, leaseDoubt }: PlacementRecord): number {
    if (leaseAsGranted || leaseDoubt === undefined) return 0;
    const { formerTenures, takenOverAt, maxServerLeaseMs } = this.#options;
    const { token, endsMs } = leaseDoubt;
    const firstSeenAt = formerTenures.begunBy(token) ?? Infinity;
    const recordedBegin = takenOverAt - this.#formerAges.atTakeover(token);
    const endsAt = Math.min(firstSeenAt, recordedBegin) + endsMs;
    const until = Math.min(endsAt, leasesLapsedAt(takenOverAt, maxServerLeaseMs));
    this.#inDoubtUntil = Math.max(this.#inDoubtUntil, until);
    return until;
  }

  /**
   * Tells a driver what former schedulers recorded about the lease of its boot. Called before inherited
   * runs change their phase.
   */
  applyTo(driver: ServerDriver): void {
    for (const run of this.#options.runRegistry.runsOn(driver.id)) {
      if (run.phase !== "inherited" || run.bootedAt !== driver.bootedAt) continue;
      const { placement } = run.task;
      if (placement === undefined) continue;
      if (placement.leaseAsGranted) driver.trustLease();
      else if (placement.leaseDoubt !== undefined)
        driver.leaseBounds.limitFormerOrders(run.leaseDoubtedUntil);
    }
  }

  /**
   * Records what is known about the lease of a listed run. Only a long-running task is worth a write of
   * its own; other tasks are stored with the next change of the job.
   */
  record({ task }: ActiveRun, driver: ServerDriver): void {
    const { placement } = task;
    if (placement === undefined || placement.leaseAsGranted) return;
    const known = this.#withKnownLease(placement, driver);
    if (known === undefined) return;
    task.placement = known;
    if (task.step.spec.longRunning) void this.#options.writer.save(task.job);
  }

  /** Returns the placement with more knowledge about its lease; undefined if there is no more. */
  #withKnownLease(placement: PlacementRecord, driver: ServerDriver): PlacementRecord | undefined {
    if (driver.leaseAsGranted) return { ...placement, leaseAsGranted: true };
    if (placement.leaseDoubt !== undefined) return undefined;
    const { clock, tenure } = this.#options;
    const now = clock.now();
    const doubtedUntil = driver.leaseBounds.doubtedUntil(now);
    if (doubtedUntil === undefined) return undefined;
    this.#inDoubtUntil = Math.max(this.#inDoubtUntil, doubtedUntil);
    const endsMs = Math.ceil(tenure.maxAgeMs + doubtedUntil - now);
    return { ...placement, leaseDoubt: { token: tenure.token, endsMs } };
  }
}
