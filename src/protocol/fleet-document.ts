import * as v from "valibot";

/** State of a backend server in its pool. */
export const ServerStateSchema = v.picklist([
  "serving",
  "draining",
  "empty",
  "moving",
  "rebooting",
  "quarantined",
  "leaving",
]);

/**
 * One backend server. It belongs to exactly one pool, because it has a single record with a single
 * `pool` field.
 */
export const ServerRecordSchema = v.strictObject({
  name: v.string(),
  address: v.string(),
  zone: v.string(),
  rack: v.string(),
  cores: v.number(),
  memoryGb: v.number(),
  accelerators: v.number(),
  slots: v.number(),
  pool: v.string(),
  state: ServerStateSchema,
  /** Pool to which the server moves once it is empty; absent for a reboot. */
  moveTo: v.optional(v.string()),
  /** Incremented with every change of pool. */
  epoch: v.number(),
  /**
   * Wall-clock time of the last reboot in milliseconds since the Unix epoch; 0 if unknown. A server
   * that joins an existing fleet has the time at which it was added.
   */
  rebootedAt: v.number(),
  /** Wall-clock time of the last state change in milliseconds since the Unix epoch. */
  since: v.number(),
});

/** An incarnation that must not start any further work. */
export const RetiredRecordSchema = v.strictObject({
  incarnation: v.string(),
  zone: v.string(),
  /** Wall-clock time of retirement in milliseconds since the Unix epoch. */
  at: v.number(),
  /** True after the fencing proof succeeded. */
  fenced: v.boolean(),
});

/**
 * All backend servers of one pool group. They share a document so that a move and its budget check
 * are one compare-and-set.
 */
export const FleetDocumentSchema = v.strictObject({
  writeId: v.string(),
  group: v.string(),
  servers: v.array(ServerRecordSchema),
  retired: v.array(RetiredRecordSchema),
});

export type ServerState = v.InferOutput<typeof ServerStateSchema>;
export type ServerRecord = Readonly<v.InferOutput<typeof ServerRecordSchema>>;
export type RetiredRecord = Readonly<v.InferOutput<typeof RetiredRecordSchema>>;

/** A fleet document and the revision at which it was read. */
export interface FleetDocument {
  /** Revision in the key-value service; not part of the stored value. */
  readonly revision: number;
  readonly writeId: string;
  readonly group: string;
  readonly servers: readonly ServerRecord[];
  readonly retired: readonly RetiredRecord[];
}

/** Key of a group's fleet document. */
export function fleetKey(group: string): string {
  return `fleet/${group}`;
}
