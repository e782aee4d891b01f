import type { ActiveRun, RunRegistry } from "./run-registry.ts";
import {
  expectedDuration,
  projectedMs,
  SUSPICIOUS_RATIO,
  type ExpectedDuration,
} from "./run-speed.ts";
import { countServerRuns, isAdvancing, isPlausibleByChance, isWithinTail } from "./run-tail.ts";
import type { DurationModels } from "../scheduling/duration-model.ts";
import type { ServerSpeed } from "./server-speed.ts";

/** A backend server whose runs are assessed. */
export interface AssessedServer {
  readonly id: string;
  readonly speed: ServerSpeed;
}

/** Progress in percent from which the projected duration of a stopped run is learnt. */
const MIN_PERCENT = 10;

/** Decides which long runs are explained by the tail of their queue, and teaches the tails. */
export class TailAssessment {
  readonly #runRegistry: RunRegistry;
  readonly #durations: DurationModels;

  constructor(runRegistry: RunRegistry, durations: DurationModels) {
    this.#runRegistry = runRegistry;
    this.#durations = durations;
  }

  /** True if an active run is long because of its task, and its server is not to blame. */
  explains(run: ActiveRun, expected: ExpectedDuration, server: AssessedServer): boolean {
    const ratio = (projectedMs(run) ?? Infinity) / expected.ms;
    if (!isWithinTail(ratio, expected) || !isAdvancing(run, expected)) return false;
    return !this.#serverSuspicious(server, expected);
  }

  /**
   * Learns from a run that took `tookMs` from start to end, unless its server is slow. Returns the
   * ratio to the usual duration for the speed of the server, undefined if the tail explains the run.
   */
  runEnded(run: ActiveRun, tookMs: number, server: AssessedServer): number | undefined {
    const expected = expectedDuration(run, this.#runRegistry, this.#durations);
    const ratio = tookMs / expected.ms;
    const slow = ratio >= expected.slowRatio;
    const speedRatio = tookMs / expected.usualMaxMs;
    if (slow && this.#serverSuspicious(server, expected)) return speedRatio;
    const explained = slow && isWithinTail(ratio, expected) && server.speed.ignoreLongRun();
    if (run.nearData && !server.speed.slow) this.#learn(run, tookMs, expected);
    return explained ? undefined : speedRatio;
  }

  /**
   * Learns from an active run that is stopped for its duration alone, by its projected duration.
   * Otherwise the tail of a queue would never be known, as its long runs would not end.
   */
  runStopped(run: ActiveRun, expected: ExpectedDuration): void {
    const { firstProgress, lastProgress, percent, nearData, slowdown } = run;
    if (slowdown > 1) return;
    // A run that reports too little progress may hang, and its projection means nothing.
    if (!nearData || percent < MIN_PERCENT || firstProgress?.percent !== 0) return;
    if (lastProgress === undefined || run.advancedAt !== lastProgress.clockMs) return;
    this.#learn(run, projectedMs(run) ?? 0, expected);
  }

  #learn(run: ActiveRun, tookMs: number, expected: ExpectedDuration): void {
    if (tookMs <= 0) return;
    const { spec, job } = run.task.step;
    const model = this.#durations.forQueue(job.spec.queue);
    model.observeTail(spec.estimateMs, tookMs);
    if (expected.tail === model.siblingTail) model.siblingTail.observe(tookMs / expected.ms);
  }

  /** True if the server slows down its runs, by those that ended or by those that run at present. */
  #serverSuspicious(server: AssessedServer, expected: ExpectedDuration): boolean {
    if (server.speed.ratio >= SUSPICIOUS_RATIO) return true;
    const counts = countServerRuns(this.#runRegistry.onServer(server.id), (other) =>
      expectedDuration(other, this.#runRegistry, this.#durations),
    );
    return !isPlausibleByChance(counts, expected);
  }
}
