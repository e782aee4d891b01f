/** Handles the peer requests about leases, budgets and hash slots. */
import type { Hello, PeerReply, PeerRequest } from "../protocol/peer-messages.ts";
import type { TaskCharges } from "../state/task-charges.ts";
import type { BudgetKeeper } from "./budget-keeper.ts";
import type { FencingProver } from "./fencing-prover.ts";
import type { SlotOwnership } from "./slot-ownership.ts";
import type { LeaseKeeper } from "./lease-keeper.ts";

/** Options of {@link LimitsPeerHandler}. */
export interface LimitsPeerHandlerOptions {
  readonly leases: LeaseKeeper;
  readonly budgets: BudgetKeeper;
  readonly charges: TaskCharges;
  readonly slotOwnership: SlotOwnership;
  readonly prover: FencingProver;
}

/** Dispatches each peer request to the component that handles it. */
export class LimitsPeerHandler {
  readonly #options: LimitsPeerHandlerOptions;

  constructor(options: LimitsPeerHandlerOptions) {
    this.#options = options;
  }

  /** Returns undefined for requests that other handlers serve. */
  async handlePeer(from: Hello, req: PeerRequest): Promise<PeerReply | undefined> {
    const { leases, budgets, charges, slotOwnership, prover } = this.#options;
    switch (req.type) {
      case "task-status":
        return leases.handleTaskStatus(req);
      case "budget-request":
        return budgets.handleBudgetRequest(req);
      case "charge-release":
        for (const task of req.tasks) charges.endCharge(task);
        return { type: "ack", accepted: true };
      case "lease-report":
        return prover.report(from, req);
      case "slot-transfer":
        return slotOwnership.handleSlotTransfer(req);
      default:
        return undefined;
    }
  }
}
