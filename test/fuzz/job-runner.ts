import type { Payload, TaskResult, TaskSpec } from "../../src/ports/backend-server.ts";
import { TaskRunner } from "../../src/stand-ins/simulated-backend-server.ts";

/** Job described by the body of a simulated request. */
export interface Job {
  /** Identifies the caller's request, independently of the request id that the product assigns. */
  readonly nonce: string;
  readonly runMs: number;
  /** The job fails on every server. */
  readonly bad: boolean;
}

/** Encodes a job as the body of a request. */
export function jobPayload(job: Job): Payload {
  return { contentType: "application/json", body: Buffer.from(JSON.stringify(job)) };
}

/** Decodes the job from the payload of a task. */
export function jobOf(spec: TaskSpec): Job {
  return JSON.parse(Buffer.from(spec.payload.body).toString("utf8")) as Job;
}

/**
 * The complete answer to a job. It contains the nonce and the request id, so that an answer to
 * another request is detected.
 */
export function expectedAnswer(nonce: string, requestId: string): string {
  return JSON.stringify({ nonce, requestId, end: "x".repeat(200) });
}

/** Options of {@link JobRunner}. */
export interface JobRunnerOptions {
  /** Whether the server currently fails every task. */
  readonly failing: () => boolean;
}

/** Runs simulated jobs: their run time and outcome follow from the job and the server's state. */
export class JobRunner extends TaskRunner {
  readonly #failing: () => boolean;

  constructor({ failing }: JobRunnerOptions) {
    super();
    this.#failing = failing;
  }

  run(spec: TaskSpec): { readonly runMs: number; readonly result: TaskResult } {
    const job = jobOf(spec);
    if (this.#failing()) return { runMs: 5, result: { kind: "failure", reason: "server fault" } };
    if (job.bad) return { runMs: job.runMs, result: { kind: "failure", reason: "job fault" } };
    const body = Buffer.from(expectedAnswer(job.nonce, spec.requestId));
    const payload = { contentType: "application/json", body };
    return { runMs: job.runMs, result: { kind: "answer", payload } };
  }
}
