import type { Clock } from "../../../ports/clock.ts";
import type { JobQueueConfig } from "../../../protocol/fleet-config.ts";
import { decodeJob, encodeJob, type SessionRecord } from "../../../protocol/job-records.ts";
import type { JobRequest } from "../../../protocol/job-spec.ts";
import {
  decodeExplanation,
  encodeExplanation,
  type PlacementAnswer,
} from "../../../protocol/placement-answers.ts";
import type { JobAdmission } from "../admission/job-admission.ts";
import { MAX_REPORT_AGE_MS, type LoadView } from "../admission/load-view.ts";
import type { FleetConfigView } from "../config-view.ts";
import { explainPlacement } from "./placement-explainer.ts";
import type { PlacementQuestions } from "./placement-questions.ts";
import type { Scheduler } from "./scheduler.ts";

/** Options of {@link PlacementAnswers}. */
export interface PlacementAnswersOptions {
  readonly clock: Clock;
  /** Name of this entry instance. */
  readonly name: string;
  readonly config: FleetConfigView;
  readonly loadView: LoadView;
  readonly admission: JobAdmission;
  readonly questions: PlacementQuestions;
  /** Set while this entry instance is the scheduler. */
  readonly scheduler: () => Scheduler | undefined;
  /** Session of the instance that holds the lock. */
  readonly schedulerSession: () => SessionRecord | undefined;
}

/**
 * Answers where a job would go if it were submitted now. Nothing is stored or counted as demand. What
 * only the scheduler knows is asked of it, if it is another instance.
 */
export class PlacementAnswers {
  readonly #options: PlacementAnswersOptions;

  constructor(options: PlacementAnswersOptions) {
    this.#options = options;
  }

  /** The scheduler's part of the answer for an encoded job; empty if another instance schedules. */
  explain(job: Uint8Array): Uint8Array {
    const spec = decodeJob(job);
    const scheduler = this.#options.scheduler();
    if (spec === undefined || scheduler?.ready !== true) return new Uint8Array();
    return encodeExplanation(explainPlacement(spec, { ...this.#options, scheduler }));
  }

  /** Answers for a job of a queue. Without an answer of the scheduler, `placement` is undefined. */
  async where(
    req: JobRequest,
    queue: JobQueueConfig,
    organisation: string | undefined,
  ): Promise<PlacementAnswer> {
    const { clock, name, config, loadView, admission, schedulerSession } = this.#options;
    const { name: queueName, pool, priority } = queue;
    const askedAt = clock.now();
    const target = { id: "where", queue: queueName, pool, acceptedAtMs: clock.wallTime() };
    // The text of the job does not matter for its placement.
    const explanation = await this.#ask(encodeJob({ ...req, ...target, spec: "", organisation }));
    const placement = explanation && decodeExplanation(explanation);
    const session = schedulerSession();
    const { ageMs } = loadView;
    return {
      ...{ answeredBy: name, queue: queueName, pool, priority, organisation },
      config: { version: config.current?.version ?? 0, ageMs: config.ageMs },
      scheduler: session && { name: session.name, address: session.peerAddress },
      load: ageMs > MAX_REPORT_AGE_MS ? undefined : { ageMs, queue: loadView.queue(queueName) },
      rejection: admission.decide({ req, queue, organisation }),
      placement: placement && { ...placement, ageMs: clock.now() - askedAt },
    };
  }

  async #ask(job: Uint8Array): Promise<Uint8Array | undefined> {
    const { scheduler, schedulerSession, questions } = this.#options;
    if (scheduler() !== undefined) return this.explain(job);
    const session = schedulerSession();
    return session === undefined ? undefined : questions.ask(session.peerAddress, job);
  }
}
