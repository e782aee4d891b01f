/**
 * Encoding of orders that the scheduler sends through executors, and of their results. Every order
 * and every result is one flat array. They are the most frequent messages of the scheduler, so the
 * checks are written by hand: a schema costs several times as much as the decoding itself.
 */
import { decode, encode } from "cbor-x";
import { Err, Ok, type Result } from "ts-results";
import type { ClockReading } from "../ports/clock.ts";
import type {
  BackendClock,
  EndedRun,
  ListedRun,
  OrderError,
  PaceOrder,
  PollOrder,
  RunEnd,
  RunLists,
  StartOrder,
  StopOrder,
} from "../ports/job-backend.ts";

/** Version of the encoding; another version is refused. */
const BATCH_VERSION = 2;

const KINDS = ["start", "stop", "poll", "pace"] as const;
const RUN_END_CODES = {
  ...{ done: 0, failed: 1, stopped: 2, lapsed: 3, broken: 4, alone: 5 },
} as const satisfies Readonly<Record<RunEnd, number>>;
const RUN_ENDS = Object.keys(RUN_END_CODES) as readonly RunEnd[];
const ERROR_CODES = {
  ...{ fenced: 0, "old-run": 1, late: 2, "no-room": 3, ticket: 4, gone: 5 },
  ...{ "not-done": 6, "not-sent": 7, unknown: 8 },
} as const satisfies Readonly<Record<OrderError["kind"], number>>;
const ERROR_KINDS = Object.keys(ERROR_CODES) as readonly OrderError["kind"][];
const [CLOCK_RESULT, LISTS_RESULT, ERROR_RESULT, NO_SPEC_RESULT] = [0, 1, 2, 3];
/** Columns of a run in a list. */
const RUN_COLUMNS = 5;

/** A start without its job spec, which is sent once and then named by a number. */
export interface RelayedStart {
  readonly kind: "start";
  readonly order: Omit<StartOrder, "spec">;
  /** Number of the job spec on this channel. */
  readonly spec: number;
}

/** An order as ordered by the scheduler. */
export type RelayedContent =
  | RelayedStart
  | { readonly kind: "stop"; readonly order: StopOrder }
  | { readonly kind: "poll"; readonly order: PollOrder }
  | { readonly kind: "pace"; readonly order: PaceOrder };

/** An order and the backend server that it is for. */
export type RelayedOrder = (RelayedContent | { readonly kind: "unknown" }) & {
  /** Number of the order on its channel. */
  readonly id: number;
  /** Address of the backend server, `IP:PORT`. */
  readonly address: string;
  /** Id of the intended incarnation of the backend server. */
  readonly server: string;
};

/** Orders sent to an executor together. */
export interface OrderBatch {
  /** Identifies what one scheduler sends over one connection. */
  readonly channel: string;
  /** Longest time in ms for which the executor may hold its reply to wait for results. */
  readonly holdMs: number;
  /** From this time on, by either clock of the executor, nothing is sent. Required if there are orders. */
  readonly expiry?: ClockReading | undefined;
  /** Job specs that this channel has not carried before, with their numbers. */
  readonly specs: readonly (readonly [number, string])[];
  readonly orders: readonly RelayedOrder[];
}

/** What became of an order; `no-spec`: nothing was sent because the job spec is not known. */
export type RelayedResult = Result<BackendClock | RunLists, OrderError> | "no-spec";

/** Results that an executor returns together. */
export interface OrderResults {
  /** False if the orders of the batch were refused as a whole; nothing was done. */
  readonly accepted: boolean;
  /** The executor's clocks at the time of the reply. */
  readonly clocks: ClockReading;
  readonly results: readonly { readonly id: number; readonly result: RelayedResult }[];
}

/** An encoded result; rows are collected until a reply leaves. */
export type ResultRow = readonly unknown[];

/** Encodes a batch of orders. */
export function encodeOrderBatch(batch: OrderBatch): Uint8Array {
  const { channel, holdMs, expiry, specs, orders } = batch;
  const times = expiry === undefined ? [] : [expiry.now, expiry.wallTime];
  return encode([BATCH_VERSION, channel, holdMs, times, specs, orders.map(orderRow)]);
}

