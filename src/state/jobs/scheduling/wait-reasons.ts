import type { StepRun } from "../records/job.ts";

/** Why a step with waiting tasks was not placed. */
export type WaitReason =
  /** No server of the pool has room for a task. */
  | "no-room"
  /** A server that may take a task of the step has not answered its first poll yet. */
  | "first-poll"
  /** No further start orders may be sent at the moment. */
  | "no-starts"
  /** The work is beyond the share of its organisation, and the pool is short of capacity. */
  | "share"
  /** The cap of the organisation is reached. */
  | "cap"
  /** Failed or refused tasks pause, or retries of the queue wait for first attempts. */
  | "retry-pause";

/** The reason of each waiting step. Reports a reason when it is new to the step. */
export class WaitReasons {
  readonly #reasons = new WeakMap<StepRun, WaitReason>();
  readonly #onNewReason: (reason: WaitReason) => void;

  constructor(onNewReason: (reason: WaitReason) => void) {
    this.#onNewReason = onNewReason;
  }

  /** Returns why a step waits; undefined if it does not wait or was not examined yet. */
  reason(step: StepRun): WaitReason | undefined {
    return this.#reasons.get(step);
  }

  /** Records why a step waits after a placement round. */
  waits(step: StepRun, reason: WaitReason): void {
    if (this.#reasons.get(step) === reason) return;
    this.#reasons.set(step, reason);
    this.#onNewReason(reason);
  }

  /** Records that all tasks of a step were placed. */
  placed(step: StepRun): void {
    this.#reasons.delete(step);
  }
}
