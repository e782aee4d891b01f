import type { ListedInstance } from "../../src/ports/instance-list.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import type { ServerRecord } from "../../src/protocol/fleet-document.ts";

/** The pool group of every simulated pool. */
export const GROUP = "region";
/** Task slots of each simulated backend server. */
export const SLOTS_PER_SERVER = 3;
/** Teams of the organisations that use the simulated fleet. */
export const TEAMS = ["red", "blue"] as const;

/** A queue of the simulated fleet. */
export interface QueuePlan {
  readonly name: string;
  readonly pool: string;
  readonly open: boolean;
  readonly idempotent: boolean;
}

/** One queue of each kind: keyed and idempotent, not idempotent, in another pool, and open. */
export const QUEUES: readonly QueuePlan[] = [
  { name: "plans", pool: "main", open: false, idempotent: true },
  { name: "orders", pool: "main", open: false, idempotent: false },
  { name: "surveys", pool: "other", open: false, idempotent: true },
  { name: "notices", pool: "main", open: true, idempotent: true },
];

/** Run time that every queue declares, in milliseconds. */
export const DECLARED_RUN_MS = 400;

/** Pools whose instances may run the queue's tasks: its own pool and the spare pool. */
export function poolsOfQueue(queue: string): readonly string[] {
  const own = QUEUES.find((plan) => plan.name === queue)?.pool;
  return own === undefined ? ["spare"] : [own, "spare"];
}

/** The initial instances: three in each availability zone, two of them on the same rack. */
export function initialInstances(zones: readonly string[]): readonly ListedInstance[] {
  return zones.flatMap((zone, z) =>
    [1, 2, 3].map((n) => ({
      name: `${zone}-${n}`,
      address: `http://10.1.${z}.${n}:8000`,
      zone,
      rack: `${zone}-r${n < 3 ? 1 : 2}`,
      cores: 16,
      memoryGb: 64,
      accelerators: 0,
      slots: SLOTS_PER_SERVER,
      state: "live" as const,
    })),
  );
}

function poolOf(instance: ListedInstance, zones: readonly string[]): string {
  if (!instance.name.endsWith("-3")) return "main";
  return instance.zone === zones.at(-1) ? "spare" : "other";
}

/** The records of the instances in the initial fleet document. */
export function initialRecords(
  zones: readonly string[],
  wallTime: number,
): readonly ServerRecord[] {
  return initialInstances(zones).map(({ state: _state, ...instance }) => ({
    ...instance,
    pool: poolOf(instance as ListedInstance, zones),
    state: "serving",
    epoch: 1,
    // An hour ago, because a failure of a recently rebooted instance pauses a maintenance wave.
    rebootedAt: wallTime - 3_600_000,
    since: wallTime - 3_600_000,
  }));
}

/** The initial configuration. */
export function initialConfig(zones: readonly string[], wallTime: number): ConfigDocument {
  const mainSize = zones.length * 2;
  const pool = { group: GROUP, urgentReserveSlots: 0, spare: false };
  return {
    revision: 1,
    writeId: "initial",
    acceptedAt: wallTime,
    pools: [
      { ...pool, name: "main", minAvailable: mainSize - 2, targetSize: mainSize },
      { ...pool, name: "other", minAvailable: 0, targetSize: zones.length - 1 },
      { ...pool, name: "spare", minAvailable: 0, targetSize: 1, spare: true },
    ],
    queues: QUEUES.map((queue) => ({ ...queue, declaredRunMs: DECLARED_RUN_MS })),
    teams: [
      { name: "red", share: 2, upperLimit: 4, queues: [], keys: [] },
      { name: "blue", share: 1, upperLimit: 3, queues: [], keys: [] },
    ],
    maintenance: { startMinute: 0, endMinute: 1440, everyDays: 0, maxParallel: 2 },
    weights: { bufferCost: 1, rolloutTime: 1, moves: 1, closenessToShare: 1 },
  };
}
