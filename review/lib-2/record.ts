/** The record of a case: what was sent, answered and run, with the time since its start. */
import { writeFileSync } from "node:fs";

/** Collects lines and writes them to a file at the end. */
export class CaseRecord {
  readonly #file: string;
  readonly #startedAt = performance.now();
  readonly #lines: string[] = [];

  constructor(file: string) {
    this.#file = file;
  }

  /** Seconds since the start of the case. */
  get seconds(): number {
    return (performance.now() - this.#startedAt) / 1000;
  }

  /** Adds a line. */
  add(text: string): void {
    this.#lines.push(`${this.seconds.toFixed(3).padStart(8)} s  ${text}`);
  }

  /** Adds a line and prints it. */
  say(text: string): void {
    this.add(text);
    process.stdout.write(`${text}\n`);
  }

  /** Writes all lines to the file. */
  save(): void {
    writeFileSync(this.#file, `${this.#lines.join("\n")}\n`);
  }
}
