/** Content and encoding of the record of what a scheduler has learnt, for its successor. */
import { encode } from "cbor-x";
import * as v from "valibot";
import { decodeCbor } from "./cbor.ts";

/** Version of the content. Records of other versions are not read. */
const VERSION = 1;
/** Maximum size of the record in bytes. */
export const MAX_LEARNT_BYTES = 64 * 1024;
/** Bytes kept free for the frame around the entries. */
const FRAME_BYTES = 64;

/** Learnt durations of one queue. All numbers are those of `DurationModel.toNumbers`. */
export interface LearntQueue {
  readonly kind: "queue";
  readonly name: string;
  /** Unix time in ms of the last change. */
  readonly changedAt: number;
  readonly model: readonly number[];
  readonly tail: readonly number[];
  readonly siblingTail: readonly number[];
}

/** Speed, health and lease of one boot of a backend server. */
export interface LearntServer {
  readonly kind: "server";
  readonly id: string;
  /** Boot of the backend server, as Unix time in ms. */
  readonly bootedAt: number;
  /** Unix time in ms of the last change. */
  readonly changedAt: number;
  /** Average ratio of actual to expected durations. */
  readonly ratio: number;
  /** Consecutive failures of several jobs; 0 unless the server is on probation. */
  readonly failures: number;
  /** Unix time in ms at which the quarantine ends; 0 without one. */
  readonly quarantinedUntil: number;
  /** True if the boot's lease is certainly no longer than schedulers have granted to it. */
  readonly leaseAsGranted: boolean;
}

/** One entry of the record. */
export type LearntEntry = LearntQueue | LearntServer;

/** Why a stored record can't be used. */
export type LearntProblem = "malformed" | "other-version";

const finite = v.pipe(v.number(), v.finite());
const amount = v.pipe(finite, v.minValue(0));
const QueueRow = v.tuple([v.string(), amount, v.array(finite), v.array(amount), v.array(amount)]);
const ServerRow = v.tuple([
  v.string(),
  ...([amount, amount, amount, amount, amount] as const),
  v.optional(v.boolean(), false),
]);
const VersionSchema = v.looseObject({ version: v.number() });
const LearntSchema = v.object({ queues: v.array(QueueRow), servers: v.array(ServerRow) });

/** Encodes the entries. If they exceed the maximum size, the least recently changed are left out. */
export function encodeLearnt(entries: readonly LearntEntry[]): Uint8Array {
  const rows = { queues: [] as unknown[], servers: [] as unknown[] };
  let left = MAX_LEARNT_BYTES - FRAME_BYTES;
  for (const entry of [...entries].sort((a, b) => b.changedAt - a.changedAt)) {
    const row = toRow(entry);
    left -= encode(row).length;
    if (left < 0) break;
    rows[entry.kind === "queue" ? "queues" : "servers"].push(row);
  }
  return encode({ version: VERSION, ...rows });
}

function toRow(entry: LearntEntry): readonly unknown[] {
  if (entry.kind === "queue")
    return [entry.name, entry.changedAt, entry.model, entry.tail, entry.siblingTail];
  const { id, bootedAt, changedAt, ratio, failures, quarantinedUntil, leaseAsGranted } = entry;
  return [id, bootedAt, changedAt, ratio, failures, quarantinedUntil, leaseAsGranted];
}

/** Decodes the entries, or returns why the record can't be used. */
export function decodeLearnt(bytes: Uint8Array): readonly LearntEntry[] | LearntProblem {
  if (bytes.length > MAX_LEARNT_BYTES) return "malformed";
  const version = decodeCbor(VersionSchema, bytes)?.version;
  if (version === undefined) return "malformed";
  if (version !== VERSION) return "other-version";
  const stored = decodeCbor(LearntSchema, bytes);
  if (stored === undefined) return "malformed";
  const queues = stored.queues.map(([name, changedAt, model, tail, siblingTail]): LearntQueue => ({
    ...{ kind: "queue", name, changedAt, model, tail, siblingTail },
  }));
  const servers = stored.servers.map(
    ([id, bootedAt, changedAt, ratio, failures, quarantinedUntil, leaseAsGranted]) => ({
      ...{ kind: "server" as const, id, bootedAt, changedAt, ratio, failures, quarantinedUntil },
      leaseAsGranted,
    }),
  );
  return [...queues, ...servers];
}
