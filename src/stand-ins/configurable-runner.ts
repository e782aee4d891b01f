import * as v from "valibot";
import type { TaskResult, TaskSpec } from "../ports/backend-server.ts";
import { TaskRunner } from "./simulated-backend-server.ts";

/** Fields of a JSON request body that control the run; other fields are ignored. */
const RunOptionsSchema = v.object({
  runMs: v.optional(v.pipe(v.number(), v.minValue(0))),
  fail: v.optional(v.union([v.boolean(), v.string()])),
});

/** Options of {@link ConfigurableRunner}. */
export interface ConfigurableRunnerOptions {
  /** Run time in milliseconds of tasks that do not set one. @default 20 */
  readonly runMs?: number;
  /** Fails every task. @default false */
  readonly fail?: boolean;
}

/**
 * Returns the payload of each request as its result. A JSON body can set the run time in
 * milliseconds with `runMs` and request a failure with `fail`, which is true or a reason.
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
    const { runMs = this.#runMs, fail = false } = parseRunOptions(spec);
    if (this.failAll) return { runMs, result: failure("this backend server fails every task") };
    if (fail === false) return { runMs, result: { kind: "answer", payload: spec.payload } };
    return { runMs, result: failure(fail === true ? "the request asked for a failure" : fail) };
  }
}

function failure(reason: string): TaskResult {
  return { kind: "failure", reason };
}

function parseRunOptions({ payload }: TaskSpec): v.InferOutput<typeof RunOptionsSchema> {
  if (!payload.contentType.startsWith("application/json")) return {};
  try {
    const parsed = v.safeParse(RunOptionsSchema, JSON.parse(Buffer.from(payload.body).toString()));
    return parsed.success ? parsed.output : {};
  } catch {
    return {};
  }
}