/** Decodes a batch; undefined if it is malformed. Orders of an unknown kind are kept as such. */
export function decodeOrderBatch(data: Uint8Array): OrderBatch | undefined {
  const batch = decodeArray(data);
  if (batch === undefined) return undefined;
  const [version, channel, holdMs, times, specs, rows] = batch;
  if (version !== BATCH_VERSION || typeof channel !== "string" || !isNumber(holdMs))
    return undefined;
  if (!Array.isArray(specs) || !Array.isArray(rows) || !specs.every(isSpec)) return undefined;
  const expiry = parseReading(times);
  if (expiry === undefined && rows.length > 0) return undefined;
  const orders: RelayedOrder[] = [];
  for (const row of rows as unknown[]) {
    const order = Array.isArray(row) ? parseOrder(row) : undefined;
    if (order === undefined) return undefined;
    orders.push(order);
  }
  return { channel, holdMs, expiry, specs, orders };
}

/** Encodes the result of one order as a row. */
export function resultRow(id: number, result: RelayedResult): ResultRow {
  if (result === "no-spec") return [id, NO_SPEC_RESULT];
  if (result.err) {
    const { kind } = result.val;
    const detail = "detail" in result.val ? result.val.detail : "";
    return [id, ERROR_RESULT, ERROR_CODES[kind], detail];
  }
  const { val } = result;
  if (!("running" in val)) return [id, CLOCK_RESULT, val.clockMs];
  const running: unknown[] = [];
  for (const run of val.running)
    running.push(run.task, run.run, run.checkpoint, run.percent, run.load);
  const ended: unknown[] = [];
  for (const run of val.ended)
    ended.push(run.sequence, run.task, run.run, RUN_END_CODES[run.end], run.checkpoint);
  return [id, LISTS_RESULT, val.clockMs, val.bootedAt ?? null, running, ended];
}

/** Approximate encoded size of a result in bytes. */
export function resultBytes(result: RelayedResult): number {
  if (result === "no-spec" || result.err || !("running" in result.val)) return 40;
  let bytes = 40;
  for (const { task, checkpoint } of result.val.running)
    bytes += 30 + 3 * (task.length + checkpoint.length);
  for (const { task, checkpoint } of result.val.ended)
    bytes += 30 + 3 * (task.length + checkpoint.length);
  return bytes;
}

/** Encodes a reply of an executor. */
export function encodeOrderResults(
  accepted: boolean,
  { now, wallTime }: ClockReading,
  rows: readonly ResultRow[],
): Uint8Array {
  return encode([BATCH_VERSION, accepted, [now, wallTime], rows]);
}

/** Decodes a reply of an executor; undefined if any part of it is malformed. */
export function decodeOrderResults(data: Uint8Array): OrderResults | undefined {
  const reply = decodeArray(data);
  if (reply === undefined) return undefined;
  const [version, accepted, times, rows] = reply;
  if (version !== BATCH_VERSION || typeof accepted !== "boolean" || !Array.isArray(rows))
    return undefined;
  const clocks = parseReading(times);
  if (clocks === undefined) return undefined;
  const results: { id: number; result: RelayedResult }[] = [];
  for (const row of rows as unknown[]) {
    if (!Array.isArray(row) || !isNumber(row[0])) return undefined;
    const result = parseResult(row);
    if (result === undefined) return undefined;
    results.push({ id: row[0], result });
  }
  return { accepted, clocks, results };
}

function decodeArray(data: Uint8Array): readonly unknown[] | undefined {
  try {
    const value: unknown = decode(data);
    return Array.isArray(value) ? value : undefined;
  } catch {
    // The bytes are not valid CBOR. The caller reports it, since it knows their source.
    return undefined;
  }
}

function parseReading(times: unknown): ClockReading | undefined {
  if (!Array.isArray(times)) return undefined;
  const [now, wallTime] = times as readonly unknown[];
  return isNumber(now) && isNumber(wallTime) ? { now, wallTime } : undefined;
}

function orderRow(relayed: RelayedOrder): readonly unknown[] {
  const { id, address, server } = relayed;
  switch (relayed.kind) {
    case "start": {
      const { token, task, run, deadlineMs, checkpoint, ticket } = relayed.order;
      const row = [id, 0, address, server, token, task, run, deadlineMs, relayed.spec];
      if (checkpoint !== undefined || ticket !== undefined)
        row.push(checkpoint ?? (null as never), ticket ?? (null as never));
      return row;
    }
    case "stop": {
      const { token, task, run } = relayed.order;
      return [id, 1, address, server, token, task, run];
    }
    case "poll": {
      const { token, deadlineMs, acknowledged, waitMs } = relayed.order;
      return [id, 2, address, server, token, deadlineMs ?? null, acknowledged, waitMs];
    }
    case "pace": {
      const { token, task, run, percent } = relayed.order;
      return [id, 3, address, server, token, task, run, percent];
    }
    case "unknown":
      return [id, KINDS.length, address, server, 0];
  }
}

