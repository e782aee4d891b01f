/** Writes what was sent, answered and run to the record of a case. */
import { appendFileSync, writeFileSync } from "node:fs";

/** The record file of a case; each line begins with the seconds since the start. */
export class CaseRecord {
  readonly #file: string;
  readonly #startedAt = performance.now();

  constructor(file: string) {
    this.#file = file;
    writeFileSync(file, "");
  }

  line(text: string): void {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    appendFileSync(this.#file, `${seconds.padStart(8)} ${text}\n`);
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until the condition holds; false if it does not within `timeoutMs`. */
export async function waitUntil(holds: () => boolean, timeoutMs: number): Promise<boolean> {
  const until = performance.now() + timeoutMs;
  while (!holds()) {
    if (performance.now() >= until) return false;
    await sleep(10);
  }
  return true;
}
