import type { Clock } from "../src/ports/clock.ts";
import { PerEntryCounts } from "./per-entry-counts.ts";
import { teamsOf } from "./fleet.ts";
import type { FleetObserver } from "./fleet-observer.ts";
import { Cancellations, Outcomes, WaitHistogram } from "./request-log.ts";
import type { Arrival, Scenario } from "./scenario.ts";
import { ShareWindows } from "./share-windows.ts";
import { entryCount, SLOTS_PER_SERVER, type Site, type TeamPlan } from "./site.ts";
import { StrandedCapacity } from "./stranded-capacity.ts";

const SAMPLE_MS = 100;
const SAMPLES_PER_POINT = 10;
const WINDOWS_MS = [1000, 10_000];
/** Time for queues to fill and budgets to move after the load starts, in milliseconds. */
const SETTLING_MS = 2000;

/** Figures of one run by name. */
export type Figures = ReadonlyMap<string, number>;

/** Series of one value per second of a run. */
export type Series = Readonly<Record<string, readonly number[]>>;

/** Result of one run. */
export interface RunResult {
  readonly figures: Figures;
  readonly series: Series;
}

/** Access to the fleet that the recorder samples. */
export interface Probe {
  readonly observer: FleetObserver;
  /** Number of tasks that run on a server. */
  readonly running: (server: string) => number;
  /** Whether the policy reserves slots for urgent work. */
  readonly keepsReserve: boolean;
  /** Task budget that is still recorded for entry instances that no longer run. */
  readonly lostBudget: () => number;
}

/** Options of {@link Recorder}. */
export interface RecorderOptions {
  readonly clock: Clock;
  readonly site: Site;
  readonly scenario: Scenario;
  readonly requests: readonly Arrival[];
  readonly probe: Probe;
}

/** Current numbers of running and queued requests of a team. */
interface TeamCounts {
  running: number;
  queued: number;
  readonly plan: TeamPlan;
}

/**
 * Computes the figures of one run from the events of its requests and from regular samples of the
 * fleet. A request is identified by its index `n` in the options.
 */
