import type { Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService, KvError } from "../ports/key-value-service.ts";
import { KvGrantSchema, KvPutSchema } from "../protocol/key-value-http.ts";
import {
  queryNumber,
  rejected,
  StandInServer,
  withBody,
  type StandInCall,
  type StandInReply,
  type StandInRoute,
} from "./stand-in-server.ts";

/** Maximum wait of a watch, in milliseconds. */
const MAX_WATCH_MS = 60_000;

/** HTTP front end of a key-value service, as specified in section 10.3 of the design. */
export function serveKeyValue(clock: Clock, store: KeyValueService): StandInServer {
  return new StandInServer({ clock, routes: [...keyRoutes(store), ...leaseRoutes(store)] });
}

function keyRoutes(store: KeyValueService): readonly StandInRoute[] {
  return [
    { kind: "get", method: "GET", path: "/v1/keys/:key", handle: (call) => get(store, call) },
    {
      kind: "list",
      method: "GET",
      path: "/v1/keys",
      handle: async ({ query }) =>
        toReply(await store.list(query.get("prefix") ?? ""), (entries) => ({ entries })),
    },
    { kind: "put", method: "PUT", path: "/v1/keys/:key", handle: (call) => put(store, call) },
    {
      kind: "delete",
      method: "DELETE",
      path: "/v1/keys/:key",
      handle: async (call) => {
        const key = param(call, "key");
        const expectedRevision = queryNumber(call, "expectedRevision", -1);
        if (expectedRevision < 0) return rejected("expectedRevision is missing");
        return toReply(await store.delete({ key, expectedRevision }));
      },
    },
    { kind: "watch", method: "GET", path: "/v1/watch/:key", handle: (call) => watch(store, call) },
  ];
}

function leaseRoutes(store: KeyValueService): readonly StandInRoute[] {
  return [
    {
      kind: "grant",
      method: "POST",
      path: "/v1/leases",
      handle: (call) =>
        withBody(call, KvGrantSchema, async ({ ttlMs }) =>
          toReply(await store.grantLease(ttlMs), (leaseId) => ({ leaseId })),
        ),
    },
    {
      kind: "renew",
      method: "PUT",
      path: "/v1/leases/:id",
      handle: async (call) => toReply(await store.renewLease(param(call, "id"))),
    },
    {
      kind: "revoke",
      method: "DELETE",
      path: "/v1/leases/:id",
      handle: async (call) => toReply(await store.revokeLease(param(call, "id"))),
    },
  ];
}

async function get(store: KeyValueService, call: StandInCall): Promise<StandInReply> {
  const found = await store.get(param(call, "key"));
  if (found.ok && found.val === undefined) return { status: 404, body: { error: "absent" } };
  return toReply(found, (entry) => entry);
}

function put(store: KeyValueService, call: StandInCall): Promise<StandInReply> {
  return withBody(call, KvPutSchema, async (body) =>
    toReply(await store.put({ key: param(call, "key"), ...body }), (revision) => ({ revision })),
  );
}

async function watch(store: KeyValueService, call: StandInCall): Promise<StandInReply> {
  const watched = await store.watch({
    key: param(call, "key"),
    afterRevision: queryNumber(call, "after", 0),
    waitMs: Math.min(queryNumber(call, "waitMs", 0), MAX_WATCH_MS),
  });
  return toReply(watched, (reply) =>
    reply.changed ? { changed: true, entry: reply.entry ?? null } : reply,
  );
}

function toReply<T>(result: Result<T, KvError>, body?: (value: T) => unknown): StandInReply {
  if (result.err) return errorReply(result.val);
  return body === undefined ? { status: 204 } : { status: 200, body: body(result.val) };
}

function errorReply(err: KvError): StandInReply {
  switch (err.kind) {
    case "conflict":
      return { status: 409, body: { error: "conflict", current: err.current ?? null } };
    case "lease-lapsed":
      return { status: 410, body: { error: "lease-lapsed" } };
    case "unavailable":
      return { status: 503, body: { error: "unavailable", detail: err.detail } };
    case "ambiguous":
      return { status: 504, body: { error: "ambiguous", detail: err.detail } };
  }
}

function param(call: StandInCall, name: string): string {
  return call.params[name] ?? "";
}
