/** Keys, contents and encoding of the records of jobs in the store. */
import { encode } from "cbor-x";
import * as v from "valibot";
import { decodeCbor } from "./cbor.ts";
import { FINAL_STATES, MAX_TASKS_PER_JOB, type JobSpec, type JobState } from "./job-spec.ts";

/** Prefix of all keys of this program. */
const KEY_PREFIX = "teaselspool/";
/** Jobs and cancellation marks, written by the entry instances that accept them. */
export const JOBS_PREFIX = `${KEY_PREFIX}job/`;
/** Progress of jobs, written by the scheduler. */
export const PROGRESS_PREFIX = `${KEY_PREFIX}progress/`;
/** Sessions of entry instances and the scheduler lock. */
export const ENTRIES_PREFIX = `${KEY_PREFIX}entry/`;
/** Number of jobs without a started task, per queue. */
export const PENDING_JOBS_KEY = `${KEY_PREFIX}pending`;
/** Recent orders to instances. */
export const INSTANCE_ORDERS_KEY = `${KEY_PREFIX}instance-orders`;
/** What the scheduler has learnt about durations and servers; content in `learnt-record.ts`. */
export const LEARNT_KEY = `${KEY_PREFIX}learnt`;
/** Ages of the last tenures of the scheduler lock. */
export const TENURE_AGES_KEY = `${KEY_PREFIX}tenure-ages`;
/** Scheduler lock. Its creation revision is the fencing token. */
export const SCHEDULER_KEY = `${ENTRIES_PREFIX}scheduler`;
/** Sessions under {@link ENTRIES_PREFIX}. */
export const SESSIONS_PREFIX = `${ENTRIES_PREFIX}session/`;

/** Major type of arrays in the first byte of a CBOR item. */
const CBOR_ARRAY = 0x80;
const CANCEL_SUFFIX = "/cancel";

/** Key of an accepted job. */
export function jobKey(id: string): string {
  return `${JOBS_PREFIX}${id}`;
}

/** Key of the cancellation mark of a job. */
export function cancelKey(id: string): string {
  return `${JOBS_PREFIX}${id}${CANCEL_SUFFIX}`;
}

/** Key of a job's progress. */
export function progressKey(id: string): string {
  return `${PROGRESS_PREFIX}${id}`;
}

/** Job id in a progress key. */
export function jobIdFromProgressKey(key: string): string {
  return key.slice(PROGRESS_PREFIX.length);
}

/** Key of the progress of a maintenance wave. */
export function waveKey(wave: number): string {
  return `${KEY_PREFIX}wave/${wave}`;
}

/** A parsed key under {@link JOBS_PREFIX}. */
export interface JobKey {
  readonly id: string;
  readonly kind: "job" | "cancel";
}

/** Parses a key under {@link JOBS_PREFIX}. */
export function parseJobKey(key: string): JobKey {
  const rest = key.slice(JOBS_PREFIX.length);
  return rest.endsWith(CANCEL_SUFFIX)
    ? { id: rest.slice(0, -CANCEL_SUFFIX.length), kind: "cancel" }
    : { id: rest, kind: "job" };
}

/**
 * Bound of the leases that orders for former boots may have given to a boot, recorded by a scheduler that
 * had listed the run there.
 */
export interface LeaseDoubt {
  /** Fencing token of the scheduler. */
  readonly token: number;
  /** Time in ms after the begin of its tenure at which such leases have lapsed. */
  readonly endsMs: number;
}

/** Where a task was last started. Written before the start, so that no start goes unrecorded. */
export interface PlacementRecord {
  readonly server: string;
  /** Boot of the backend server, as Unix time in ms. */
  readonly bootedAt: number;
  /**
   * True once a list of this boot has shown the run, and no order for a former boot can have given this
   * one a longer lease than schedulers grant.
   */
  readonly leaseAsGranted: boolean;
  /** Undefined until a list of this boot has shown the run. */
  readonly leaseDoubt?: LeaseDoubt | undefined;
}

/** Stored progress of one task. Tasks that never started have none. */
export interface TaskProgressRecord {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  /** Highest run number that was ever ordered. */
  readonly run: number;
  readonly done: boolean;
  readonly failures: number;
  readonly checkpoint: string;
  /** Undefined if no run of the task can be active. */
  readonly placement: PlacementRecord | undefined;
  /**
   * Runs that were abandoned without a report from their backend server. If the server later lists
   * one as failed, it counts as a failure.
   */
  readonly givenUpRuns: readonly number[];
}

