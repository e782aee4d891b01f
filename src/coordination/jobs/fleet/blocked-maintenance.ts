import type { Log } from "../../../ports/log.ts";
import type { Task } from "../../../state/jobs/records/job.ts";
import type { Counters } from "../../ports.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import { InstanceEvacuator, type InstanceEvacuatorOptions } from "./instance-evacuator.ts";
import type { MaintenanceReservation, WaveProgress } from "./wave-progress.ts";

/** Time in ms in which an instance of another pool takes the place of one that drains for maintenance. */
const SUBSTITUTE_WAIT_MS = 5000;
/** Pause in ms before a postponed instance is reserved again. */
const POSTPONED_MS = 5000;

/** Why the maintenance of a reserved instance is postponed. */
type PostponementReason =
  /** No other server has room for its long-running tasks. */
  | "no_room"
  /** A long-running task waits that could run on it. */
  | "task_waits";

/** Options of {@link BlockedMaintenance}. */
export interface BlockedMaintenanceOptions extends InstanceEvacuatorOptions {
  readonly log: Log;
  readonly counters: Counters;
}

/**
 * Handles reserved instances whose maintenance can't begin, because availability budgets do not allow all
 * their tasks to end at once: their tasks leave one by one, or the maintenance is postponed.
 */
export class BlockedMaintenance {
  readonly #options: BlockedMaintenanceOptions;
  readonly #evacuator: InstanceEvacuator;

  constructor(options: BlockedMaintenanceOptions) {
    this.#options = options;
    this.#evacuator = new InstanceEvacuator(options);
  }

  /** Moves long-running tasks away one by one while other servers have room for them. */
  evacuate(driver: ServerDriver, reservation: MaintenanceReservation): void {
    const result = this.#evacuator.evacuate(driver);
    if (result === "in-progress") reservation.noRoomSince = undefined;
    else reservation.noRoomSince ??= this.#options.clock.now();
  }

  /**
   * Lets instances of a wave take tasks again whose own tasks have nowhere to go, and those that a waiting
   * task needs. Their maintenance is tried again later.
   */
  postpone(wave: WaveProgress): void {
    if (wave.reservations.size === 0) return;
    const overdue = this.#evacuator.overdueTasks();
    for (const [name, reservation] of [...wave.reservations]) {
      // An order that may still be carried out would end new tasks.
      if (reservation.orderUnanswered) continue;
      const reason = this.#reasonToPostpone(reservation, overdue);
      if (reason !== undefined) this.#postponeInstance(wave, name, reason);
    }
  }

  #reasonToPostpone(
    { server, noRoomSince = Infinity }: MaintenanceReservation,
    overdue: readonly Task[],
  ): PostponementReason | undefined {
    const { clock, config, scheduler } = this.#options;
    // Without a spare pool no instance changes its pool.
    const waitMs = config.sparePool === undefined ? 0 : SUBSTITUTE_WAIT_MS;
    if (clock.now() - noRoomSince >= waitMs) return "no_room";
    const driver = server === undefined ? undefined : scheduler.drivers.get(server);
    if (driver !== undefined && this.#evacuator.isNeeded(driver, overdue)) return "task_waits";
    return undefined;
  }

  #postponeInstance(wave: WaveProgress, name: string, reason: PostponementReason): void {
    const { clock, log, counters, scheduler } = this.#options;
    const { server } = wave.reservations.get(name) ?? {};
    log.info({ wave: wave.request.wave, instance: name, reason }, "maintenance postponed");
    counters.event(`maintenance_postponed_${reason}`);
    wave.reservations.delete(name);
    wave.postponedUntil.set(name, clock.now() + POSTPONED_MS);
    if (server !== undefined) scheduler.drivers.get(server)?.release("maintenance");
  }
}
