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
  /** Pool group; all pools between which instances move are in one group. */
  group: name,
  /** Availability budget: servers that stay available through planned work. */
  minAvailable: count,
  /** Servers the pool should have; the planner moves instances towards it. */
  targetSize: count,
  /** Slots that only urgent work may use. */
  urgentReserveSlots: v.optional(count, 0),
  /** The spare pool lends its slots to the others of its group. */
  spare: v.optional(v.boolean(), false),
});

/** A queue that callers submit to. */
export const QueueConfigSchema = v.strictObject({
  name,
  pool: name,
  /** Takes work without a key. */
  open: v.optional(v.boolean(), false),
  idempotent: v.optional(v.boolean(), false),
  /** Run time in milliseconds declared for its tasks; a hint. */
  declaredRunMs: v.optional(milliseconds, 1000),
});

/** Salted hash of a key; the key itself is not stored. */
export const KeyConfigSchema = v.strictObject({
  id: v.string(),
  salt: v.string(),
  /** SHA-256 of salt and key, hexadecimal. */
  hash: v.string(),
});

/** An organisation's team. */
export const TeamConfigSchema = v.strictObject({
  name,
  /** Weight among teams when the fleet is full. */
  share: v.pipe(v.number(), v.minValue(0)),
  /** Most tasks that run at once across the whole fleet. */
  upperLimit: count,
  /** Queues the team may use; empty means all. */
  queues: v.optional(v.array(name), []),
  keys: v.optional(v.array(KeyConfigSchema), []),
  /** Window that narrows the fleet's for pools whose queues the team may use; both or neither. */
  maintenanceStart: v.exactOptional(minuteOfDay),
  maintenanceEnd: v.exactOptional(minuteOfDay),
});

/** Window in which maintenance may start drains, in minutes after midnight UTC. */
export const MaintenanceConfigSchema = v.strictObject({
  startMinute: v.optional(count, 0),
  endMinute: v.optional(count, 1440),
  /** Days between two reboots of an instance; 0 turns waves off. */
  everyDays: v.optional(v.pipe(v.number(), v.minValue(0)), 0),
  /** Most servers draining or rebooting at once. */
  maxParallel: v.optional(count, 2),
});

/** Weights of the four measures, since deployments value them differently. */
export const PlannerWeightsSchema = v.strictObject({
  bufferCost: v.optional(v.number(), 1),
  rolloutTime: v.optional(v.number(), 1),
  moves: v.optional(v.number(), 1),
  closenessToShare: v.optional(v.number(), 1),
});

/** The configuration as operators store it in the key-value service. */
export const ConfigDocumentSchema = v.strictObject({
  revision: v.pipe(v.number(), v.integer(), v.minValue(1)),
  writeId: v.string(),
  /** Wall-clock time of acceptance, milliseconds since the Unix epoch. */
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
