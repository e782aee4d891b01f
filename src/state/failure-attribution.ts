/** Number of distinct jobs that must fail on a server and succeed elsewhere to make it suspect. */
const SUSPECT_JOBS = 3;
/** Number of distinct jobs that must fail on a server in a row to make it suspect. */
const SUSPECT_STREAK = 5;
/** Largest fraction of a pool that may be on probation. */
const MAX_PROBATION_FRACTION = 0.25;
/**
 * A server on probation runs one task at a time. Probation ends after this many successes in a row.
 */
const CLEARING_SUCCESSES = 3;

/** Recent outcomes of jobs on one backend server. */
interface ServerHealth {
  /** Ids of jobs that failed on this server and succeeded on another. */
  readonly succeededElsewhere: Set<string>;
  /** Ids of jobs that failed on this server since its last success. */
  readonly streak: Set<string>;
  /** Successes since the last failure, or since the start of the probation. */
  consecutiveSuccesses: number;
  probation: boolean;
}

/** One failure of a job, stored in its request record. */
export interface JobFailure {
  readonly server: string;
  readonly reason: string;
}

/** Distinguishes jobs that fail on every server from backend servers that fail every job. */
export class FailureAttribution {
  readonly #badJobServers: number;
  readonly #servers = new Map<string, ServerHealth>();

  constructor({ badJobServers }: { readonly badJobServers: number }) {
    this.#badJobServers = badJobServers;
  }

  /** Records a success of a job, and counts it against the other servers on which it failed. */
  recordSuccess(requestId: string, server: string, failures: readonly JobFailure[]): void {
    const health = this.#health(server);
    health.streak.clear();
    health.consecutiveSuccesses++;
    if (health.probation && health.consecutiveSuccesses >= CLEARING_SUCCESSES)
      this.#endProbation(health);
    for (const failure of failures) {
      if (failure.server !== server) this.#health(failure.server).succeededElsewhere.add(requestId);
    }
  }

  /** Records a failure of a job on a server. */
  recordFailure(requestId: string, server: string): void {
    const health = this.#health(server);
    health.streak.add(requestId);
    health.consecutiveSuccesses = 0;
  }

  /** True if the job failed on at least `badJobServers` servers that are not suspect themselves. */
  isBadJob(failures: readonly JobFailure[]): boolean {
    const servers = new Set(failures.map((failure) => failure.server));
    const healthy = [...servers].filter((server) => !this.#isSuspect(this.#health(server)));
    return healthy.length >= this.#badJobServers;
  }

  /**
   * Puts suspect servers whose lease this entry instance holds on probation, at most a quarter of
   * the pool.
   */
  updateProbation(held: readonly string[], poolSize: number): void {
    const allowed = Math.floor(poolSize * MAX_PROBATION_FRACTION);
    let count = held.filter((server) => this.isOnProbation(server)).length;
    for (const server of held) {
      const health = this.#servers.get(server);
      if (health === undefined || health.probation || count >= allowed) continue;
      if (!this.#isSuspect(health)) continue;
      health.probation = true;
      health.consecutiveSuccesses = 0;
      count++;
    }
  }

  /** True if the server may run only one task at a time. */
  isOnProbation(server: string): boolean {
    return this.#servers.get(server)?.probation ?? false;
  }

  /** Servers on probation that keep failing; the planner quarantines them. */
  quarantineCandidates(): readonly string[] {
    return [...this.#servers]
      .filter(([, health]) => health.probation && health.streak.size >= SUSPECT_STREAK)
      .map(([server]) => server);
  }

  #isSuspect(health: ServerHealth): boolean {
    return health.succeededElsewhere.size >= SUSPECT_JOBS || health.streak.size >= SUSPECT_STREAK;
  }

  #endProbation(health: ServerHealth): void {
    health.probation = false;
    health.succeededElsewhere.clear();
    health.streak.clear();
  }

  #health(server: string): ServerHealth {
    let health = this.#servers.get(server);
    if (health === undefined) {
      health = {
        succeededElsewhere: new Set(),
        streak: new Set(),
        consecutiveSuccesses: 0,
        probation: false,
      };
      this.#servers.set(server, health);
    }
    return health;
  }
}
