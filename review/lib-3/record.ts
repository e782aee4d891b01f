/** Collects what a case sent, what was answered and what ran, and writes it to `record.txt`. */
import { writeFileSync } from "node:fs";

/** The record of one run of a case. */
export class CaseRecord {
  readonly #file: string;
  readonly #lines: string[] = [];
  readonly #begunAt = performance.now();

  constructor(file: string) {
    this.#file = file;
  }

  /** Seconds since the beginning. */
  get seconds(): number {
    return (performance.now() - this.#begunAt) / 1000;
  }

  /** Adds a line with the time since the beginning. */
  add(text: string): void {
    this.#lines.push(`${this.seconds.toFixed(3).padStart(8)} s  ${text}`);
  }

  write(): void {
    writeFileSync(this.#file, `${this.#lines.join("\n")}\n`);
  }
}

/** Resolves after the given time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Resolves once the condition holds; false if it does not within the given time in milliseconds. */
export async function until(condition: () => boolean, timeoutMs: number): Promise<boolean> {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (condition()) return true;
    await sleep(25);
  }
  return condition();
}
