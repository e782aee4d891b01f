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

/** One backend server. It is in exactly one pool, because it has one record with one field. */
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
  /** Pool the server goes to once empty; absent for a reboot. */
  moveTo: v.optional(v.string()),
  /** Goes up with every change of pool. */
  epoch: v.number(),
  /** Wall-clock time of the last reboot, milliseconds since the Unix epoch; 0 if unknown. */
  rebootedAt: v.number(),
  /** Wall-clock time at which the state was entered. */
  since: v.number(),
});

/** An incarnation that may start no further work. */
export const RetiredRecordSchema = v.strictObject({
  incarnation: v.string(),
  zone: v.string(),
  /** Wall-clock time of the mark, milliseconds since the Unix epoch. */
  at: v.number(),
  /** Set once the fencing proof succeeded. */
  fenced: v.boolean(),
});

/** All backend servers of one pool group, so that a move and its budget check are one CAS. */
export const FleetDocumentSchema = v.strictObject({
  writeId: v.string(),
  group: v.string(),
  servers: v.array(ServerRecordSchema),
  retired: v.array(RetiredRecordSchema),
});

export type ServerState = v.InferOutput<typeof ServerStateSchema>;
export type ServerRecord = Readonly<v.InferOutput<typeof ServerRecordSchema>>;
export type RetiredRecord = Readonly<v.InferOutput<typeof RetiredRecordSchema>>;

/** The fleet document with the revision it was read at. */
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
