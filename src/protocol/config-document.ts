import * as v from "valibot";

const name = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "lower-case letters, digits and dashes"),
);
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
/** Time of day in minutes after midnight UTC. */
const minuteOfDay = v.pipe(count, v.maxValue(1440));
const milliseconds = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A pool of backend servers. */
export const PoolConfigSchema = v.strictObject({
  name,
  /** Pool group. Instances move only between pools of the same group. */
  group: name,
  /** Availability budget: servers that must stay available during planned maintenance. */
  minAvailable: count,
  /** Number of servers that the planner tries to reach by moving instances. */
  targetSize: count,
  /** Slots that only urgent work may use. */
  urgentReserveSlots: v.optional(count, 0),
  /** The spare pool lends its slots to the other pools of its group. */
  spare: v.optional(v.boolean(), false),
});

/** A queue to which callers submit requests. */
export const QueueConfigSchema = v.strictObject({
  name,
  pool: name,
  /** Accepts requests without an API key. */
  open: v.optional(v.boolean(), false),
  idempotent: v.optional(v.boolean(), false),
  /** Expected run time of its tasks in milliseconds. Only a hint. */
  declaredRunMs: v.optional(milliseconds, 1000),
});

/** Salted hash of an API key. The key itself is not stored. */
export const KeyConfigSchema = v.strictObject({
  id: v.string(),
  salt: v.string(),
  /** Hexadecimal SHA-256 of salt and key. */
  hash: v.string(),
});

/** A team of an organisation. */
export const TeamConfigSchema = v.strictObject({
  name,
  /** Weight relative to other teams when the fleet is full. */
  share: v.pipe(v.number(), v.minValue(0)),
  /** Maximum number of concurrent tasks across the whole fleet. */
  upperLimit: count,
  /** Queues that the team may use. Empty allows all queues. */
  queues: v.optional(v.array(name), []),
  keys: v.optional(v.array(KeyConfigSchema), []),
  /**
   * Narrows the fleet's maintenance window for pools whose queues the team may use. Either both
   * times are set or neither.
   */
  maintenanceStart: v.exactOptional(minuteOfDay),
  maintenanceEnd: v.exactOptional(minuteOfDay),
});

/** Maintenance settings. Drains start only within the window, in minutes after midnight UTC. */
export const MaintenanceConfigSchema = v.strictObject({
  startMinute: v.optional(count, 0),
  endMinute: v.optional(count, 1440),
  /** Days between two reboots of an instance. 0 disables maintenance waves. */
  everyDays: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
  /** Maximum number of servers that drain or reboot at the same time. */
  maxParallel: v.optional(count, 2),
});

/** Weights of the planner's four measures, which deployments prioritise differently. */
export const PlannerWeightsSchema = v.strictObject({
  bufferCost: v.optional(v.number(), 1),
  rolloutTime: v.optional(v.number(), 1),
  moves: v.optional(v.number(), 1),
  closenessToShare: v.optional(v.number(), 1),
});

/** The configuration that operators store in the key-value service. */
export const ConfigDocumentSchema = v.strictObject({
  revision: v.pipe(v.number(), v.integer(), v.minValue(1)),
  writeId: v.string(),
  /** Wall-clock time of acceptance in milliseconds since the Unix epoch. */
  acceptedAt: v.number(),
  pools: v.array(PoolConfigSchema),
  queues: v.array(QueueConfigSchema),
  teams: v.array(TeamConfigSchema),
  maintenance: v.optional(MaintenanceConfigSchema, {}),
  weights: v.optional(PlannerWeightsSchema, {}),
});

type DeepReadonly<T> = T extends (infer U)[]
  ? readonly DeepReadonly<U>[]
  : T extends object
    ? { readonly [K in keyof T]: DeepReadonly<T[K]> }
    : T;

export type PoolConfig = DeepReadonly<v.InferOutput<typeof PoolConfigSchema>>;
export type QueueConfig = DeepReadonly<v.InferOutput<typeof QueueConfigSchema>>;
export type TeamConfig = DeepReadonly<v.InferOutput<typeof TeamConfigSchema>>;
export type KeyConfig = DeepReadonly<v.InferOutput<typeof KeyConfigSchema>>;
export type ConfigDocument = DeepReadonly<v.InferOutput<typeof ConfigDocumentSchema>>;

/** Key of the configuration document in the key-value service. */
export const CONFIG_KEY = "config";
