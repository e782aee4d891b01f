import type { ListedInstance } from "../../src/ports/instance-list.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import type { ServerRecord } from "../../src/protocol/fleet-document.ts";

/** The pool group of every simulated pool. */
export const GROUP = "region";
/** Slots of each simulated backend server. */
export const SLOTS = 3;
/** Organisations' teams of the simulated fleet. */
export const TEAMS = ["red", "blue"] as const;

/** A queue of the simulated fleet. */
export interface QueuePlan {
  readonly name: string;
  readonly pool: string;
  readonly open: boolean;
  readonly idempotent: boolean;
}

/** One queue of each kind. */
export const QUEUES: readonly QueuePlan[] = [
  { name: "plans", pool: "main", open: false, idempotent: true },
  { name: "orders", pool: "main", open: false, idempotent: false },
  { name: "surveys", pool: "other", open: false, idempotent: true },
  { name: "notices", pool: "main", open: true, idempotent: true },
];

/** Run time that every queue declares, in milliseconds. */
export const DECLARED_RUN_MS = 400;

/** Pools that may run the queue's tasks: its own and the spare pool. */
export function poolsOfQueue(queue: string): readonly string[] {
  const own = QUEUES.find((plan) => plan.name === queue)?.pool;
  return own === undefined ? ["spare"] : [own, "spare"];
}

/** Instances: three in each zone, two on one rack. */
export function plannedInstances(zones: readonly string[]): readonly ListedInstance[] {
  return zones.flatMap((zone, z) =>
    [1, 2, 3].map((n) => ({
      name: `${zone}-${n}`,
      address: `http://10.1.${z}.${n}:8000`,
      zone,
      rack: `${zone}-r${n < 3 ? 1 : 2}`,
      cores: 16,
      memoryGb: 64,
      accelerators: 0,
      slots: SLOTS,
      state: "live" as const,
    })),
  );
}

function poolOf(instance: ListedInstance, zones: readonly string[]): string {
  if (!instance.name.endsWith("-3")) return "main";
  return instance.zone === zones.at(-1) ? "spare" : "other";
}

/** The record of an instance as the fleet document has it at the beginning. */
export function plannedRecords(
  zones: readonly string[],
  wallTime: number,
): readonly ServerRecord[] {
  return plannedInstances(zones).map(({ state: _state, ...instance }) => ({
    ...instance,
    pool: poolOf(instance as ListedInstance, zones),
    state: "serving",
    epoch: 1,
    // Long ago, because the failure of a freshly rebooted instance pauses a maintenance wave.
    rebootedAt: wallTime - 3_600_000,
    since: wallTime - 3_600_000,
  }));
}

/** The first configuration. */
export function plannedConfig(zones: readonly string[], wallTime: number): ConfigDocument {
  const main = zones.length * 2;
  const pool = { group: GROUP, urgentReserveSlots: 0, spare: false };
  return {
    revision: 1,
    writeId: "initial",
    acceptedAt: wallTime,
    pools: [
      { ...pool, name: "main", minAvailable: main - 2, targetSize: main },
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
