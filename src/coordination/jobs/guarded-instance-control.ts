import PQueue from "p-queue";
import { Err, type Result } from "ts-results";
import {
  InstanceControl,
  type ControlError,
  type ControlledInstance,
  type ControlOrder,
} from "../../ports/instance-control.ts";
import type { Counters } from "../ports.ts";
import type { LockTenure } from "./scheduler-lock.ts";

/** Orders under way at a time; not more than there are connections, where they would wait unseen. */
const MAX_ORDERS = 4;

/** Options of {@link GuardedInstanceControl}. */
export interface GuardedInstanceControlOptions {
  readonly instances: InstanceControl;
  readonly tenure: LockTenure;
  readonly counters: Counters;
}

/**
 * Control of instances during one tenure. Orders wait here, and the lock is looked at again right
 * before each is sent: a wave gives dozens in one moment, and while the platform is slow the last of
 * them would otherwise be sent after another instance has taken over.
 */
export class GuardedInstanceControl extends InstanceControl {
  readonly #options: GuardedInstanceControlOptions;
  readonly #queue = new PQueue({ concurrency: MAX_ORDERS });

  constructor(options: GuardedInstanceControlOptions) {
    super();
    this.#options = options;
  }

  list(): Promise<Result<readonly ControlledInstance[], ControlError>> {
    return this.#options.instances.list();
  }

  move(order: ControlOrder, pool: string): Promise<Result<void, ControlError>> {
    return this.#order(() => this.#options.instances.move(order, pool));
  }

  maintain(order: ControlOrder, wave: number): Promise<Result<void, ControlError>> {
    return this.#order(() => this.#options.instances.maintain(order, wave));
  }

  #order(send: () => Promise<Result<void, ControlError>>): Promise<Result<void, ControlError>> {
    return this.#queue.add(async () => {
      const { tenure, counters } = this.#options;
      if (tenure.valid) return send();
      counters.event("instance_order_without_lock");
      return Err<ControlError>({ kind: "unavailable", detail: "the lock may have ended" });
    });
  }
}
