import { request as httpRequest } from "node:http";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Ingress } from "../../platform/ingress.ts";
import { parseJob } from "../../platform/job-request.ts";
import { MetricCounters } from "../../src/coordination/counters.ts";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { encodeLoadReport } from "../../src/protocol/queue-loads.ts";
import { fleetConfig, queueConfig } from "../fakes/jobs/job-builders.ts";
import { JobCluster } from "../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const ID = "5c0e7a21d94b36f8";
const JOB = { spec: "s", steps: [{ count: 1, cpu: 100, memMb: 10, estimateMs: 50 }] };

function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    });
  });
}

interface ClientCall {
  readonly method: string;
  readonly path: string;
  readonly key?: string;
  readonly json?: unknown;
}

interface ClientReply {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfter: string | undefined;
}

/** Runs an ingress for a cluster whose virtual clock advances along with the real one. */
async function withIngress(
  check: (
    call: (call: ClientCall) => Promise<ClientReply>,
    cluster: JobCluster,
    ingress: { readonly port: number; readonly close: () => Promise<void> },
  ) => Promise<void>,
): Promise<void> {
  const keyed = queueConfig({ name: "keyed", prefix: "/keyed/", openToAll: false });
  const config = fleetConfig({ queues: [queueConfig(), keyed] });
  const cluster = new JobCluster({ random: new SeededRandom(1), config });
  const { entry } = await cluster.electScheduler();
  const running = runClock(cluster.clock);
  const ingress = new Ingress({
    ...{ clock: new SystemClock(), log: DISABLED_LOG, counters: new MetricCounters(), entry },
  });
  const [callers, readiness] = [await freePort(), await freePort()];
  await ingress.listen(
    { host: "127.0.0.1", port: callers },
    { host: "127.0.0.1", port: readiness },
  );
  try {
    const close = () => ingress.close();
    await check((call) => send(callers, call), cluster, { port: callers, close });
  } finally {
    running.stop();
    await ingress.close();
  }
}

const DISABLED_LOG = { debug: none, info: none, warn: none, error: none };

function none(): void {
  // Log output is discarded.
}

function runClock(clock: VirtualClock) {
  let stopped = false;
  const step = async (): Promise<void> => {
    while (!stopped) {
      await clock.advance(5);
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  };
  void step();
  return {
    stop: () => {
      stopped = true;
    },
  };
}

/** Resolves with the next data on a connection; rejects if it is reset or closed first. */
function nextData(socket: Socket): Promise<string> {
  return new Promise((resolve, reject) => {
    socket.once("data", (data) => {
      resolve(data.toString());
    });
    socket.once("error", reject);
    socket.once("close", () => {
      reject(new Error("the connection was closed without a reply"));
    });
  });
}

function send(port: number, { method, path, key, json }: ClientCall): Promise<ClientReply> {
  return new Promise((resolve, reject) => {
    const headers = { host: "host", ...(key === undefined ? {} : { "api-key": key }) };
    const req = httpRequest({ port, host: "127.0.0.1", method, path, headers }, (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (chunk: Buffer) => chunks.push(chunk));
      res.on("end", () => {
        const body: unknown = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        resolve({ status: res.statusCode ?? 0, body, retryAfter: res.headers["retry-after"] });
      });
    });
    req.on("error", reject);
    req.end(json === undefined ? undefined : JSON.stringify(json));
  });
}

// Guards against a repeated submission that fails, and a job that can't be read or cancelled.
test("submitting a job is idempotent, and the job can be read and cancelled", async () => {
  await withIngress(async (call) => {
    const path = `/queue/${ID}`;
    assert.is((await call({ method: "POST", path, json: JOB })).status, 200);
    assert.is((await call({ method: "POST", path, json: JOB })).status, 200);
    const { body } = await call({ method: "GET", path });
    assert.ok(["queued", "running", "completed"].includes((body as { state: string }).state));
    assert.is((await call({ method: "DELETE", path })).status, 200);
  });
});

