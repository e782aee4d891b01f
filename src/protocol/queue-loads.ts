/** Load of queues near their limit, as the scheduler reports it to every entry instance. */
import { encode } from "cbor-x";
import * as v from "valibot";
import { decodeCbor } from "./cbor.ts";

const duration = v.pipe(v.number(), v.finite(), v.minValue(0));

const OrganisationLoadSchema = v.object({
  name: v.string(),
  /** Time in ms that the organisation's own work takes at the full size of the pool. */
  backlogMs: duration,
  /** Its weight over the weights of all organisations with work in the queue. */
  share: v.pipe(v.number(), v.minValue(0), v.maxValue(1)),
  /** True if its part of the queue's work is larger than its share. */
  beyondShare: v.boolean(),
});

const QueueLoadSchema = v.object({
  queue: v.string(),
  /** True while jobs that can't end within the limit are rejected. */
  rejecting: v.boolean(),
  /** Expected end of a job of typical size that arrives now, in ms from the time of the report. */
  endMs: duration,
  /** Time in ms within which that job must end before its caller gives up. */
  limitMs: duration,
  /** Time in ms until the work that goes before a job that can be on time is done. */
  onTimeMs: duration,
  /** Time in ms until all work that goes before a late job is done. */
  backlogMs: duration,
  /** Expected over declared durations of the queue; at least 1. */
  durationFactor: v.pipe(v.number(), v.finite(), v.minValue(1)),
  /** Declared work of a job of typical size, in core milliseconds. */
  typicalCoreMs: duration,
  organisations: v.array(OrganisationLoadSchema),
});

const LoadReportSchema = v.object({
  /** Fencing token of the scheduler. */
  token: v.number(),
  /** Unix time in ms at which the load was measured. */
  atMs: v.number(),
  /** Queues near their limit; a queue that is left out takes every job. */
  queues: v.array(QueueLoadSchema),
});

/** Work of one organisation in a queue. */
export type OrganisationLoad = Readonly<v.InferOutput<typeof OrganisationLoadSchema>>;
/** Load of one queue near its limit. */
export type QueueLoad = Readonly<v.InferOutput<typeof QueueLoadSchema>>;
/** Load of all queues near their limit, measured by one scheduler at one time. */
export type LoadReport = Readonly<v.InferOutput<typeof LoadReportSchema>>;

/** Encodes a report for the peers. */
export function encodeLoadReport(report: LoadReport): Uint8Array {
  return encode(report);
}

/** Decodes a peer's report; undefined if the bytes are malformed. */
export function decodeLoadReport(data: Uint8Array): LoadReport | undefined {
  return decodeCbor(LoadReportSchema, data);
}
