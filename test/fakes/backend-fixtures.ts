import type { TaskSpec } from "../../src/platform/backend-server.ts";

/** A task with a JSON body; every field can be replaced. */
export function taskSpec(changes: Partial<TaskSpec> = {}, body: unknown = {}): TaskSpec {
  return {
    requestId: "r1",
    attempt: 1,
    home: "e1",
    chargedTo: "e1",
    team: "north",
    queue: "checks",
    priority: "normal",
    idempotent: false,
    payload: { contentType: "application/json", body: Buffer.from(JSON.stringify(body)) },
    ...changes,
  };
}
