import type { TenureAge } from "../../../protocol/job-records.ts";

/** Number of tenures whose ages are kept. */
const MAX_TENURES = 4;

/**
 * Ages of tenures that earlier schedulers recorded. They let a process that has seen none of them bound
 * the time since their begin from below.
 */
export class TenureAges {
  readonly #recorded: readonly TenureAge[];
  readonly #takenOverAt: number;

  /** `takenOverAt`: monotonic time in ms of a takeover that came after the ages were recorded. */
  constructor(recorded: readonly TenureAge[], takenOverAt: number) {
    this.#recorded = recorded;
    this.#takenOverAt = takenOverAt;
  }

  /** Time in ms that had at least passed at the takeover since a tenure began; 0 if none is known. */
  atTakeover(token: number): number {
    const later = this.#recorded.filter((tenure) => tenure.token >= token);
    return Math.max(0, ...later.map(({ ageMs }) => ageMs));
  }

  /** Ages to record at monotonic time `now` in ms, those of `own` and of the tenures before it. */
  toRecord(own: TenureAge, now: number): readonly TenureAge[] {
    const passedMs = now - this.#takenOverAt;
    const former = this.#recorded.map(({ token, ageMs }) => ({ token, ageMs: ageMs + passedMs }));
    return [...former, own].slice(-MAX_TENURES);
  }
}
