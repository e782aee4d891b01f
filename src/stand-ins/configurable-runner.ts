import * as v from "valibot";
import type { TaskResult, TaskSpec } from "../ports/backend-server.ts";
import { TaskRunner } from "./simulated-backend-server.ts";

/** What a JSON request body may ask of the runner; other fields are ignored. */
const WishesSchema = v.object({
  runMs: v.optional(v.pipe(v.number(), v.minValue(0))),
  fail: v.optional(v.union([v.boolean(), v.string()])),
});

/** Options of {@link ConfigurableRunner}. */
export interface ConfigurableRunnerOptions {
  /** Run time in milliseconds of tasks that name none. @default 20 */
  readonly runMs?: number;
  /** Fails every task. @default false */
  readonly fail?: boolean;
}

/**
 * Answers each task with its own body. A JSON body may set the run time in milliseconds with
 * `runMs` and ask for a failure with `fail`, which is true or a reason.
 */
export class ConfigurableRunner extends TaskRunner {
  readonly #runMs: number;
  /** Fails every task while true. */
  failAll: boolean;

  constructor({ runMs = 20, fail = false }: ConfigurableRunnerOptions = {}) {
    super();
    this.#runMs = runMs;
    this.failAll = fail;
  }

  run(spec: TaskSpec): { readonly runMs: number; readonly result: TaskResult } {
    const { runMs = this.#runMs, fail = false } = wishesOf(spec);
    if (this.failAll) return { runMs, result: failure("this backend server fails every task") };
    if (fail === false) return { runMs, result: { kind: "answer", payload: spec.payload } };
    return { runMs, result: failure(fail === true ? "the task asked to fail" : fail) };
  }
}

function failure(reason: string): TaskResult {
  return { kind: "failure", reason };
}

function wishesOf({ payload }: TaskSpec): v.InferOutput<typeof WishesSchema> {
  if (!payload.contentType.startsWith("application/json")) return {};
  try {
    const parsed = v.safeParse(WishesSchema, JSON.parse(Buffer.from(payload.body).toString()));
    return parsed.success ? parsed.output : {};
  } catch {
    return {};
  }
}
