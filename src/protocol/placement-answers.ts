/** Answers to the question where a job would be placed if it were submitted now. */
import { encode } from "cbor-x";
import * as v from "valibot";
import { decodeCbor } from "./cbor.ts";
import type { QueueLoad } from "./queue-loads.ts";

const resources = v.object({
  cpuMillis: v.number(),
  memoryMb: v.number(),
  accelerators: v.number(),
});
const CandidateGroupSchema = v.object({
  zone: v.string(),
  servers: v.number(),
  /** Servers that would take a task now. */
  fitting: v.number(),
  /** Number of the other servers by the first reason against each. */
  reasons: v.record(v.string(), v.number()),
});
const StepPlacementSchema = v.object({
  step: v.number(),
  tasks: v.number(),
  /** `after-others`: the step waits for earlier steps of the job. */
  class: v.picklist(["long-running", "on-time", "late", "after-others"]),
  /** Steps of the pool with waiting tasks that are placed first. */
  stepsAhead: v.number(),
  /** Latest start for the job to be on time, in ms from now. */
  latestStartInMs: v.number(),
  withinCap: v.boolean(),
  groups: v.array(CandidateGroupSchema),
});
const PlacementExplanationSchema = v.object({
  /** Name of the entry instance that schedules. */
  scheduler: v.string(),
  steps: v.array(StepPlacementSchema),
  /** Undefined on queues open to all and for organisations that are not configured. */
  cap: v.exactOptional(v.object({ used: resources, cap: resources })),
});

/** Backend servers of one zone as candidates for a step's tasks. */
export type CandidateGroup = Readonly<v.InferOutput<typeof CandidateGroupSchema>>;
/** Where the tasks of one step would go. */
export type StepPlacement = Readonly<v.InferOutput<typeof StepPlacementSchema>>;
/** What only the scheduler knows. */
export type PlacementExplanation = Readonly<v.InferOutput<typeof PlacementExplanationSchema>>;

/** Where a job would go now and why, with the age of everything that the answer is based on. */
export interface PlacementAnswer {
  /** Name of the entry instance that was asked. */
  readonly answeredBy: string;
  readonly queue: string;
  readonly pool: string;
  readonly priority: number;
  readonly organisation: string | undefined;
  readonly config: { readonly version: number; readonly ageMs: number };
  /** Undefined while no instance holds the lock. */
  readonly scheduler: { readonly name: string; readonly address: string } | undefined;
  /** Undefined while there is no report of the last 1.5 s, as in calm operation. */
  readonly load: { readonly ageMs: number; readonly queue: QueueLoad | undefined } | undefined;
  readonly rejection: { readonly reason: string; readonly retryAfterS: number } | undefined;
  /** Undefined if the scheduler did not answer. */
  readonly placement: (PlacementExplanation & { readonly ageMs: number }) | undefined;
}

/** Encodes the scheduler's part of an answer. */
export function encodeExplanation(explanation: PlacementExplanation): Uint8Array {
  return encode(explanation);
}

/** Decodes the scheduler's part of an answer; undefined if it is malformed or empty. */
export function decodeExplanation(data: Uint8Array): PlacementExplanation | undefined {
  return decodeCbor(PlacementExplanationSchema, data);
}
