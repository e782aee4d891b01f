import type { Clock } from "../ports/clock.ts";

/** Abort reason. Without one, each abort would create an error with a stack trace. */
export const WAIT_ENDED = "wait ended";

/** Waits at most `ms` for a promise; undefined if it has not settled by then. */
export function waitAtMost<T>(
  clock: Clock,
  promise: Promise<T>,
  ms: number,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const timer = clock.schedule(ms, () => {
      resolve(undefined);
    });
    promise.then(
      (value) => {
        timer.cancel();
        resolve(value);
      },
      (err: unknown) => {
        timer.cancel();
        reject(err instanceof Error ? err : new Error(String(err)));
      },
    );
  });
}

/** A promise that its holder resolves. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  #resolve: (value: T) => void = ignore;

  constructor() {
    this.promise = new Promise((resolve) => (this.#resolve = resolve));
  }

  resolve(value: T): void {
    this.#resolve(value);
  }
}

function ignore(): void {
  // Replaced before the constructor of a promise returns.
}
