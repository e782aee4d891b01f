import type { Clock } from "../ports/clock.ts";

/** Abort reason. Without one, each abort would create an error with a stack trace. */
export const WAIT_ENDED = "wait ended";

/** Waits at most `ms` for a promise; undefined if it has not settled by then. */
export async function waitAtMost<T>(
  clock: Clock,
  promise: Promise<T>,
  ms: number,
): Promise<T | undefined> {
  const abort = new AbortController();
  const timeout = clock.sleep(ms, abort.signal).then(() => undefined);
  const first = await Promise.race([promise, timeout]);
  abort.abort(WAIT_ENDED);
  return first;
}

/** A promise that its holder resolves. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  #resolve: (value: T) => void = () => undefined;

  constructor() {
    this.promise = new Promise((resolve) => (this.#resolve = resolve));
  }

  resolve(value: T): void {
    this.#resolve(value);
  }
}
