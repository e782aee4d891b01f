import type { Payload, TaskResult, TaskSpec } from "../../src/ports/backend-server.ts";
import { TaskRunner } from "../../src/stand-ins/simulated-backend-server.ts";

/** What the body of a simulated request asks for. */
export interface Job {
  /** Identifies the caller's request, whatever id the product gives it. */
  readonly nonce: string;
  readonly runMs: number;
  /** The job fails on every server. */
  readonly bad: boolean;
}

/** The body of a request. */
export function jobPayload(job: Job): Payload {
  return { contentType: "application/json", body: Buffer.from(JSON.stringify(job)) };
}

/** The job that a task was asked to run. */
export function jobOf(spec: TaskSpec): Job {
  return JSON.parse(Buffer.from(spec.payload.body).toString("utf8")) as Job;
}

/** The whole answer to a job. It names the request, so that an answer to another one is seen. */
export function expectedAnswer(nonce: string, requestId: string): string {
  return JSON.stringify({ nonce, requestId, end: "x".repeat(200) });
}

/** Options of {@link JobRunner}. */
export interface JobRunnerOptions {
  /** Whether the server fails every task now. */
  readonly failing: () => boolean;
}

/** Runs simulated jobs. */
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
