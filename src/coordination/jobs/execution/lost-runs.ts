import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import { leasesLapsedAt } from "../../../state/jobs/execution/server-clock.ts";
import type { Counters } from "../../ports.ts";
import type { ProgressWriter } from "../records/progress-writer.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Why a run is certainly not active any more although no list has shown its end. */
export type LossReason =
  /** Its boot of the backend server has ended. */
  | "rebooted"
  /** Its backend server was replaced. */
  | "gone"
  /** The lease of its backend server has lapsed. */
  | "lapsed";

/** Options of {@link LostRuns}. */
export interface LostRunsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly runRegistry: RunRegistry;
  readonly writer: ProgressWriter;
  readonly driver: (server: string) => ServerDriver | undefined;
  readonly leaseTtlMs: number;
  /** Longest lease in ms that a backend server accepts, whatever deadline an order carries. */
  readonly maxServerLeaseMs: number;
  /** Orders the stop of a stopping run again. */
  readonly repeatStop: (run: ActiveRun) => void;
  /** Removes a run that is certainly not active; its task is queued again. */
  readonly release: (run: ActiveRun, reason: LossReason) => void;
}

/**
 * Releases runs that have ended with the lease, the boot or the instance of their backend server, and
 * moves those that a later boot may have started.
 */
export class LostRuns {
  readonly #options: LostRunsOptions;

  constructor(options: LostRunsOptions) {
    this.#options = options;
  }

  /** Releases the runs of a backend server that was replaced, but none of a boot after the driver's. */
  serverGone(driver: ServerDriver): void {
    const runs = this.#options.runRegistry.onServer(driver.id);
    const ended = runs.filter(({ bootedAt }) => bootedAt <= driver.bootedAt);
    this.#logAndRelease(driver, ended, "gone");
  }

  /** Releases the runs of a backend server that does not respond whose leases have lapsed. */
  checkLeases(driver: ServerDriver): void {
    const { clock, runRegistry } = this.#options;
    const now = clock.now();
    const runs = runRegistry.onServer(driver.id).filter((run) => now > driver.leaseLapsedAt(run));
    this.#logAndRelease(driver, runs, "lapsed");
  }

  /**
   * Releases inherited runs, in any phase, on backend servers without a driver once their leases have
   * lapsed: for confirmed runs the granted lease, or what was recorded of a longer one, and for others the
   * longest lease. `takenOverAt`: monotonic time in ms at which this scheduler took over.
   */
  checkUnregistered(takenOverAt: number): void {
    const { clock, runRegistry, driver, leaseTtlMs, maxServerLeaseMs, release } = this.#options;
    const now = clock.now();
    if (now <= leasesLapsedAt(takenOverAt, leaseTtlMs)) return;
    const longestLapsed = now > leasesLapsedAt(takenOverAt, maxServerLeaseMs);
    for (const run of [...runRegistry.all()]) {
      if (driver(run.server) !== undefined) continue;
      const lapsed = run.confirmed ? now > run.leaseDoubtedUntil : longestLapsed;
      if (lapsed) release(run, "lapsed");
    }
  }

  /** Releases or moves all runs of a backend server of which a later boot became known. */
  releaseOrMoveAll(server: string, bootedAt: number): void {
    for (const run of this.#options.runRegistry.onServer(server)) this.releaseOrMove(run, bootedAt);
  }

  /**
   * Releases a run that ended with an earlier boot of its backend server. A run that the later boot may
   * have started in its place is kept as a run on that boot, until a list of that boot shows whether it did.
   */
  releaseOrMove(run: ActiveRun, bootedAt: number): void {
    if (run.bootedAt >= bootedAt) return;
    // The order of a run whose placement is being recorded was not sent.
    if (run.confirmed || run.phase === "recording") this.#options.release(run, "rebooted");
    else this.#moveToBoot(run, bootedAt);
  }

  #logAndRelease(driver: ServerDriver, runs: readonly ActiveRun[], reason: LossReason): void {
    if (runs.length === 0) return;
    const confirmed = runs.filter((run) => run.confirmed).length;
    const fields = { server: driver.id, reason, runs: runs.length, confirmed };
    this.#options.log.warn({ ...fields, ...driver.leaseFields }, "runs are gone");
    for (const run of runs) this.#options.release(run, reason);
  }

  /** Continues a run on a later boot of its backend server, which may have started it. */
  #moveToBoot(run: ActiveRun, bootedAt: number): void {
    const { clock, log, counters, writer, repeatStop } = this.#options;
    const { task, server, phase } = run;
    const fields = { task: task.name, run: run.run, server, phase };
    log.info(fields, "run may have been started by a later boot");
    counters.event("run_in_doubt_after_reboot");
    run.bootedAt = bootedAt;
    run.since = clock.now();
    task.placement = { server, bootedAt, leaseAsGranted: false };
    if (phase === "stopping") repeatStop(run);
    void writer.save(task.job);
  }
}
