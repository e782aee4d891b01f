import { LoadNotifier } from "../../../src/coordination/jobs/admission/load-notifier.ts";
import { PlacementQuestions } from "../../../src/coordination/jobs/scheduling/placement-questions.ts";
import type { EntryFaults } from "./entry-faults.ts";
import type { ClusterEntry } from "./job-cluster.ts";

/** Passes questions to a live entry at once. */
export class ClusterQuestions extends PlacementQuestions {
  readonly #entries: readonly ClusterEntry[];

  constructor(entries: readonly ClusterEntry[]) {
    super();
    this.#entries = entries;
  }

  ask(address: string, job: Uint8Array): Promise<Uint8Array | undefined> {
    const target = this.#entries[Number(address.slice(1))];
    return Promise.resolve(
      target?.alive === true ? target.entry.placementAnswers.explain(job) : undefined,
    );
  }
}

/** Delivers reports at once, or when a frozen sender or receiver is thawed. */
export class ClusterLoadNotifier extends LoadNotifier {
  readonly #entries: readonly ClusterEntry[];
  readonly #faults: EntryFaults;

  constructor(entries: readonly ClusterEntry[], faults: EntryFaults) {
    super();
    this.#entries = entries;
    this.#faults = faults;
  }

  async send(peerAddress: string, report: Uint8Array): Promise<void> {
    const target = this.#entries[Number(peerAddress.slice(1))];
    await this.#faults.untilRunning();
    if (target?.alive !== true) return;
    await target.faults.untilRunning();
    target.entry.loadView.receive(report);
  }
}
