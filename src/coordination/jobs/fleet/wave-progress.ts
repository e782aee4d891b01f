/** Progress of a maintenance wave, as far as the scheduler knows. */
import type { WaveRequest } from "../../../protocol/fleet-config.ts";

/** An ordered maintenance whose instance is not up again yet. */
export interface OngoingMaintenance {
  /** Server that ran on the instance when its maintenance was ordered. */
  readonly server: string | undefined;
  /** Monotonic time in ms at which the platform accepted the order; undefined before that. */
  acceptedAt: number | undefined;
  /** True once an instance list has shown that the server is gone. */
  tookEffect: boolean;
}

/** A reservation of an instance for its maintenance. */
export interface MaintenanceReservation {
  /** Monotonic time in ms. */
  readonly since: number;
  /** Backend server that ran on the instance; undefined if none did. */
  readonly server: string | undefined;
  /** Monotonic time in ms since which tasks can't leave for lack of room; undefined if they can. */
  noRoomSince: number | undefined;
  /** True if an order got no reply, so that it may still be carried out. */
  orderUnanswered: boolean;
}

/** Progress of one wave. */
export interface WaveProgress {
  readonly request: WaveRequest;
  /** Instances that need no further order: it was accepted, or rejected for good. */
  readonly done: Set<string>;
  readonly ongoing: Map<string, OngoingMaintenance>;
  /** Reservations by instance. */
  readonly reservations: Map<string, MaintenanceReservation>;
  /** Monotonic time in ms from which a postponed instance may be reserved again, by instance. */
  readonly postponedUntil: Map<string, number>;
  /** Number of consecutive lists without each instance. */
  readonly missing: Map<string, number>;
  reported: "nothing" | "running" | "completed";
}