export class Recorder {
  readonly #options: RecorderOptions;
  readonly #urgent = new WaitHistogram();
  /** Longest wait for the start of an urgent request by team and by pool, in milliseconds. */
  readonly #worstUrgentWaits = new Map<string, number>();
  readonly #running = new Set<number>();
  readonly #startedAt = new Map<number, number>();
  readonly #waiting = new Map<number, number>();
  readonly #outcomes = new Outcomes();
  readonly #cancellations = new Cancellations();
  readonly #counts = {
    "platform calls/s": new PerEntryCounts(),
    "peer calls/s": new PerEntryCounts(),
    "peer bytes/s": new PerEntryCounts(),
  };
  readonly #teams: ReadonlyMap<string, TeamCounts>;
  readonly #stranded: StrandedCapacity;
  readonly #sharesReachable: boolean;
  readonly #series = { running: [] as number[], queued: [] as number[], urgentWaitMs: [0] };
  #windows: readonly ShareWindows[] = [];
  #measurementStart = 0;
  #samples = 0;
  #maxTasksOverLimit = 0;
  #failedByServers = 0;

  constructor(options: RecorderOptions) {
    this.#options = options;
    const teams = teamsOf(options.site, options.scenario);
    this.#teams = new Map(teams.map((plan) => [plan.name, { running: 0, queued: 0, plan }]));
    this.#stranded = new StrandedCapacity(teams);
    this.#sharesReachable = sharesReachable(options.site, teams);
  }

  /** Starts the measurement, when the load starts. */
  begin(): void {
    this.#measurementStart = this.#options.clock.now();
    for (const counts of Object.values(this.#counts)) counts.clear();
    const teams = [...this.#teams.values()].map(({ plan }) => plan);
    const from = this.#measurementStart + SETTLING_MS;
    this.#windows = WINDOWS_MS.map((windowMs) => new ShareWindows({ windowMs, teams, from }));
    this.#sampleLater();
  }

  submitted(n: number): void {
    this.#waiting.set(n, this.#options.clock.now());
    this.#team(n).queued++;
  }

  started(n: number): void {
    const team = this.#team(n);
    team.running++;
    this.#running.add(n);
    this.#maxTasksOverLimit = Math.max(
      this.#maxTasksOverLimit,
      team.running - team.plan.upperLimit,
    );
    this.#leaveQueue(n);
    this.#cancellations.started(n);
    const first = !this.#startedAt.has(n);
    this.#startedAt.set(n, this.#options.clock.now());
    if (first && this.#request(n).priority === "urgent") this.#startedUrgent(n);
  }

  isRunning(n: number): boolean {
    return this.#running.has(n);
  }

  ended(n: number): void {
    this.#running.delete(n);
    this.#team(n).running--;
    this.#cancellations.ended(n, this.#options.clock.now(), this.#startedAt.get(n)!);
  }

  /** Counts a task that started on a server that fails every task. */
  failedByServer(): void {
    this.#failedByServers++;
  }

  /** The caller got a reply: a result, or a refusal with a reason. */
  replied(n: number, refusal: string | undefined): void {
    this.#leaveQueue(n);
    const request = this.#request(n);
    if (refusal !== undefined) this.#outcomes.refused(request, refusal);
    else if (this.#elapsed(n) <= request.timeoutMs && !this.#cancellations.has(n))
      this.#outcomes.answered(request);
  }

  /** The caller cancels a request that has no reply yet. */
  cancelled(n: number): void {
    this.#cancellations.cancelled(n, this.#options.clock.now());
  }

  /** The caller got a reply to its cancellation. */
  cancelReplied(n: number): void {
    this.#cancellations.replied(n, this.#options.clock.now());
  }

  platformCall(entry: string): void {
    this.#counts["platform calls/s"].add(entry, 1);
  }

  peerCall(entry: string): void {
    this.#counts["peer calls/s"].add(entry, 1);
  }

  /** An entry instance sent bytes to a peer. */
  peerBytes(entry: string, bytes: number): void {
    this.#counts["peer bytes/s"].add(entry, bytes);
  }

  result(): RunResult {
    const { clock, site, requests, probe } = this.#options;
    const seconds = (clock.now() - this.#measurementStart) / 1000;
    const uncancelled = requests.filter((_, n) => !this.#cancellations.has(n));
    const due = uncancelled.filter(({ neverSucceeds }) => !neverSucceeds);
    const worst = [...this.#worstUrgentWaits].sort(([a], [b]) => (a < b ? -1 : 1));
    const figures = new Map<string, number>([
      ["requests", requests.length],
      ...this.#urgent.figures("urgent start wait"),
      ["urgent not started", this.#urgentNotStarted()],
      ...this.#outcomes.figures(due, uncancelled.length - due.length),
      ...this.#cancellations.figures(),
      ["tasks above an upper limit", this.#maxTasksOverLimit],
      ["tasks failed by bad servers", this.#failedByServers],
      ...this.#stranded.figures(SAMPLE_MS),
      ...probe.observer.figures(),
      ...this.#windows.flatMap((windows) => windows.figures()),
      ...worst.map(([name, ms]) => [`urgent start wait worst ms, ${name}`, ms] as const),
      ...Object.entries(this.#counts).flatMap(([name, counts]) =>
        counts.figures(name, entryCount(site), seconds),
      ),
    ]);
    return { figures, series: this.#series };
  }

  #urgentNotStarted(): number {
    return this.#options.requests.filter(
      ({ priority }, n) =>
        priority === "urgent" && !this.#startedAt.has(n) && !this.#cancellations.has(n),
    ).length;
  }

  #startedUrgent(n: number): void {
    const { team, queue } = this.#request(n);
    const waitMs = this.#elapsed(n);
    this.#urgent.add(waitMs);
    const points = this.#series.urgentWaitMs;
    points[points.length - 1] = Math.max(points.at(-1)!, waitMs);
    for (const name of [team, `pool ${queue}`])
      this.#worstUrgentWaits.set(name, Math.max(this.#worstUrgentWaits.get(name) ?? 0, waitMs));
  }

  #request(n: number): Arrival {
    return this.#options.requests[n]!;
  }

  #elapsed(n: number): number {
    return this.#options.clock.now() - this.#measurementStart - this.#request(n).at;
  }

  #team(n: number): TeamCounts {
    return this.#teams.get(this.#request(n).team)!;
  }

  #leaveQueue(n: number): void {
    if (this.#waiting.delete(n)) this.#team(n).queued--;
  }

  #sampleLater(): void {
    this.#options.clock.schedule(SAMPLE_MS, () => {
      this.#sample();
      this.#sampleLater();
    });
  }

  #sample(): void {
    const { clock, probe } = this.#options;
    const now = clock.now();
    probe.observer.sample(SAMPLE_MS);
    const full = this.#stranded.sample({
      now,
      use: this.#teams,
      free: probe.observer.freeSlots(probe),
      waiting: [...this.#waiting].map(([n, since]) => [this.#request(n), since] as const),
      lostBudget: probe.lostBudget(),
    });
    for (const windows of this.#windows)
      windows.sample(now, this.#teams, full && this.#sharesReachable);
    if (++this.#samples % SAMPLES_PER_POINT === 0) this.#addPoint();
  }

  #addPoint(): void {
    const teams = [...this.#teams.values()];
    this.#series.running.push(teams.reduce((sum, { running }) => sum + running, 0));
    this.#series.queued.push(teams.reduce((sum, { queued }) => sum + queued, 0));
    this.#series.urgentWaitMs.push(0);
  }
}

/**
 * Whether every team's upper limit allows its share of the slots. Otherwise the teams cannot reach
 * their shares, and deviations from them mean nothing.
 */
function sharesReachable({ pools }: Site, teams: readonly TeamPlan[]): boolean {
  const slots = pools.reduce((sum, { servers }) => sum + servers * SLOTS_PER_SERVER, 0);
  const shares = teams.reduce((sum, { share }) => sum + share, 0);
  return teams.every(({ share, upperLimit }) => (share / shares) * slots <= upperLimit);
}