function parseOrder(row: readonly unknown[]): RelayedOrder | undefined {
  const [id, kind, address, server, token, a, b, c, d, e, f] = row;
  if (!isNumber(id) || !isNumber(kind)) return undefined;
  if (typeof address !== "string" || typeof server !== "string" || !isNumber(token))
    return undefined;
  const target = { id, address, server };
  switch (KINDS[kind]) {
    case "start": {
      if (typeof a !== "string" || !isNumber(b) || !isNumber(c) || !isNumber(d)) return undefined;
      if (!isOptionalString(e) || !isOptionalString(f)) return undefined;
      const order = {
        ...{ token, task: a, run: b, deadlineMs: c },
        ...(typeof e === "string" ? { checkpoint: e } : {}),
        ...(typeof f === "string" ? { ticket: f } : {}),
      };
      return { ...target, kind: "start", order, spec: d };
    }
    case "stop":
      if (typeof a !== "string" || !isNumber(b)) return undefined;
      return { ...target, kind: "stop", order: { token, task: a, run: b } };
    case "poll": {
      if ((a !== null && !isNumber(a)) || !isNumber(b) || !isNumber(c)) return undefined;
      const order = { token, deadlineMs: a ?? undefined, acknowledged: b, waitMs: c };
      return { ...target, kind: "poll", order };
    }
    case "pace":
      if (typeof a !== "string" || !isNumber(b) || !isNumber(c)) return undefined;
      return { ...target, kind: "pace", order: { token, task: a, run: b, percent: c } };
    case undefined:
      return { ...target, kind: "unknown" };
  }
}

function parseResult(row: readonly unknown[]): RelayedResult | undefined {
  const [, kind, a, b, running, ended] = row;
  if (kind === NO_SPEC_RESULT) return "no-spec";
  if (!isNumber(a)) return undefined;
  if (kind === CLOCK_RESULT) return Ok({ clockMs: a });
  if (kind === ERROR_RESULT) {
    const error = ERROR_KINDS[a];
    if (error === undefined || typeof b !== "string") return undefined;
    return Err({ kind: error, detail: b });
  }
  if (kind !== LISTS_RESULT || (b !== null && !isNumber(b))) return undefined;
  const runs = Array.isArray(running) ? parseRunning(running) : undefined;
  const ends = Array.isArray(ended) ? parseEnded(ended) : undefined;
  if (runs === undefined || ends === undefined) return undefined;
  return Ok({ clockMs: a, bootedAt: b ?? undefined, running: runs, ended: ends });
}

function parseRunning(cells: readonly unknown[]): readonly ListedRun[] | undefined {
  const runs: ListedRun[] = [];
  for (let i = 0; i < cells.length; i += RUN_COLUMNS) {
    const task = cells[i];
    const run = cells[i + 1];
    const checkpoint = cells[i + 2];
    const percent = cells[i + 3];
    const load = cells[i + 4];
    if (typeof task !== "string" || !isNumber(run) || typeof checkpoint !== "string")
      return undefined;
    if (!isNumber(percent) || !isNumber(load)) return undefined;
    runs.push({ task, run, checkpoint, percent, load });
  }
  return runs;
}

function parseEnded(cells: readonly unknown[]): readonly EndedRun[] | undefined {
  const runs: EndedRun[] = [];
  for (let i = 0; i < cells.length; i += RUN_COLUMNS) {
    const sequence = cells[i];
    const task = cells[i + 1];
    const run = cells[i + 2];
    const code = cells[i + 3];
    const checkpoint = cells[i + 4];
    const end = isNumber(code) ? RUN_ENDS[code] : undefined;
    if (!isNumber(sequence) || typeof task !== "string" || !isNumber(run)) return undefined;
    if (end === undefined || typeof checkpoint !== "string") return undefined;
    runs.push({ sequence, task, run, end, checkpoint });
  }
  return runs;
}

function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}

function isOptionalString(value: unknown): value is string | null | undefined {
  return value === undefined || value === null || typeof value === "string";
}

function isSpec(value: unknown): value is readonly [number, string] {
  return Array.isArray(value) && isNumber(value[0]) && typeof value[1] === "string";
}

/** True if a result is of the kind that orders of the given kind have. */
export function matchesKind(
  kind: RelayedOrder["kind"],
  result: Result<BackendClock | RunLists, OrderError>,
): boolean {
  return result.err || "running" in result.val === (kind === "poll");
}
