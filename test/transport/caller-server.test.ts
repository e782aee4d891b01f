import { connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "../../src/ports/system-clock.ts";
import {
  RequestService,
  type CallerReply,
  type CallerRequest,
} from "../../src/coordination/ports.ts";
import { AdminServer } from "../../src/transport/admin-server.ts";
import { CallerServer } from "../../src/transport/caller-server.ts";
import { MetricCounters } from "../../src/coordination/counters.ts";

class StubRequests extends RequestService {
  readonly submissions: { readonly req: CallerRequest; readonly mode: string }[] = [];
  reply: CallerReply = {
    kind: "answer",
    requestId: "e1.1",
    payload: { contentType: "text/plain", body: Buffer.from("done") },
  };

  submit(req: CallerRequest, mode: "sync" | "async"): Promise<CallerReply> {
    this.submissions.push({ req, mode });
    return Promise.resolve(this.reply);
  }

  query(): Promise<CallerReply> {
    return Promise.resolve(this.reply);
  }

  cancel(): Promise<CallerReply> {
    return Promise.resolve(this.reply);
  }

  issueId(): string {
    return "e1.issued";
  }
}

interface Fixture {
  readonly url: string;
  readonly port: number;
  readonly requests: StubRequests;
}

async function withServer(use: (fixture: Fixture) => Promise<void>): Promise<void> {
  const requests = new StubRequests();
  const noop = (): void => undefined;
  const server = new CallerServer({
    clock: new SystemClock(),
    log: { debug: noop, info: noop, warn: noop, error: noop },
    counters: new MetricCounters(),
    requests,
    receiveTimeoutMs: 300,
  });
  const port = await server.listen("127.0.0.1", 0);
  try {
    await use({ url: `http://127.0.0.1:${port}`, port, requests });
  } finally {
    await server.close();
  }
}

interface Problem {
  readonly type: string;
  readonly ran: string;
  readonly request_id?: string;
}

async function problemSummary(res: Response): Promise<string> {
  const { type, ran } = (await res.json()) as Problem;
  return `${res.status} ${type} ${ran}`;
}

function post(url: string, headers: Record<string, string> = {}, body: string | Buffer = "hi") {
  return fetch(`${url}/v1/queues/jobs/requests`, { method: "POST", headers, body });
}

/** Sends raw text and returns everything that the server sent before it closed the connection. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    let received = "";
    const socket: Socket = connect(port, "127.0.0.1", () => socket.write(text));
    socket.on("data", (chunk) => (received += chunk.toString()));
    socket.on("close", () => {
      resolve(received);
    });
  });
}

// Guards against headers that are dropped or parsed wrongly before the request service.
test("a submission passes on its headers and body, and the answer is returned complete", () =>
  withServer(async ({ url, requests }) => {
    const res = await post(url, {
      Authorization: "Bearer secret",
      "Idempotency-Key": "order-7",
      "Request-Timeout-Ms": "1234",
      Priority: "urgent",
      Idempotent: "false",
      "Content-Type": "text/plain",
    });
    assert.is(await res.text(), "done");
    assert.is(res.headers.get("request-id"), "e1.1");
    const { req, mode } = requests.submissions[0]!;
    const { payload, ...fields } = req;
    assert.equal(fields, {
      queue: "jobs",
      key: "secret",
      idempotencyKey: "order-7",
      priority: "urgent",
      idempotent: false,
      timeoutMs: 1234,
    });
    assert.is(Buffer.from(payload.body).toString(), "hi");
    assert.is(mode, "sync");
  }));

// Guards against a synchronous wait although the caller sent `Prefer: respond-async`.
test("respond-async gets a 202 response with a Location header", () =>
  withServer(async ({ url, requests }) => {
    requests.reply = { kind: "pending", requestId: "e1.2" };
    const res = await post(url, { Prefer: "respond-async" });
    assert.is(`${res.status} ${res.headers.get("location") ?? ""}`, "202 /v1/requests/e1.2");
    assert.is(requests.submissions[0]?.mode, "async");
  }));

// Guards against a refusal that loses its reason, its `ran` state or its retry delay.
test("a refusal becomes problem details with Retry-After", () =>
  withServer(async ({ url, requests }) => {
    const refusal = { reason: "overload", detail: "d", ran: "no", retryAfterMs: 1500 } as const;
    requests.reply = { kind: "refusal", refusal: { ...refusal, requestId: "e1.3" } };
    const res = await post(url);
    assert.is(res.headers.get("retry-after"), "2");
    assert.is(res.headers.get("content-type"), "application/problem+json");
    assert.is(await problemSummary(res), "503 urn:teaselspool:problem:overload no");
  }));

// Guards against unbounded bodies, and against `ran: no` where an earlier attempt may have run.
test("an oversized body is refused, with ran unknown if the request has an idempotency key", () =>
  withServer(async ({ url, requests }) => {
    const body = Buffer.alloc(256 * 1024 + 1);
    const type = "413 urn:teaselspool:problem:too_large";
    assert.is(await problemSummary(await post(url, {}, body)), `${type} no`);
    const res = await post(url, { "Idempotency-Key": "k" }, body);
    assert.is(await problemSummary(res), `${type} unknown`);
    assert.is(requests.submissions.length, 0);
  }));

// Guards against incomplete requests that keep connections open.
test("an incomplete body is refused after the time limit and not submitted", () =>
  withServer(async ({ port, requests }) => {
    const head =
      "POST /v1/queues/jobs/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhal";
    const received = await sendRaw(port, head);
    assert.match(received, /^HTTP\/1\.1 408 /);
    assert.match(received, /"ran":"no"/);
    assert.is(requests.submissions.length, 0);
  }));

// Guards against `ran: no` for requests whose headers were never parsed.
test("incomplete, oversized and malformed headers are refused with ran unknown", () =>
  withServer(async ({ port }) => {
    const start = "POST /v1/queues/jobs/requests HTTP/1.1\r\nHost: x\r\n";
    assert.match(await sendRaw(port, start), /^HTTP\/1\.1 408 [^]*"ran":"unknown"/);
    const large = `${start}X: ${"x".repeat(17 * 1024)}\r\n\r\n`;
    assert.match(await sendRaw(port, large), /^HTTP\/1\.1 431 [^]*"ran":"unknown"/);
    assert.match(await sendRaw(port, "nonsense\r\n\r\n"), /^HTTP\/1\.1 400 [^]*"ran":"unknown"/);
  }));

// Guards against malformed headers that are replaced by defaults without an error.
test("malformed headers are refused without quoting the API key", () =>
  withServer(async ({ url }) => {
    for (const headers of [
      { "Request-Timeout-Ms": "soon" },
      { Priority: "highest" },
      { Authorization: "Basic c2VjcmV0" },
      { "Idempotency-Key": "x".repeat(256) },
    ] as Record<string, string>[]) {
      const res = await post(url, headers);
      assert.is(res.status, 400);
      assert.not.match(await res.text(), /c2VjcmV0/);
    }
  }));

// Guards against a successful cancellation that is reported to the caller as a failure.
test("a cancelled request is confirmed, and ids are issued", () =>
  withServer(async ({ url, requests }) => {
    const refusal = { reason: "cancelled", detail: "d", ran: "no" } as const;
    requests.reply = { kind: "refusal", refusal };
    const res = await fetch(`${url}/v1/requests/e1.4`, { method: "DELETE" });
    assert.is(res.status, 200);
    const issued = await fetch(`${url}/v1/request-ids`, { method: "POST" });
    assert.equal(await issued.json(), { request_id: "e1.issued" });
  }));

// Guards against counters that are missing until the first refusal, and against false readiness.
test("the admin server reports readiness and every refusal counter from the start", async () => {
  const counters = new MetricCounters();
  const notReady: string[] = ["no configuration"];
  const admin = new AdminServer({
    notReadyReasons: () => notReady,
    status: () => ({ incarnation: "e1" }),
    metrics: () => counters.text(),
  });
  const url = `http://127.0.0.1:${await admin.listen("127.0.0.1", 0)}`;
  counters.duration("start_wait", 42);
  const ready = await fetch(`${url}/readyz`);
  assert.is(ready.status, 503);
  assert.equal(await ready.json(), { ready: false, reasons: ["no configuration"] });
  notReady.pop();
  assert.is((await fetch(`${url}/readyz`)).status, 200);
  const metrics = await (await fetch(`${url}/metrics`)).text();
  assert.match(metrics, /teaselspool_refusals_total\{reason="id_memory_full"\} 0/);
  assert.match(metrics, /teaselspool_duration_ms\{name="start_wait",percentile="99"\} 42/);
  assert.equal(await (await fetch(`${url}/status`)).json(), { incarnation: "e1" });
  await admin.close();
});

test.run();
