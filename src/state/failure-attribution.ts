/** Different jobs that must fail on a server and succeed elsewhere before it is suspected. */
const SUSPECT_JOBS = 3;
/** Different jobs in a row that must fail on a server while other servers succeed. */
const SUSPECT_STREAK = 5;
const MAX_PROBATION_FRACTION = 0.25;
/** A server on probation gets one task at a time and is cleared after this many successes. */
const CLEARING_SUCCESSES = 3;

interface ServerHealth {
  /** Jobs that failed here and succeeded on another server. */
  readonly blamedBy: Set<string>;
  /** Jobs that failed here since the last success. */
  readonly streak: Set<string>;
  successes: number;
  probation: boolean;
}

/** Failures of one job, kept by its request record. */
export interface JobFailure {
  readonly server: string;
  readonly reason: string;
}

/** Tells jobs that cannot run from backend servers that fail every job. */
export class FailureAttribution {
  readonly #badJobServers: number;
  readonly #servers = new Map<string, ServerHealth>();

  constructor({ badJobServers }: { readonly badJobServers: number }) {
    this.#badJobServers = badJobServers;
  }

  /** Records that a job succeeded on a server, after failures elsewhere if any. */
  succeeded(requestId: string, server: string, failures: readonly JobFailure[]): void {
    const health = this.#health(server);
    health.streak.clear();
    health.successes++;
    if (health.probation && health.successes >= CLEARING_SUCCESSES) this.#clear(health);
    for (const failure of failures) {
      if (failure.server !== server) this.#health(failure.server).blamedBy.add(requestId);
    }
  }

  /** Records that a job failed on a server. */
  failed(requestId: string, server: string): void {
    const health = this.#health(server);
    health.streak.add(requestId);
    health.successes = 0;
  }

  /** True if the job failed on so many different healthy servers that it is itself at fault. */
  isBadJob(failures: readonly JobFailure[]): boolean {
    const servers = new Set(failures.map((failure) => failure.server));
    const healthy = [...servers].filter((server) => !this.#suspect(this.#health(server)));
    return healthy.length >= this.#badJobServers;
  }

  /** Puts suspected servers of those held here on probation, at most a quarter of their pool. */
  updateProbation(held: readonly string[], poolSize: number): void {
    const allowed = Math.floor(poolSize * MAX_PROBATION_FRACTION);
    let count = held.filter((server) => this.onProbation(server)).length;
    for (const server of held) {
      const health = this.#servers.get(server);
      if (health === undefined || health.probation || count >= allowed) continue;
      if (!this.#suspect(health)) continue;
      health.probation = true;
      health.successes = 0;
      count++;
    }
  }

  /** True if the server may run only one task at a time. */
  onProbation(server: string): boolean {
    return this.#servers.get(server)?.probation ?? false;
  }

  /** Servers on probation that failed again since, for quarantine by the planner. */
  quarantineCandidates(): readonly string[] {
    return [...this.#servers]
      .filter(([, health]) => health.probation && health.streak.size >= SUSPECT_STREAK)
      .map(([server]) => server);
  }

  #suspect(health: ServerHealth): boolean {
    return health.blamedBy.size >= SUSPECT_JOBS || health.streak.size >= SUSPECT_STREAK;
  }

  #clear(health: ServerHealth): void {
    health.probation = false;
    health.blamedBy.clear();
    health.streak.clear();
  }

  #health(server: string): ServerHealth {
    let health = this.#servers.get(server);
    if (health === undefined) {
      health = { blamedBy: new Set(), streak: new Set(), successes: 0, probation: false };
      this.#servers.set(server, health);
    }
    return health;
  }
}