// Guards against clients that can't tell a wrong key from an unknown queue, job or malformed request.
test("unknown queues, keys and jobs and malformed jobs have different status codes", async () => {
  await withIngress(async (call) => {
    const path = `/keyed/${ID}`;
    assert.is((await call({ method: "GET", path: `/nowhere/${ID}` })).status, 404);
    assert.is((await call({ method: "GET", path })).status, 401);
    assert.is((await call({ method: "GET", path, key: "wrong" })).status, 401);
    assert.is((await call({ method: "GET", path, key: "key" })).status, 410);
    assert.is((await call({ method: "DELETE", path, key: "key" })).status, 410);
    const malformed = await call({ method: "POST", path, key: "key", json: { steps: "none" } });
    assert.is(malformed.status, 400);
  });
});

// Guards against a request for a queue that is taken as a request for a job with an empty id.
test("the number of pending jobs of a queue can be read", async () => {
  await withIngress(async (call) => {
    const answer = await call({ method: "GET", path: "/queue/" });
    assert.equal(answer.body, { pending: 0 });
  });
});

// Guards against accepting a job that was not stored, and against immediate retries.
test("a job that can't be stored is refused with a retry time", async () => {
  await withIngress(async (call, cluster) => {
    for (const { store } of cluster.entries) store.faults.refusing = true;
    const answer = await call({ method: "POST", path: `/queue/${ID}`, json: JOB });
    assert.is(answer.status, 503);
    assert.is(answer.retryAfter, "1");
  });
});

// Guards against a request that is reset although it arrived before the instance closed: after a pause
// of the process the close can run before the request is read.
test("a request that arrived but was not read yet is answered before the instance closes", async () => {
  await withIngress(async (_call, _cluster, ingress) => {
    const socket = connect(ingress.port, "127.0.0.1");
    const head = `GET /queue/ HTTP/1.1\r\nHost: host\r\n\r\n`;
    socket.write(head);
    assert.match(await nextData(socket), /^HTTP\/1.1 200/);
    socket.write(head);
    const closed = ingress.close();
    assert.match(await nextData(socket), /^HTTP\/1.1 200/);
    socket.destroy();
    await closed;
  });
});

// Guards against rejections without a time to retry, and against a rejection of a stored job.
test("a job that would end too late gets 503 or 429 with a retry time, a stored one 200", async () => {
  await withIngress(async (call, cluster) => {
    const path = `/keyed/${ID}`;
    const own = { name: "org", backlogMs: 90_000, share: 0.5, beyondShare: true };
    const load = { onTimeMs: 90_000, backlogMs: 90_000, endMs: 90_000, limitMs: 2000 };
    const receive = (queue: string) => {
      const fields = { queue, rejecting: true, durationFactor: 1, typicalCoreMs: 5 };
      const queues = [{ ...fields, ...load, organisations: [own] }];
      const report = { token: 1e9, atMs: cluster.clock.wallTime(), queues };
      for (const { entry } of cluster.entries) entry.loadView.receive(encodeLoadReport(report));
    };
    receive("queue");
    const refused = await call({ method: "POST", path: `/queue/${ID}`, json: JOB });
    assert.is(refused.status, 503);
    assert.ok(Number(refused.retryAfter) > 1);
    assert.is((await call({ method: "POST", path, key: "key", json: JOB })).status, 200);
    await cluster.clock.advance(5);
    receive("keyed");
    assert.is((await call({ method: "POST", path, key: "key", json: JOB })).status, 200);
    const other = path.replace(/.$/, "0");
    const shared = await call({ method: "POST", path: other, key: "key", json: JOB });
    assert.is(shared.status, 429);
    assert.ok(Number(shared.retryAfter) > 1);
  });
});

// Guards against steps that wait for each other for ever, and against errors thrown by bad input.
test("a step that depends on a later step or a body that is not JSON is malformed", () => {
  const steps = [{ count: 1, after: [1] }, { count: 1 }];
  assert.is(parseJob(Buffer.from(JSON.stringify({ steps }))), undefined);
  assert.is(parseJob(Buffer.from("no json")), undefined);
});

// Guards against jobs that are refused or misread because the client omitted optional fields.
test("omitted fields of a job have their default values", () => {
  const job = parseJob(Buffer.from(JSON.stringify({ steps: [{ cpu: 5, mayMiss: 2 }] })));
  assert.is(job?.steps[0]?.tasks, 1);
  assert.is(job?.steps[0]?.availabilityBudget, 2);
  assert.is(job?.schedule, undefined);
});

test.run();
