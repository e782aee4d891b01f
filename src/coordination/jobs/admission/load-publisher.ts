import type { Clock } from "../../../ports/clock.ts";
import type { ControlledInstance } from "../../../ports/instance-control.ts";
import type { Log } from "../../../ports/log.ts";
import type { SessionRecord } from "../../../protocol/job-records.ts";
import { encodeLoadReport } from "../../../protocol/queue-loads.ts";
import type { FleetMember, FleetWork } from "../../../state/jobs/admission/full-size.ts";
import { worthMeasuring } from "../../../state/jobs/admission/load-gate.ts";
import {
  outstandingWork,
  type OutstandingWork,
} from "../../../state/jobs/admission/outstanding-work.ts";
import { measureQueueLoad, type MeasuredLoad } from "../../../state/jobs/admission/queue-load.ts";
import { RejectionHysteresis } from "../../../state/jobs/admission/rejection-hysteresis.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { LoadNotifier } from "./load-notifier.ts";

const PUBLISH_INTERVAL_MS = 500;

/** Options of {@link LoadPublisher}. */
export interface LoadPublisherOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly config: FleetConfigView;
  readonly scheduler: Pick<Scheduler, "ready" | "jobRegistry" | "drivers" | "durations">;
  /** Lists the instances; undefined where instances can't be controlled. */
  readonly instances: (() => Promise<readonly ControlledInstance[] | undefined>) | undefined;
  readonly notifier: LoadNotifier;
  /** Live entry instances other than this one. */
  readonly peers: () => readonly SessionRecord[];
  /** Takes over the report at this entry instance. */
  readonly receive: (report: Uint8Array) => void;
}

/**
 * Reports the load of queues near their limit to all entry instances while the tenure lasts. Nothing
 * is sent while no queue is near its limit, and nothing is measured while no step waits for long.
 */
export class LoadPublisher {
  readonly #options: LoadPublisherOptions;
  readonly #hysteresis = new RejectionHysteresis();
  #rejecting: readonly string[] = [];

  constructor(options: LoadPublisherOptions) {
    this.#options = options;
  }

  /** Measures and reports until the tenure ends. */
  async run(): Promise<void> {
    const { clock, tenure, scheduler } = this.#options;
    while (!tenure.signal.aborted) {
      await clock.sleep(PUBLISH_INTERVAL_MS, tenure.signal);
      if (tenure.valid && scheduler.ready) await this.#publish();
    }
  }

  async #publish(): Promise<void> {
    const { clock, tenure, notifier, peers, receive, log } = this.#options;
    const atMs = clock.wallTime();
    const queues = this.#hysteresis.update(await this.#measure(atMs));
    if (queues === undefined || !tenure.valid) return;
    const rejecting = queues.filter((load) => load.rejecting).map(({ queue }) => queue);
    if (rejecting.join() !== this.#rejecting.join())
      log.info({ rejecting }, "queues reject jobs that would be too late");
    this.#rejecting = rejecting;
    const report = encodeLoadReport({ token: tenure.token, atMs, queues });
    receive(report);
    for (const { peerAddress } of peers()) void notifier.send(peerAddress, report);
  }

  /** Loads of all queues with work; empty if no step waits for long or the size of the fleet is unknown. */
  async #measure(wallTimeMs: number): Promise<readonly MeasuredLoad[]> {
    const { config, scheduler } = this.#options;
    if (!this.#hysteresis.reported && !this.#stepsWait()) return [];
    const workByPool = this.#workByPool(wallTimeMs);
    const instancesMove =
      this.#options.instances !== undefined &&
      config.current?.pools.some(({ spare }) => spare) === true;
    const members = instancesMove ? await this.#instances() : this.#servers();
    if (members === undefined) return [];
    const fleet: FleetWork = { members, instancesMove, workByPool };
    const { durations } = scheduler;
    const weight = (name: string): number => config.organisation(name)?.weight ?? 1;
    return (config.current?.queues ?? []).flatMap(
      (queue) => measureQueueLoad({ queue, fleet, durations, weight, wallTimeMs }) ?? [],
    );
  }

  #stepsWait(): boolean {
    const { clock, config, scheduler } = this.#options;
    const { openJobs } = scheduler.jobRegistry;
    return worthMeasuring(openJobs, ({ spec }) => config.queueOf(spec), clock.now());
  }

  #workByPool(wallTimeMs: number): ReadonlyMap<string, readonly OutstandingWork[]> {
    const { config, scheduler } = this.#options;
    const pools = new Map<string, OutstandingWork[]>();
    for (const job of scheduler.jobRegistry.openJobs) {
      const queue = config.queueOf(job.spec);
      if (queue === undefined) continue;
      const work = outstandingWork(job, queue, wallTimeMs, scheduler.durations);
      if (work === undefined) continue;
      const pool = pools.get(queue.pool);
      if (pool === undefined) pools.set(queue.pool, [work]);
      else pool.push(work);
    }
    return pools;
  }

  #servers(): readonly FleetMember[] {
    return [...this.#options.scheduler.drivers.all()]
      .filter(({ absent }) => !absent)
      .map(({ registration }) => registration);
  }

  async #instances(): Promise<readonly FleetMember[] | undefined> {
    const listed = await this.#options.instances?.();
    return listed?.filter(({ state }) => state !== "down");
  }
}
