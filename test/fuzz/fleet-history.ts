import type { TaskSpec } from "../../src/ports/backend-server.ts";
import type { ServerRecord, ServerState } from "../../src/protocol/fleet-document.ts";
import type { OperatorHistory } from "./operator-history.ts";
import type { Violations } from "./violations.ts";

/** Time after which a visibly leaving server must get no new work, in milliseconds. */
export const LEAVING_LIMIT_MS = 3000;
/** Time after which the planner must not count a lost server as available, in milliseconds. */
export const LOSS_KNOWN_MS = 15_000;

/** The part of a stored fleet document that is checked. */
export interface StoredFleet {
  readonly group: string;
  readonly servers: readonly ServerRecord[];
}

/** States in which an instance must not run tasks of its pool. */
const OUT_OF_USE: readonly ServerState[] = ["empty", "moving", "rebooting"];

/** Options of {@link FleetHistory}. */
export interface FleetHistoryOptions {
  readonly now: () => number;
  readonly violations: Violations;
  readonly operators: OperatorHistory;
}

/** Checks the tasks that backend servers run against the records of the fleet document. */
export class FleetHistory {
  readonly #options: FleetHistoryOptions;
  readonly #recorded = new Map<string, ServerRecord>();
  readonly #groups = new Map<string, StoredFleet>();
  readonly #running = new Map<string, Map<string, TaskSpec>>();
  readonly #lostAt = new Map<string, number>();
  readonly #leavingSince = new Map<string, number>();

  constructor(options: FleetHistoryOptions) {
    this.#options = options;
  }

  /** A write of a fleet document took effect in the key-value service. */
  written(fleet: StoredFleet): void {
    const before = this.#groups.get(fleet.group);
    this.#groups.set(fleet.group, fleet);
    this.#checkMembership(fleet);
    for (const record of fleet.servers) {
      const last = this.#recorded.get(record.name);
      if (last !== undefined) this.#checkTransition(last, record, fleet);
    }
    for (const record of before?.servers ?? []) this.#recorded.delete(record.name);
    for (const record of fleet.servers) this.#recorded.set(record.name, record);
  }

  /** A backend server started a task. `pools` are those allowed to run the task's queue. */
  started(server: string, spec: TaskSpec, pools: readonly string[]): void {
    const { violations, operators, now } = this.#options;
    const what = `${server} started ${spec.requestId}#${spec.attempt}`;
    this.#tasks(server).set(taskKey(spec), spec);
    if (spec.team !== undefined) {
      const running = this.runningCount(spec.team);
      const limit = operators.highestLimit(spec.team);
      if (running > limit) {
        violations.add("upper-limit", `${what}: ${spec.team} runs ${running}, limit ${limit}`);
      }
    }
    const leavingSince = this.#leavingSince.get(server);
    if (leavingSince !== undefined && now() - leavingSince > LEAVING_LIMIT_MS) {
      violations.add("leaving-server", `${what} while leaving since ${Math.round(leavingSince)}`);
    }
    const record = this.#recorded.get(server);
    if (record === undefined) return;
    if (OUT_OF_USE.includes(record.state)) {
      violations.add("one-pool", `${what} while recorded as ${record.state}`);
    }
    if (!pools.includes(record.pool)) {
      violations.add("one-pool", `${what} of queue ${spec.queue} in pool ${record.pool}`);
    }
  }

  ended(server: string, spec: TaskSpec): void {
    this.#tasks(server).delete(taskKey(spec));
  }

  /** The server failed without notice. */
  lost(server: string): void {
    this.#lostAt.set(server, this.#options.now());
  }

  restored(server: string): void {
    this.#lostAt.delete(server);
  }

  /** From now on, every entry in the server's zone can see that it is leaving. */
  leavingVisible(server: string): void {
    if (!this.#leavingSince.has(server)) this.#leavingSince.set(server, this.#options.now());
  }

  /** Some entry in the server's zone cannot see that it is leaving, or it is not leaving. */
  leavingHidden(server: string): void {
    this.#leavingSince.delete(server);
  }

  /** Number of the team's tasks that run on the backend servers. */
  runningCount(team: string): number {
    let count = 0;
    for (const tasks of this.#running.values()) {
      for (const spec of tasks.values()) if (spec.team === team) count++;
    }
    return count;
  }

  /** The last written record of a server. */
  record(server: string): ServerRecord | undefined {
    return this.#recorded.get(server);
  }

  #tasks(server: string): Map<string, TaskSpec> {
    const known = this.#running.get(server) ?? new Map<string, TaskSpec>();
    this.#running.set(server, known);
    return known;
  }

  #checkMembership(fleet: StoredFleet): void {
    const { violations } = this.#options;
    const names = fleet.servers.map((record) => record.name);
    for (const name of new Set(names.filter((n, at) => names.indexOf(n) !== at))) {
      violations.add("one-pool", `${name} is recorded twice in ${fleet.group}`);
    }
    for (const [group, other] of this.#groups) {
      if (group === fleet.group) continue;
      for (const record of other.servers) {
        if (names.includes(record.name)) {
          violations.add("one-pool", `${record.name} is recorded in ${group} and ${fleet.group}`);
        }
      }
    }
  }

  #checkTransition(last: ServerRecord, next: ServerRecord, fleet: StoredFleet): void {
    const { violations } = this.#options;
    if (next.epoch < last.epoch) {
      violations.add("one-pool", `${next.name} went back to epoch ${next.epoch}`);
    }
    if (next.pool !== last.pool) {
      if (next.epoch <= last.epoch) {
        violations.add("one-pool", `${next.name} changed pool without a new epoch`);
      }
      if (!OUT_OF_USE.includes(last.state)) {
        violations.add("one-pool", `${next.name} changed pool while ${last.state}`);
      }
    }
    const tasks = this.#tasks(next.name).size;
    if (OUT_OF_USE.includes(next.state) && !OUT_OF_USE.includes(last.state) && tasks > 0) {
      violations.add("one-pool", `${next.name} recorded ${next.state} with ${tasks} tasks`);
    }
    if (last.state === "serving" && next.state === "draining") this.#checkDrain(next, fleet);
  }

  #checkDrain(drained: ServerRecord, fleet: StoredFleet): void {
    const { violations, operators, now } = this.#options;
    const budget = operators.lowestMinAvailable(drained.pool);
    const serving = fleet.servers.filter(
      (record) => record.pool === drained.pool && record.state === "serving",
    );
    const alive = serving.filter((record) => {
      const lostAt = this.#lostAt.get(record.name);
      return lostAt === undefined || now() - lostAt < LOSS_KNOWN_MS;
    });
    if (alive.length < budget) {
      violations.add(
        "availability-budget",
        `drain of ${drained.name} left ${alive.length} of ${serving.length} serving in ` +
          `${drained.pool}, budget ${budget}`,
      );
    }
  }
}

function taskKey(spec: TaskSpec): string {
  return `${spec.requestId}#${spec.attempt}`;
}
