import type { Clock } from "../../../ports/clock.ts";
import type { Random } from "../../../ports/random.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import { jobKey } from "../../../protocol/job-records.ts";
import {
  decideAdmission,
  type ArrivingJob,
  type RejectionReason,
} from "../../../state/jobs/admission/admission-decision.ts";
import { KnownSubmissions } from "../../../state/jobs/admission/known-submissions.ts";
import { retryAfterS } from "../../../state/jobs/admission/retry-after.ts";
import { waitAtMost } from "../../wait.ts";
import type { LoadView } from "./load-view.ts";

/** Longest time in ms that a job waits for the store to say whether it is stored already. */
const LOOKUP_TIMEOUT_MS = 250;

/**
 * A job that is not stored because it would end too late. No job is stored under its id, and this
 * instance has not submitted it lately.
 */
export interface JobRejection {
  readonly kind: "rejected";
  readonly reason: RejectionReason;
  /** Time in seconds after which the caller should submit the job again. */
  readonly retryAfterS: number;
}

/** Options of {@link JobAdmission}. */
export interface JobAdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: RecordStore;
  readonly loadView: LoadView;
}

/** Decides whether a job is stored or rejected at its arrival. */
export class JobAdmission {
  readonly #options: JobAdmissionOptions;
  readonly #known = new KnownSubmissions();

  constructor(options: JobAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Returns a rejection, or undefined if the job must be stored. From then on its id is known as
   * submitted. A job that is stored, or that this instance has submitted lately, is not rejected;
   * neither is any job while the store does not answer. A write under way at another instance is not
   * seen.
   */
  async admit(id: string, job: ArrivingJob): Promise<JobRejection | undefined> {
    const rejection = this.decide(job);
    if (rejection !== undefined && (await this.#isNew(id))) return rejection;
    this.#known.add(id, this.#options.clock.now());
    return undefined;
  }

  /** What the newest report says about a job, without a look at what is stored. */
  decide(job: ArrivingJob): JobRejection | undefined {
    const { loadView, random } = this.#options;
    const load = loadView.queue(job.queue.name);
    if (load === undefined) return undefined;
    const overload = decideAdmission(job, load, loadView.ageMs);
    if (overload === undefined) return undefined;
    const { reason } = overload;
    return { kind: "rejected", reason, retryAfterS: retryAfterS(overload, random) };
  }

  /** True if no job is stored under the id and this instance has not tried to store one lately. */
  async #isNew(id: string): Promise<boolean> {
    const { store, clock } = this.#options;
    if (this.#known.has(id)) return false;
    const found = await waitAtMost(clock, store.get(jobKey(id)), LOOKUP_TIMEOUT_MS);
    // Another call may have submitted the same id during the lookup.
    return found?.ok === true && found.val === undefined && !this.#known.has(id);
  }
}
