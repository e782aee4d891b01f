import type { Result } from "ts-results";
import type { BackendError, TaskRef } from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import {
  AcquireLeaseSchema,
  BACKEND_ERROR_STATUS,
  LeaseBodySchema,
  toRecordBody,
  ReleaseLeaseSchema,
  RenewLeaseSchema,
  StartTaskSchema,
  toTaskSpec,
} from "../protocol/backend-http.ts";
import type { ConfigurableRunner } from "./configurable-runner.ts";
import type { SimulatedBackendServer } from "./simulated-backend-server.ts";
import {
  queryNumber,
  StandInServer,
  withBody,
  type StandInCall,
  type StandInReply,
  type StandInRoute,
} from "./stand-in-server.ts";

/** Maximum wait of a poll for events, in milliseconds. */
const MAX_POLL_MS = 60_000;

/** HTTP front end of a simulated backend server, as specified in section 10.2 of the design. */
export function serveBackendServer(
  clock: Clock,
  backend: SimulatedBackendServer,
  runner: ConfigurableRunner,
): StandInServer {
  return new StandInServer({
    clock,
    routes: [...leaseRoutes(backend), ...taskRoutes(backend)],
    faultSwitches: {
      failAll: (on) => {
        runner.failAll = on;
      },
      // A server that has announced that it is leaving returns to service only by a restart.
      leaving: (on) => {
        if (on) backend.leave();
        else backend.restart();
      },
    },
  });
}

function leaseRoutes(backend: SimulatedBackendServer): readonly StandInRoute[] {
  return [
    {
      kind: "acquire",
      method: "POST",
      path: "/lease",
      handle: (call) =>
        withBody(call, AcquireLeaseSchema, async ({ holder, ttlMs }) =>
          toReply(await backend.acquireLease(holder, ttlMs), (grant) => grant),
        ),
    },
    {
      kind: "renew",
      method: "PUT",
      path: "/lease/:leaseId",
      handle: (call) =>
        withBody(call, RenewLeaseSchema, async ({ ttlMs }) =>
          toReply(await backend.renewLease(param(call, "leaseId"), ttlMs), (renewal) => renewal),
        ),
    },
    {
      kind: "release",
      method: "DELETE",
      path: "/lease/:leaseId",
      handle: (call) =>
        withBody(call, ReleaseLeaseSchema, async ({ successor }) =>
          toReply(await backend.releaseLease(param(call, "leaseId"), successor)),
        ),
    },
    {
      kind: "reboot",
      method: "POST",
      path: "/reboot",
      handle: (call) =>
        withBody(call, LeaseBodySchema, async ({ leaseId }) =>
          toReply(await backend.reboot(leaseId)),
        ),
    },
  ];
}

function taskRoutes(backend: SimulatedBackendServer): readonly StandInRoute[] {
  return [
    {
      kind: "start",
      method: "POST",
      path: "/tasks",
      handle: (call) =>
        withBody(call, StartTaskSchema, async (body) =>
          toReply(await backend.startTask(body.leaseId, toTaskSpec(body)), undefined, 201),
        ),
    },
    {
      kind: "tasks",
      method: "GET",
      path: "/tasks",
      handle: async ({ query }) =>
        toReply(await backend.listTasks(query.get("leaseId") ?? ""), (tasks) => ({
          tasks: tasks.map(toRecordBody),
        })),
    },
    { kind: "events", method: "GET", path: "/events", handle: (call) => pollEvents(backend, call) },
    ...(["stop", "checkpoint", "ack"] as const).map((action): StandInRoute => ({
      kind: action,
      method: "POST",
      path: `/tasks/:requestId/:attempt/${action}`,
      handle: (call) => performTaskAction(backend, action, call),
    })),
  ];
}

async function pollEvents(
  backend: SimulatedBackendServer,
  call: StandInCall,
): Promise<StandInReply> {
  const leaseId = call.query.get("leaseId") ?? "";
  const after = queryNumber(call, "after", 0);
  const waitMs = Math.min(queryNumber(call, "waitMs", 0), MAX_POLL_MS);
  const polled = await backend.pollEvents(leaseId, after, waitMs);
  return toReply(polled, (batch) => ({ ...batch, finished: batch.finished.map(toRecordBody) }));
}

function performTaskAction(
  backend: SimulatedBackendServer,
  action: "stop" | "checkpoint" | "ack",
  call: StandInCall,
): Promise<StandInReply> {
  const ref: TaskRef = {
    requestId: param(call, "requestId"),
    attempt: Number(param(call, "attempt")),
  };
  return withBody(call, LeaseBodySchema, async ({ leaseId }) => {
    switch (action) {
      case "stop":
        return toReply(await backend.stopTask(leaseId, ref));
      case "checkpoint":
        return toReply(await backend.checkpointTask(leaseId, ref));
      case "ack":
        return toReply(await backend.acknowledgeTask(leaseId, ref));
    }
  });
}

function toReply<T>(
  result: Result<T, BackendError>,
  body?: (value: T) => unknown,
  status = 200,
): StandInReply {
  if (result.err) return errorReply(result.val);
  if (body !== undefined) return { status, body: body(result.val) };
  return { status: status === 200 ? 204 : status };
}

function errorReply(err: BackendError): StandInReply {
  switch (err.kind) {
    case "unreachable":
      return { status: 503, body: { error: "unavailable", detail: err.detail } };
    case "ambiguous":
      return { status: 504, body: { error: "ambiguous", detail: err.detail } };
    default: {
      const { kind, ...rest } = err;
      return { status: BACKEND_ERROR_STATUS[kind], body: { error: kind, ...rest } };
    }
  }
}

function param(call: StandInCall, name: string): string {
  return call.params[name] ?? "";
}
