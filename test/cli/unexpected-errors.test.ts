import { test } from "uvu";
import * as assert from "uvu/assert";
import { handleUnexpectedErrors } from "../../src/cli/unexpected-errors.ts";

// Guards against a process that ends because of one rejection that no layer handled.
test("a rejection that nobody handles is counted and logged, and the process goes on", async () => {
  const events: string[] = [];
  const errors: unknown[] = [];
  const none = (): void => undefined;
  const error = (fields: unknown): void => {
    errors.push(fields);
  };
  const stop = handleUnexpectedErrors({ debug: none, info: none, warn: none, error }, (event) =>
    events.push(event),
  );
  const err = new Error("not handled");
  void Promise.reject(err);
  await new Promise((resolve) => setTimeout(resolve, 10));
  stop();
  assert.equal(events, ["unexpected_error"]);
  assert.equal(errors, [{ err }]);
});

test.run();
