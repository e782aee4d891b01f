/** HTTP API of a backend server, see section 10.2 of docs/design.md. Bodies are base64-encoded. */
import * as v from "valibot";
import type {
  BackendError,
  BackendEvents,
  Payload,
  TaskRecord,
  TaskResult,
  TaskSpec,
} from "../ports/backend-server.ts";

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const milliseconds = v.pipe(v.number(), v.minValue(0));
const payload = { body: v.pipe(v.string(), v.base64()), contentType: v.string() };

const task = {
  requestId: v.string(),
  attempt: count,
  home: v.string(),
  chargedTo: v.string(),
  team: v.exactOptional(v.string()),
  queue: v.string(),
  priority: v.picklist(["urgent", "normal", "batch"]),
  idempotent: v.boolean(),
};

const result = v.variant("kind", [
  v.object({ kind: v.literal("answer"), ...payload }),
  v.object({ kind: v.literal("failure"), reason: v.string() }),
  v.object({ kind: v.literal("stopped"), checkpointed: v.boolean() }),
]);

const record = v.object({
  ...task,
  state: v.picklist(["running", "finished"]),
  result: v.exactOptional(result),
});

/** Body of `POST /lease`. */
export const AcquireLeaseSchema = v.object({ holder: v.string(), ttlMs: milliseconds });
/** Reply of `POST /lease`. */
export const LeaseGrantSchema = v.object({ leaseId: v.string(), bootId: v.string() });
/** Body of `PUT /lease/{leaseId}`. */
export const RenewLeaseSchema = v.object({ ttlMs: milliseconds });
/** Reply of `PUT /lease/{leaseId}`; some servers reply without a body. */
export const RenewalSchema = v.optional(v.object({ next: v.exactOptional(count) }), {});
/** Body of `DELETE /lease/{leaseId}`. */
export const ReleaseLeaseSchema = v.object({ successor: v.exactOptional(v.string()) });
/** Body of `POST /tasks`. */
export const StartTaskSchema = v.object({ leaseId: v.string(), ...task, ...payload });
/** Body of all other `POST` calls. */
export const LeaseBodySchema = v.object({ leaseId: v.string() });
/** Reply of `GET /tasks`. */
export const TaskListSchema = v.object({ tasks: v.array(record) });
/** Reply of `GET /events`. */
export const EventsSchema = v.object({
  next: count,
  finished: v.array(record),
  leaving: v.boolean(),
});
/** Body of an error reply. */
export const BackendErrorSchema = v.variant("error", [
  v.object({ error: v.literal("held"), holder: v.string() }),
  v.object({ error: v.picklist(["lease-lapsed", "duplicate", "full", "leaving"]) }),
  v.object({ error: v.picklist(["rejected", "unavailable"]), detail: v.string() }),
]);

type TaskRecordBody = v.InferOutput<typeof record>;

/** Converts a task spec to the body of `POST /tasks`. */
export function toStartBody(
  leaseId: string,
  spec: TaskSpec,
): v.InferOutput<typeof StartTaskSchema> {
  const { team, payload: taskPayload, ...rest } = spec;
  return {
    leaseId,
    ...rest,
    ...(team === undefined ? {} : { team }),
    ...encodePayload(taskPayload),
  };
}

/** Converts the body of `POST /tasks` to a task spec. */
export function toTaskSpec(start: v.InferOutput<typeof StartTaskSchema>): TaskSpec {
  const { leaseId: _leaseId, body, contentType, team, ...rest } = start;
  return { ...rest, team, payload: decodePayload({ body, contentType }) };
}

/** Converts a task record to its form in the replies of `GET /tasks` and `GET /events`. */
export function toRecordBody({ team, result: ended, ...rest }: TaskRecord): TaskRecordBody {
  return {
    ...rest,
    ...(team === undefined ? {} : { team }),
    ...(ended === undefined ? {} : { result: toResultBody(ended) }),
  };
}

/** Converts an item of `GET /tasks` or `GET /events` to a task record. */
export function toTaskRecord({ team, result: ended, ...rest }: TaskRecordBody): TaskRecord {
  return { ...rest, team, ...(ended === undefined ? {} : { result: toTaskResult(ended) }) };
}

/** Converts the reply of `GET /events` to events. */
export function toBackendEvents(body: v.InferOutput<typeof EventsSchema>): BackendEvents {
  return { ...body, finished: body.finished.map(toTaskRecord) };
}

/** HTTP status for each error that a backend server can return. */
export const BACKEND_ERROR_STATUS: Readonly<
  Record<Exclude<BackendError["kind"], "unreachable" | "ambiguous">, number>
> = { held: 409, "lease-lapsed": 409, duplicate: 409, full: 429, leaving: 410, rejected: 400 };

function encodePayload({ contentType, body }: Payload): { body: string; contentType: string } {
  return { contentType, body: Buffer.from(body).toString("base64") };
}

function decodePayload({ contentType, body }: { body: string; contentType: string }): Payload {
  return { contentType, body: Buffer.from(body, "base64") };
}

function toResultBody(ended: TaskResult): v.InferOutput<typeof result> {
  return ended.kind === "answer"
    ? { kind: "answer", ...encodePayload(ended.payload) }
    : { ...ended };
}

function toTaskResult(ended: v.InferOutput<typeof result>): TaskResult {
  return ended.kind === "answer" ? { kind: "answer", payload: decodePayload(ended) } : ended;
}
