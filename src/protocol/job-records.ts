/** Records of jobs in the store: keys, contents and their encoding. */
import { encode } from "cbor-x";
import * as v from "valibot";
import { decodeCbor } from "./cbor.ts";
import { FINAL_STATES, MAX_TASKS_PER_JOB, type JobSpec, type JobState } from "./job-spec.ts";

/** Every key of the product lies under this prefix. */
const ROOT = "teaselspool/";
/** Jobs and cancel marks, written by the entry instances that accept them. */
export const JOBS_PREFIX = `${ROOT}job/`;
/** Progress of jobs, written by the scheduler. */
export const PROGRESS_PREFIX = `${ROOT}progress/`;
/** Sessions of entry instances and the scheduler's lock. */
export const ENTRIES_PREFIX = `${ROOT}entry/`;
/** Number of jobs without a started task, per queue. */
export const PENDING_KEY = `${ROOT}pending`;
/** Instances that were ordered something lately. */
export const INSTANCE_ORDERS_KEY = `${ROOT}instance-orders`;
/** Lock of the scheduler. Its creation revision is the fencing token. */
export const SCHEDULER_KEY = `${ENTRIES_PREFIX}scheduler`;
/** Sessions under {@link ENTRIES_PREFIX}. */
export const SESSIONS_PREFIX = `${ENTRIES_PREFIX}session/`;

const CANCEL_SUFFIX = "/cancel";

/** Key of an accepted job. */
export function jobKey(id: string): string {
  return `${JOBS_PREFIX}${id}`;
}

/** Key of the mark that cancels a job. */
export function cancelKey(id: string): string {
  return `${JOBS_PREFIX}${id}${CANCEL_SUFFIX}`;
}

/** Key of a job's progress. */
export function progressKey(id: string): string {
  return `${PROGRESS_PREFIX}${id}`;
}

/** Job id of a progress key. */
export function jobIdFromProgressKey(key: string): string {
  return key.slice(PROGRESS_PREFIX.length);
}

/** Key of the progress of a maintenance wave. */
export function waveKey(wave: number): string {
  return `${ROOT}wave/${wave}`;
}

/** What a key under {@link JOBS_PREFIX} holds. */
export interface JobKey {
  readonly id: string;
  readonly kind: "job" | "cancel";
}

/** Reads a key under {@link JOBS_PREFIX}. */
export function parseJobKey(key: string): JobKey {
  const rest = key.slice(JOBS_PREFIX.length);
  return rest.endsWith(CANCEL_SUFFIX)
    ? { id: rest.slice(0, -CANCEL_SUFFIX.length), kind: "cancel" }
    : { id: rest, kind: "job" };
}

/** Where a task was started last. Recorded before the start, so that no other start is missed. */
export interface PlacementRecord {
  readonly server: string;
  /** Boot of the backend server, as Unix time in ms. */
  readonly bootedAt: number;
}

/** Recorded progress of one task. Tasks that never started have none. */
export interface TaskRecord {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  /** Highest run that was ordered; higher ones never were. */
  readonly run: number;
  readonly done: boolean;
  readonly failures: number;
  readonly checkpoint: string;
  /** Undefined if no run of the task can be under way. */
  readonly placement: PlacementRecord | undefined;
  /** Runs that were given up unheard; each may still be listed as failed, and counts then. */
  readonly givenUpRuns: readonly number[];
}

/** Recorded progress of a job. */
export interface ProgressRecord {
  readonly state: JobState;
  readonly tasks: readonly TaskRecord[];
  /** Unix time in ms at which the job reached a final state; 0 before. */
  readonly endedAtMs: number;
}

/** A live entry instance. */
export interface SessionRecord {
  readonly name: string;
  /** Address for peers, `IP:PORT`. */
  readonly peerAddress: string;
  readonly zone: string;
  /** Processor time that it may use, in cores. */
  readonly strength: number;
}

/** The scheduler's lock. */
export interface LockRecord {
  /** Name of the entry instance that has it. */
  readonly holder: string;
  /** Tells one attempt to write the lock from another. */
  readonly nonce: string;
}

/** Jobs without a started task, per queue. */
export interface PendingRecord {
  readonly pending: Readonly<Record<string, number>>;
}

/** Recorded progress of a maintenance wave. */
export interface WaveRecord {
  /** Instances whose maintenance was accepted. */
  readonly maintained: readonly string[];
  readonly completed: boolean;
}

/** Instances that were ordered something lately, with the Unix time of each order in ms. */
export interface InstanceOrdersRecord {
  readonly orders: Readonly<Record<string, number>>;
}

