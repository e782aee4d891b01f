import { Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { InstanceList, ListedInstance } from "../ports/instance-list.ts";
import type { Log } from "../ports/log.ts";
import type { Random } from "../ports/random.ts";
import type { Explanation, PlannerStatus } from "../protocol/entry-status.ts";
import type { FleetDocument, ServerRecord } from "../protocol/fleet-document.ts";
import { planNext } from "../state/fleet-rules.ts";
import {
  countBufferServers,
  rebootId,
  type FleetHealth,
  type FleetSituation,
} from "../state/fleet-situation.ts";
import { dueServers, serversInWave } from "../state/maintenance-rules.ts";
import { BufferMeter, RolloutMeter } from "../state/measures.ts";
import { AbsenceTracker } from "./absence-tracker.ts";
import type { FleetStore } from "./fleet-store.ts";
import type { ConfigView, Counters, FleetView } from "./ports.ts";

/** Maximum decisions per round, so that a burst does not block other writers of the document. */
const MAX_DECISIONS_PER_ROUND = 20;
const DECISION_HISTORY_LIMIT = 200;
/** A configuration that was last confirmed longer ago may lack a raised budget. */
const MAX_CONFIG_AGE_MS = 10_000;

/** Operations that the planner needs from the entry instance in which it runs. */
export abstract class PlannerSupport {
  /** True while this entry holds the planner's leader role. */
  abstract isLeader(): boolean;
  /** True if the availability zone belongs to the planner's pool group. */
  abstract isZoneInGroup(zone: string): boolean;
  /**
   * Makes the lease holder reboot an empty server. Resolves once the reboot order was executed. The
   * server may still be down then; the planner waits until its health shows that it is up.
   */
  abstract reboot(server: ServerRecord): Promise<Result<void, string>>;
  /**
   * Probes the server's lease endpoint. Returns true only if the server is certainly gone, because
   * the removal of its record counts as proof that its tasks have ended.
   */
  abstract confirmGone(server: ServerRecord): Promise<boolean>;
}

/** Options of {@link Planner}. */
export interface PlannerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly counters: Counters;
  readonly group: string;
  readonly store: FleetStore;
  /** Cached fleet document. Without it, every decision reads the document from the store. */
  readonly fleet?: FleetView;
  readonly instanceList: InstanceList;
  readonly config: ConfigView;
  readonly health: FleetHealth;
  readonly support: PlannerSupport;
  /** Time between two rounds in milliseconds. @default 1000 */
  readonly intervalMs?: number;
}

/** Plans the moves and maintenance of one pool group while this entry holds the planner role. */
export class Planner {
  readonly #options: PlannerOptions & { readonly intervalMs: number };
  readonly #stop = new AbortController();
  readonly #buffer = new BufferMeter();
  readonly #rollout = new RolloutMeter();
  readonly #absence: AbsenceTracker;
  /** Reboot orders that are being executed. */
  readonly #rebooting = new Set<string>();
  /** Monotonic time in milliseconds at which each reboot order was executed. */
  readonly #rebootedAt = new Map<string, number>();
  #decisions: readonly Explanation[] = [];
  #withheld: readonly Explanation[] = [];
  #moves = 0;
  /** The document after this planner's last write or read, which may be newer than the view's. */
  #latest: FleetDocument | undefined;
  /**
   * True if the document must be read from the store: at the start, and after a failed write,
   * because another writer may have replaced the view's document.
   */
  #mustReadStore = true;
  #started = false;

