import type { IncomingHttpHeaders } from "node:http";
import * as v from "valibot";
import type { CallerRequest } from "../coordination/ports.ts";

const DEFAULT_TIMEOUT_MS = 30_000;
/** One day: requests may wait overnight, and the limit bounds how long a body is stored. */
const MAX_TIMEOUT_MS = 86_400_000;
const MAX_WAIT_MS = 60_000;
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

function integer(min: number, max: number) {
  return v.pipe(
    v.string(),
    v.regex(/^\d{1,12}$/, "a whole number"),
    v.transform(Number),
    v.minValue(min),
    v.maxValue(max),
  );
}

const HeadersSchema = v.object({
  authorization: v.optional(
    v.pipe(
      v.string(),
      v.regex(/^Bearer +[\x21-\x7e]+$/i, '"Bearer" and a key'),
      v.transform((value) => value.replace(/^Bearer +/i, "")),
    ),
  ),
  "idempotency-key": v.optional(
    v.pipe(v.string(), v.regex(/^[\x21-\x7e]{1,255}$/, "1 to 255 printable characters")),
  ),
  "request-timeout-ms": v.optional(integer(1, MAX_TIMEOUT_MS)),
  priority: v.optional(v.picklist(["urgent", "normal", "batch"]), "normal"),
  idempotent: v.optional(v.picklist(["true", "false"]), "true"),
  prefer: v.optional(v.string(), ""),
  "content-type": v.optional(v.string(), DEFAULT_CONTENT_TYPE),
});

/** Parsed headers of a request submission. */
export interface SubmitHeaders extends Omit<CallerRequest, "queue" | "payload"> {
  readonly contentType: string;
  readonly async: boolean;
}

/** The parsed value, or a description of the invalid part of the request. */
export type ParseResult<T> = { readonly value: T } | { readonly problem: string };

/** Validates the headers of a request submission. */
export function parseSubmitHeaders(headers: IncomingHttpHeaders): ParseResult<SubmitHeaders> {
  const parsed = v.safeParse(HeadersSchema, headers);
  if (!parsed.success) {
    const [issue] = parsed.issues;
    // The valibot message is omitted because it quotes the value, which may be an API key.
    return { problem: `Header "${v.getDotPath(issue) ?? ""}" is not valid.` };
  }
  const { output } = parsed;
  return {
    value: {
      key: output.authorization,
      idempotencyKey: output["idempotency-key"],
      priority: output.priority,
      idempotent: output.idempotent === "false" ? false : undefined,
      timeoutMs: output["request-timeout-ms"] ?? DEFAULT_TIMEOUT_MS,
      contentType: output["content-type"],
      async: /(^|[,\s])respond-async($|[,;\s])/i.test(output.prefer),
    },
  };
}

/** Validates the API key and `wait_ms` of a call that reads or cancels a request. */
export function parseRequestLookup(
  authorization: string | undefined,
  waitMs: unknown,
): ParseResult<{ readonly key: string | undefined; readonly waitMs: number }> {
  const headers = v.safeParse(v.pick(HeadersSchema, ["authorization"]), { authorization });
  if (!headers.success) return { problem: 'Header "authorization" is not valid.' };
  const wait = v.safeParse(v.optional(integer(0, MAX_WAIT_MS), "0"), waitMs);
  if (!wait.success) return { problem: `"wait_ms" must be a number from 0 to ${MAX_WAIT_MS}.` };
  return { value: { key: headers.output.authorization, waitMs: wait.output } };
}