/** Stored progress of a job. */
export interface JobProgressRecord {
  readonly state: JobState;
  readonly tasks: readonly TaskProgressRecord[];
  /** Unix time in ms at which the job reached a final state; 0 until then. */
  readonly endedAtMs: number;
}

/** A live entry instance. */
export interface SessionRecord {
  readonly name: string;
  /** Address for peers, `IP:PORT`. */
  readonly peerAddress: string;
  readonly zone: string;
  /** CPU time available to the instance, in cores. */
  readonly strength: number;
}

/** The scheduler lock. */
export interface LockRecord {
  /** Name of the entry instance that holds the lock. */
  readonly holder: string;
  /** Distinguishes attempts to write the lock. */
  readonly nonce: string;
}

/** Age of a tenure of the scheduler lock. */
export interface TenureAge {
  /** Fencing token of the tenure. */
  readonly token: number;
  /** Time in ms that had at least passed since its begin when the record was written. */
  readonly ageMs: number;
}

/** Number of jobs without a started task, per queue. */
export interface PendingJobsRecord {
  readonly pending: Readonly<Record<string, number>>;
}

/** Stored progress of a maintenance wave. */
export interface WaveRecord {
  /** Instances whose maintenance was accepted. */
  readonly maintained: readonly string[];
  readonly completed: boolean;
}

/** Instances that received an order recently, with the Unix time of the order in ms. */
export interface InstanceOrdersRecord {
  readonly orders: Readonly<Record<string, number>>;
}

const InstanceOrdersSchema = v.object({ orders: v.record(v.string(), v.number()) });
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
/** Validates only the fields from which the scheduler builds its state; others are kept as stored. */
const JobSpecSchema = v.looseObject({
  ...{ id: v.string(), queue: v.string(), pool: v.string(), spec: v.string() },
  acceptedAtMs: v.number(),
  maxAttempts: v.optional(v.pipe(amount, v.integer())),
  steps: v.array(StepSpecSchema),
  schedule: v.optional(v.nullable(ScheduleSchema)),
});
/**
 * Stored form of a {@link TaskProgressRecord}. It is a compact tuple, because wide jobs have
 * hundreds of tasks.
 */
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
  v.optional(v.boolean(), false),
  v.optional(v.number()),
  v.optional(v.number()),
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
const TenureAgesSchema = v.object({
  tenures: v.array(v.object({ token: v.number(), ageMs: amount })),
});
const PendingSchema = v.object({ pending: v.record(v.string(), v.number()) });
const WaveSchema = v.object({ maintained: v.array(v.string()), completed: v.boolean() });

/** Encodes a job. */
export function encodeJob(job: JobSpec): Uint8Array {
  return encode(job);
}

/** Decodes a job; undefined if the bytes are malformed. */
export function decodeJob(bytes: Uint8Array): JobSpec | undefined {
  const decoded = decodeCbor(JobSpecSchema, bytes);
  return decoded === undefined ? undefined : (decoded as unknown as JobSpec);
}

/** Encodes the scheduler lock. */
export function encodeLock(record: LockRecord): Uint8Array {
  return encode(record);
}

/** Decodes the scheduler lock; undefined if the bytes are malformed. */
export function decodeLock(bytes: Uint8Array): LockRecord | undefined {
  return decodeCbor(LockSchema, bytes);
}

/** Encodes the ages of tenures. */
export function encodeTenureAges(tenures: readonly TenureAge[]): Uint8Array {
  return encode({ tenures });
}

/** Decodes the ages of tenures; undefined if the bytes are malformed. */
export function decodeTenureAges(bytes: Uint8Array): readonly TenureAge[] | undefined {
  return decodeCbor(TenureAgesSchema, bytes)?.tenures;
}

/** Encodes a job's progress. */
export function encodeProgress({ state, endedAtMs, tasks }: JobProgressRecord): Uint8Array {
  return encode({ state, endedAtMs, tasks: tasks.map(toRow) });
}

/** Encodes the row of one task for {@link encodeProgressRows}. */
export function encodeTaskRow(task: TaskProgressRecord): Uint8Array {
  // The copy is of the right size; the encoder returns a part of a larger buffer.
  return Uint8Array.from(encode(toRow(task)));
}

