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

/** Decisions of one round, so that a burst leaves room for other writers of the document. */
const DECISIONS_PER_ROUND = 20;
const DECISIONS_KEPT = 200;
/** A configuration that was not confirmed for this long may lack a raised budget. */
const CONFIG_AGE_LIMIT_MS = 10_000;

/** What the planner needs from the entry it runs in. */
export abstract class PlannerSupport {
  /** True while this entry holds the planner's duty. */
  abstract isLeader(): boolean;
  /** True if the availability zone belongs to the planner's pool group. */
  abstract inGroup(zone: string): boolean;
  /**
   * Has the lease holder reboot an empty server; resolves once the order was carried out. The
   * server may still be down then: the planner waits until its health shows that it is back.
   */
  abstract reboot(server: ServerRecord): Promise<Result<void, string>>;
  /**
   * Asks at the server's lease endpoint whether it is gone. Only a certain answer may be true,
   * because the removal of a record counts as proof that the server's tasks have ended.
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
  /** Saves reading the whole document in every round; without it each round reads it. */
  readonly fleet?: FleetView;
  readonly instanceList: InstanceList;
  readonly config: ConfigView;
  readonly health: FleetHealth;
  readonly support: PlannerSupport;
  /** @default 1000 */
  readonly intervalMs?: number;
}

/** Plans moves and maintenance of one pool group while this entry holds the duty. */
export class Planner {
  readonly #options: PlannerOptions & { readonly intervalMs: number };
  readonly #stop = new AbortController();
  readonly #buffer = new BufferMeter();
  readonly #rollout = new RolloutMeter();
  readonly #absence: AbsenceTracker;
  readonly #rebooting = new Set<string>();
  /** Monotonic time at which the server carried out the order. */
  readonly #rebooted = new Map<string, number>();
  #decisions: readonly Explanation[] = [];
  #withheld: readonly Explanation[] = [];
  #moves = 0;
  /** The document after this planner's last write or read, which the view may not show yet. */
  #latest: FleetDocument | undefined;
  /** The view's document was overtaken by another writer's. */
  #readAnew = true;
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

  /** Decisions with their reasons, newest last, and the measures kept by the planner. */
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

  /** One round: decides and writes until nothing is left to decide. */
  async round(): Promise<void> {
    const { support, instanceList, config, counters } = this.#options;
    if (!support.isLeader()) return;
    if (config.current() === undefined || config.ageMs() > CONFIG_AGE_LIMIT_MS) {
      counters.event("planner_config_stale");
      return;
    }
    const listed = await instanceList.list();
    if (listed.err) counters.event("planner_list_unavailable");
    const ours = listed.ok ? listed.val.filter((i) => support.inGroup(i.zone)) : undefined;
    for (let round = 0; round < DECISIONS_PER_ROUND; round++) {
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

  /** Makes and writes one decision. True if there may be another one. */
  async #decide(listed: readonly ListedInstance[] | undefined): Promise<boolean> {
    const { store, support, counters, log } = this.#options;
    const read = await this.#read();
    if (read.err) {
      counters.event("planner_fleet_unreadable");
      return false;
    }
    const fleet = read.val;
    const situation = this.#situation(fleet, listed);
    if (situation === undefined) return false;
    // Before each decision, so that a server that was removed and is listed again is not removed
    // by what was confirmed of its former record.
    this.#absence.observe(situation.servers, listed);
    const { decision, withheld } = planNext(situation);
    this.#withheld = withheld;
    if (decision === undefined) {
      this.#observe(situation);
      return false;
    }
    if (!support.isLeader()) return false;
    const { explanation } = decision;
    const next = this.#next(fleet, decision.servers);
    const written = await store.write(next);
    this.#latest = undefined;
    if (written.kind === "written") {
      this.#latest = { ...next, revision: written.revision };
      counters.event("planner_decisions");
      log.info({ rule: explanation.rule, figures: explanation.figures }, explanation.text);
      this.#decisions = [...this.#decisions, explanation].slice(-DECISIONS_KEPT);
      if (explanation.rule === "order-move") this.#moves++;
      return true;
    }
    counters.retry(written.kind === "raced" ? "kv_conflict" : "kv_unavailable");
    this.#readAnew = true;
    return written.kind === "raced";
  }

  /** The newest known document. A stale one does no harm, since its revision fails the write. */
  async #read(): Promise<Result<FleetDocument | undefined, string>> {
    const { fleet, store } = this.#options;
    const seen = fleet?.current();
    if (seen !== undefined && !this.#readAnew) {
      const ours = this.#latest;
      return Ok(ours !== undefined && ours.revision > seen.revision ? ours : seen);
    }
    const read = await store.read();
    if (read.ok) {
      this.#readAnew = false;
      this.#latest = read.val;
    }
    return read;
  }

  #next(fleet: FleetDocument | undefined, servers: readonly ServerRecord[]): FleetDocument {
    const { random, clock, group } = this.#options;
    const base = fleet ?? { revision: 0, group, retired: [] };
    return { ...base, writeId: random.uuidV7(clock.wallTime()), servers };
  }

  #situation(
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

  /** Reboots that are long enough ago for the health to show a server that is still down. */
  #settledReboots(): ReadonlySet<string> {
    const { clock, health } = this.#options;
    const before = clock.now() - health.detectionDelayMs;
    return new Set([...this.#rebooted].flatMap(([id, at]) => (at <= before ? [id] : [])));
  }

  /** Measures, and starts what takes longer than a round. */
  #observe(situation: FleetSituation): void {
    const now = this.#options.clock.now();
    const inWave = serversInWave(situation).length;
    this.#buffer.record(now, countBufferServers(situation));
    this.#rollout.record(now, { open: inWave + dueServers(situation).length, inWave });
    const rebooting = situation.servers.filter((server) => server.state === "rebooting");
    for (const id of [...this.#rebooted.keys()]) {
      if (!rebooting.some((server) => rebootId(server) === id)) this.#rebooted.delete(id);
    }
    for (const server of rebooting) void this.#reboot(server);
  }

  async #reboot(server: ServerRecord): Promise<void> {
    const { support, counters, log } = this.#options;
    const id = rebootId(server);
    if (this.#rebooting.has(id) || this.#rebooted.has(id)) return;
    this.#rebooting.add(id);
    const done = await support.reboot(server);
    this.#rebooting.delete(id);
    if (done.ok) {
      this.#rebooted.set(id, this.#options.clock.now());
      return;
    }
    counters.event("planner_reboot_failed");
    log.warn({ server: server.name, detail: done.val }, "reboot failed, will be repeated");
  }
}