const OrdersSchema = v.object({ orders: v.record(v.string(), v.number()) });
const amount = v.pipe(v.number(), v.minValue(0));
const StepSpecSchema = v.looseObject({
  tasks: v.pipe(amount, v.integer(), v.maxValue(MAX_TASKS_PER_JOB)),
  demand: v.object({ cpuMillis: amount, memoryMb: amount, accelerators: amount }),
  estimateMs: amount,
  after: v.array(v.pipe(amount, v.integer())),
});
const ScheduleSchema = v.object({
  ...{ occurrences: amount, firstAtMs: v.number(), intervalMs: amount },
});
/** Checks what the scheduler's state is built from; the other fields are only passed on. */
const JobSpecSchema = v.looseObject({
  ...{ id: v.string(), queue: v.string(), pool: v.string(), spec: v.string() },
  acceptedAtMs: v.number(),
  acceptedBy: v.optional(v.string()),
  steps: v.array(StepSpecSchema),
  schedule: v.optional(v.nullable(ScheduleSchema)),
});
/** A task as it is stored: a row, because wide jobs have hundreds of them. */
const TaskRowSchema = v.tuple([
  v.number(),
  v.number(),
  v.number(),
  v.number(),
  v.boolean(),
  v.number(),
  v.string(),
  v.nullable(v.string()),
  v.number(),
  v.optional(v.array(v.number()), []),
]);
const ProgressSchema = v.object({
  state: v.picklist(["queued", "running", ...FINAL_STATES] as const),
  endedAtMs: v.number(),
  tasks: v.array(TaskRowSchema),
});
const SessionSchema = v.object({
  ...{ name: v.string(), peerAddress: v.string(), zone: v.string() },
  strength: v.optional(v.number(), 1),
});
const LockSchema = v.object({ holder: v.string(), nonce: v.string() });
const PendingSchema = v.object({ pending: v.record(v.string(), v.number()) });
const WaveSchema = v.object({ maintained: v.array(v.string()), completed: v.boolean() });

/** Encodes a job. */
export function encodeJob(job: JobSpec): Uint8Array {
  return encode(job);
}

/** Decodes a job; undefined if the bytes are none. */
export function decodeJob(bytes: Uint8Array): JobSpec | undefined {
  const decoded = decodeCbor(JobSpecSchema, bytes);
  return decoded === undefined ? undefined : (decoded as unknown as JobSpec);
}

/** Encodes the scheduler's lock. */
export function encodeLock(record: LockRecord): Uint8Array {
  return encode(record);
}

/** Decodes the scheduler's lock; undefined if the bytes are none. */
export function decodeLock(bytes: Uint8Array): LockRecord | undefined {
  return decodeCbor(LockSchema, bytes);
}

/** Encodes a job's progress. */
export function encodeProgress({ state, endedAtMs, tasks }: ProgressRecord): Uint8Array {
  return encode({ state, endedAtMs, tasks: tasks.map(toRow) });
}

/** Decodes a job's progress; undefined if the bytes are none. */
export function decodeProgress(bytes: Uint8Array): ProgressRecord | undefined {
  const stored = decodeCbor(ProgressSchema, bytes);
  if (stored === undefined) return undefined;
  return { ...stored, tasks: stored.tasks.map(fromRow) };
}

function toRow(task: TaskRecord): readonly unknown[] {
  const { occurrence, step, index, run, done, failures, checkpoint, placement } = task;
  const { server = null, bootedAt = 0 } = placement ?? {};
  const row = [occurrence, step, index, run, done, failures, checkpoint, server, bootedAt];
  return task.givenUpRuns.length === 0 ? row : [...row, task.givenUpRuns];
}

function fromRow(row: v.InferOutput<typeof TaskRowSchema>): TaskRecord {
  const [occurrence, step, index, run, done, failures, checkpoint, server, bootedAt, givenUp] = row;
  const placement = server === null ? undefined : { server, bootedAt };
  return {
    occurrence,
    step,
    index,
    run,
    done,
    failures,
    checkpoint,
    placement,
    givenUpRuns: givenUp,
  };
}

/** Encodes a session. */
export function encodeSession(session: SessionRecord): Uint8Array {
  return encode(session);
}

/** Decodes a session; undefined if the bytes are none. */
export function decodeSession(bytes: Uint8Array): SessionRecord | undefined {
  return decodeCbor(SessionSchema, bytes);
}

/** Encodes the numbers of pending jobs. */
export function encodePending(record: PendingRecord): Uint8Array {
  return encode(record);
}

/** Decodes the numbers of pending jobs; undefined if the bytes are none. */
export function decodePending(bytes: Uint8Array): PendingRecord | undefined {
  return decodeCbor(PendingSchema, bytes);
}

/** Encodes the progress of a wave. */
export function encodeWaveRecord(record: WaveRecord): Uint8Array {
  return encode(record);
}

/** Decodes the progress of a wave; undefined if the bytes are none. */
export function decodeWaveRecord(bytes: Uint8Array): WaveRecord | undefined {
  return decodeCbor(WaveSchema, bytes);
}

/** Encodes recent orders to instances. */
export function encodeInstanceOrders(record: InstanceOrdersRecord): Uint8Array {
  return encode(record);
}

/** Decodes recent orders to instances; undefined if the bytes are none. */
export function decodeInstanceOrders(bytes: Uint8Array): InstanceOrdersRecord | undefined {
  return decodeCbor(OrdersSchema, bytes);
}