/** Like {@link encodeProgress}, from rows that were encoded before. */
export function encodeProgressRows(
  state: JobState,
  endedAtMs: number,
  rows: readonly Uint8Array[],
): Uint8Array {
  const head = encode({ state, endedAtMs, tasks: rows.length });
  // The head ends with the number of rows as an unsigned integer, major type 0 of CBOR. With major
  // type 4 the same bytes begin an array of that length.
  const lengthAt = head.length - uintBytes(rows.length);
  let size = head.length;
  for (const row of rows) size += row.length;
  const encoded = new Uint8Array(size);
  encoded.set(head);
  encoded[lengthAt] = (head[lengthAt] ?? 0) | CBOR_ARRAY;
  let offset = head.length;
  for (const row of rows) {
    encoded.set(row, offset);
    offset += row.length;
  }
  return encoded;
}

/** Bytes of an unsigned integer in CBOR. */
function uintBytes(value: number): number {
  if (value < 24) return 1;
  if (value < 0x1_00) return 2;
  return value < 0x1_00_00 ? 3 : 5;
}

/** Decodes a job's progress; undefined if the bytes are malformed. */
export function decodeProgress(bytes: Uint8Array): JobProgressRecord | undefined {
  const stored = decodeCbor(ProgressSchema, bytes);
  if (stored === undefined) return undefined;
  return { ...stored, tasks: stored.tasks.map(fromRow) };
}

function toRow(task: TaskProgressRecord): readonly unknown[] {
  const { occurrence, step, index, run, done, failures, checkpoint, placement } = task;
  const { server = null, bootedAt = 0, leaseAsGranted = false, leaseDoubt } = placement ?? {};
  const row = [occurrence, step, index, run, done, failures, checkpoint, server, bootedAt];
  // Columns at the end that have their default are left out.
  if (leaseDoubt !== undefined)
    return [...row, task.givenUpRuns, leaseAsGranted, leaseDoubt.token, leaseDoubt.endsMs];
  if (leaseAsGranted) return [...row, task.givenUpRuns, leaseAsGranted];
  return task.givenUpRuns.length === 0 ? row : [...row, task.givenUpRuns];
}

function fromRow(row: v.InferOutput<typeof TaskRowSchema>): TaskProgressRecord {
  const [occurrence, step, index, run, done, failures, checkpoint] = row;
  const [, , , , , , , server, bootedAt, givenUpRuns, leaseAsGranted, token, endsMs] = row;
  const leaseDoubt = token === undefined || endsMs === undefined ? undefined : { token, endsMs };
  const placement = server === null ? undefined : { server, bootedAt, leaseAsGranted, leaseDoubt };
  return {
    occurrence,
    step,
    index,
    run,
    done,
    failures,
    checkpoint,
    placement,
    givenUpRuns,
  };
}

/** Encodes a session. */
export function encodeSession(session: SessionRecord): Uint8Array {
  return encode(session);
}

/** Decodes a session; undefined if the bytes are malformed. */
export function decodeSession(bytes: Uint8Array): SessionRecord | undefined {
  return decodeCbor(SessionSchema, bytes);
}

/** Encodes the numbers of pending jobs. */
export function encodePendingJobs(record: PendingJobsRecord): Uint8Array {
  return encode(record);
}

/** Decodes the numbers of pending jobs; undefined if the bytes are malformed. */
export function decodePendingJobs(bytes: Uint8Array): PendingJobsRecord | undefined {
  return decodeCbor(PendingSchema, bytes);
}

/** Encodes the progress of a wave. */
export function encodeWaveRecord(record: WaveRecord): Uint8Array {
  return encode(record);
}

/** Decodes the progress of a wave; undefined if the bytes are malformed. */
export function decodeWaveRecord(bytes: Uint8Array): WaveRecord | undefined {
  return decodeCbor(WaveSchema, bytes);
}

/** Encodes recent orders to instances. */
export function encodeInstanceOrders(record: InstanceOrdersRecord): Uint8Array {
  return encode(record);
}

/** Decodes recent orders to instances; undefined if the bytes are malformed. */
export function decodeInstanceOrders(bytes: Uint8Array): InstanceOrdersRecord | undefined {
  return decodeCbor(InstanceOrdersSchema, bytes);
}