  constructor({ intervalMs = 1000, ...rest }: PlannerOptions) {
    this.#options = { intervalMs, ...rest };
    const { clock, support } = rest;
    this.#absence = new AbsenceTracker({
      clock,
      confirmGone: (server) => support.confirmGone(server),
    });
  }

  start(): void {
    if (this.#started) return;
    this.#started = true;
    void this.#run();
  }

  stop(): void {
    this.#stop.abort();
  }

  /** Decisions with their reasons, newest last, and the planner's metrics. */
  status(): PlannerStatus {
    const rolloutMs = this.#rollout.lastMs;
    return {
      decisions: [...this.#decisions],
      withheld: [...this.#withheld],
      bufferServers: this.#buffer.servers,
      bufferInstanceHours: this.#buffer.instanceHours,
      moves: this.#moves,
      ...(rolloutMs === undefined ? {} : { rolloutMs }),
    };
  }

  /** Runs one round: decides and writes until no decision is left or the maximum is reached. */
  async round(): Promise<void> {
    const { support, instanceList, config, counters } = this.#options;
    if (!support.isLeader()) return;
    if (config.current() === undefined || config.ageMs() > MAX_CONFIG_AGE_MS) {
      counters.event("planner_config_stale");
      return;
    }
    const listed = await instanceList.list();
    if (listed.err) counters.event("planner_list_unavailable");
    const ours = listed.ok ? listed.val.filter((i) => support.isZoneInGroup(i.zone)) : undefined;
    for (let count = 0; count < MAX_DECISIONS_PER_ROUND; count++) {
      if (!(await this.#decide(ours))) return;
    }
  }

  async #run(): Promise<void> {
    const { clock, intervalMs } = this.#options;
    while (!this.#stopped()) {
      await this.round();
      await clock.sleep(intervalMs, this.#stop.signal);
    }
  }

  #stopped(): boolean {
    return this.#stop.signal.aborted;
  }

  /** Makes and writes one decision. Returns true if there may be another one. */
  async #decide(listed: readonly ListedInstance[] | undefined): Promise<boolean> {
    const { store, support, counters, log } = this.#options;
    const read = await this.#readFleet();
    if (read.err) {
      counters.event("planner_fleet_unreadable");
      return false;
    }
    const fleet = read.val;
    const situation = this.#buildSituation(fleet, listed);
    if (situation === undefined) return false;
    // Updated before each decision. Otherwise a server that was removed and is listed again could
    // be removed because of a confirmation for its previous record.
    this.#absence.observe(situation.servers, listed);
    const { decision, withheld } = planNext(situation);
    this.#withheld = withheld;
    if (decision === undefined) {
      this.#updateMetricsAndReboot(situation);
      return false;
    }
    if (!support.isLeader()) return false;
    const { explanation } = decision;
    const next = this.#nextDocument(fleet, decision.servers);
    const written = await store.write(next);
    this.#latest = undefined;
    if (written.kind === "written") {
      this.#latest = { ...next, revision: written.revision };
      counters.event("planner_decisions");
      log.info({ rule: explanation.rule, figures: explanation.figures }, explanation.text);
      this.#decisions = [...this.#decisions, explanation].slice(-DECISION_HISTORY_LIMIT);
      if (explanation.rule === "order-move") this.#moves++;
      return true;
    }
    counters.retry(written.kind === "raced" ? "kv_conflict" : "kv_unavailable");
    this.#mustReadStore = true;
    return written.kind === "raced";
  }

  /** Returns the newest known document. With a stale one the write fails by its revision. */
  async #readFleet(): Promise<Result<FleetDocument | undefined, string>> {
    const { fleet, store } = this.#options;
    const seen = fleet?.current();
    if (seen !== undefined && !this.#mustReadStore) {
      const ours = this.#latest;
      return Ok(ours !== undefined && ours.revision > seen.revision ? ours : seen);
    }
    const read = await store.read();
    if (read.ok) {
      this.#mustReadStore = false;
      this.#latest = read.val;
    }
    return read;
  }

  #nextDocument(fleet: FleetDocument | undefined, servers: readonly ServerRecord[]): FleetDocument {
    const { random, clock, group } = this.#options;
    const base = fleet ?? { revision: 0, group, retired: [] };
    return { ...base, writeId: random.uuidV7(clock.wallTime()), servers };
  }

  #buildSituation(
    fleet: FleetDocument | undefined,
    listed: readonly ListedInstance[] | undefined,
  ): FleetSituation | undefined {
    const { group, config, health, clock } = this.#options;
    const current = config.current();
    if (current === undefined) return undefined;
    return {
      group,
      health,
      listed,
      servers: fleet?.servers ?? [],
      config: current,
      wallTimeMs: clock.wallTime(),
      confirmedGone: this.#absence.gone,
      rebooted: this.#settledReboots(),
    };
  }

  /** Reboots long enough ago that the health would show a server that is still down. */
  #settledReboots(): ReadonlySet<string> {
    const { clock, health } = this.#options;
    const before = clock.now() - health.detectionDelayMs;
    return new Set([...this.#rebootedAt].flatMap(([id, at]) => (at <= before ? [id] : [])));
  }

  /** Updates the metrics and starts reboots, which take longer than a round. */
  #updateMetricsAndReboot(situation: FleetSituation): void {
    const now = this.#options.clock.now();
    const inWave = serversInWave(situation).length;
    this.#buffer.record(now, countBufferServers(situation));
    this.#rollout.record(now, { open: inWave + dueServers(situation).length, inWave });
    const rebooting = situation.servers.filter((server) => server.state === "rebooting");
    for (const id of [...this.#rebootedAt.keys()]) {
      if (!rebooting.some((server) => rebootId(server) === id)) this.#rebootedAt.delete(id);
    }
    for (const server of rebooting) void this.#reboot(server);
  }

  async #reboot(server: ServerRecord): Promise<void> {
    const { support, counters, log } = this.#options;
    const id = rebootId(server);
    if (this.#rebooting.has(id) || this.#rebootedAt.has(id)) return;
    this.#rebooting.add(id);
    const done = await support.reboot(server);
    this.#rebooting.delete(id);
    if (done.ok) {
      this.#rebootedAt.set(id, this.#options.clock.now());
      return;
    }
    counters.event("planner_reboot_failed");
    log.warn({ server: server.name, detail: done.val }, "reboot failed, will be retried");
  }
}
