import PQueue from "p-queue";
import { Err, type Result } from "ts-results";
import {
  InstanceControl,
  type ControlError,
  type ControlledInstance,
  type ControlOrder,
} from "../../../ports/instance-control.ts";
import type { Counters } from "../../ports.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";

/**
 * At most the number of connections to the platform. A further order would wait for a connection
 * after its lock check, and could be sent after the lock has expired.
 */
const MAX_CONCURRENT_ORDERS = 4;

/** Options of {@link GuardedInstanceControl}. */
export interface GuardedInstanceControlOptions {
  readonly instances: InstanceControl;
  readonly tenure: LockTenure;
  readonly counters: Counters;
}

/**
 * Sends instance orders during one tenure. Queues them and checks the lock again right before each
 * is sent. A maintenance wave issues dozens of orders at once; if the platform is slow, the last of
 * them would otherwise be sent after another entry instance has taken over.
 */
export class GuardedInstanceControl extends InstanceControl {
  readonly #options: GuardedInstanceControlOptions;
  readonly #queue = new PQueue({ concurrency: MAX_CONCURRENT_ORDERS });

  constructor(options: GuardedInstanceControlOptions) {
    super();
    this.#options = options;
  }

  list(): Promise<Result<readonly ControlledInstance[], ControlError>> {
    return this.#options.instances.list();
  }

  move(order: ControlOrder, pool: string): Promise<Result<void, ControlError>> {
    return this.#sendWhileLocked(() => this.#options.instances.move(order, pool));
  }

  maintain(order: ControlOrder, wave: number): Promise<Result<void, ControlError>> {
    return this.#sendWhileLocked(() => this.#options.instances.maintain(order, wave));
  }

  #sendWhileLocked(
    send: () => Promise<Result<void, ControlError>>,
  ): Promise<Result<void, ControlError>> {
    return this.#queue.add(async () => {
      const { tenure, counters } = this.#options;
      if (tenure.valid) return send();
      counters.event("instance_order_without_lock");
      return Err<ControlError>({
        kind: "unavailable",
        detail: "the scheduler lock may have expired",
      });
    });
  }
}
