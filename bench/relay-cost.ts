/**
 * `npx tsx bench/relay-cost.ts`: processor time of the scheduler's process for each start and poll,
 * sent directly over HTTP and through an executor. The backend servers and the executors run in a
 * process of their own, at the peak load of a fleet of 240 servers with eight executors.
 */
import { fork } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Ok } from "ts-results";
import { PlatformBackendConnector } from "../platform/job-backend.ts";
import { MetricCounters } from "../src/coordination/counters.ts";
import { LockTenure } from "../src/coordination/jobs/election/scheduler-lock.ts";
import { OrderExecutor } from "../src/coordination/jobs/execution/order-executor.ts";
import { RelayedBackendConnector } from "../src/coordination/jobs/execution/relayed-backend.ts";
import { PeerConnections } from "../src/coordination/jobs/peer-connections.ts";
import {
  JobBackend,
  JobBackendConnector,
  type BackendClock,
  type OrderResult,
  type RunLists,
} from "../src/ports/job-backend.ts";
import { SystemClock } from "../src/ports/system-clock.ts";
import { PEER_PROTOCOL_VERSION } from "../src/protocol/peer-messages.ts";
import { TcpPeerTransport } from "../src/transport/peer-tcp.ts";

const SERVERS = 240;
const EXECUTORS = 8;
const STARTS_PER_S = 2000;
/** Interval in ms of placement rounds, whose starts are sent together. */
const ROUND_MS = 30;
/** Time in ms until a run ends and a waiting poll is answered: eight ends a second on a server. */
const POLL_MS = 120;
const SETTLE_MS = 1500;
const MEASURED_MS = 5000;
const SPEC = "x".repeat(1500);
/** Starts of one job share its spec. */
const TASKS_PER_JOB = 8;

const clock = new SystemClock();
const counters = new MetricCounters();
const log = {
  ...{ debug: () => undefined, info: () => undefined },
  ...{ warn: () => undefined, error: console.error },
};
const RUNNING = Array.from({ length: 12 }, (_, n) => [`job-000${n}/step/${n}`, 1, "", 40, 900]);
const ENDED = [[7, "job-0001/step/3", 1, "done", ""]];

function hello(port: number) {
  const address = `127.0.0.1:${port}`;
  return { version: PEER_PROTOCOL_VERSION, incarnation: "bench", address, zone: "z", group: "" };
}

/** Answers like a backend server, without a network. */
class BenchBackend extends JobBackend {
  async start(): OrderResult<BackendClock> {
    await clock.sleep(1);
    return Ok({ clockMs: 5 });
  }

  stop = () => this.start();
  pace = () => this.start();

  async poll(): OrderResult<RunLists> {
    await clock.sleep(POLL_MS);
    const running = RUNNING.map(([task, run, checkpoint, percent, load]) => ({
      ...{ task: String(task), run: Number(run), checkpoint: String(checkpoint) },
      ...{ percent: Number(percent), load: Number(load) },
    }));
    const ended = [
      { sequence: 7, task: "job-0001/step/3", run: 1, end: "done", checkpoint: "" } as const,
    ];
    return Ok({ clockMs: 5, bootedAt: 1, running, ended });
  }
}

class BenchConnector extends JobBackendConnector {
  connect(): JobBackend {
    return new BenchBackend();
  }
}

async function serve(): Promise<void> {
  const http = createServer((req, res) => {
    const poll = req.url === "/v1/hold";
    const body = poll ? { clockMs: 5, born: 1, running: RUNNING, ended: ENDED } : { clockMs: 5 };
    req.resume().on("end", () => {
      void clock.sleep(poll ? POLL_MS : 1).then(() => {
        res.setHeader("content-type", "application/json");
        res.end(JSON.stringify(body));
      });
    });
  });
  http.listen(0, "0.0.0.0");
  await once(http, "listening");
  const peers = [];
  for (let n = 0; n < EXECUTORS; n++) {
    const executor = new OrderExecutor({ clock, log, counters, connector: new BenchConnector() });
    const transport = new TcpPeerTransport({ clock, counter: counters, log });
    await transport.listen(hello(0), (from, req) => {
      if (req.type !== "order-batch") throw new Error("unexpected message");
      return executor.handle(from.incarnation, req);
    });
    peers.push(transport.address);
  }
  const httpPort = (http.address() as AddressInfo).port;
  process.send?.({ httpPort, peers });
}

const specs: string[] = [];

function specOf(job: number): string {
  return (specs[job] ??= `${job}${SPEC}`);
}

/** Runs one kind of order at its rate; returns microseconds of processor time for each. */
async function measure(backends: readonly JobBackend[], kind: "start" | "poll"): Promise<number> {
  let sent = 0;
  let failed = 0;
  const until = clock.now() + SETTLE_MS + MEASURED_MS;
  const note = ({ err }: { readonly err: boolean }): void => {
    sent++;
    if (err) failed++;
  };
  const loops =
    kind === "poll"
      ? backends.map(async (backend) => {
          const order = { token: 1, deadlineMs: 9000, acknowledged: 6, waitMs: 400 };
          // Servers answer at different times, as their runs end.
          await clock.sleep(Math.random() * POLL_MS);
          while (clock.now() < until) {
            const result = await backend.poll(order);
            note(result);
          }
        })
      : [
          (async () => {
            let task = 0;
            while (clock.now() < until) {
              for (let n = 0; n < (STARTS_PER_S * ROUND_MS) / 1000; n++, task++) {
                const job = Math.floor(task / TASKS_PER_JOB);
                const order = { token: 1, task: `job-${job}/step/${task}`, run: 1 };
                const backend = backends[task % backends.length]!;
                const sending = backend.start({ ...order, spec: specOf(job), deadlineMs: 9 });
                void sending.then(note);
              }
              await clock.sleep(ROUND_MS);
            }
          })(),
        ];
  await clock.sleep(SETTLE_MS);
  const sentBefore = sent;
  const before = process.cpuUsage();
  await clock.sleep(MEASURED_MS);
  const { user, system } = process.cpuUsage(before);
  const measured = sent - sentBefore;
  await Promise.all(loops);
  await clock.sleep(200);
  if (failed > 0) console.log(`${failed} orders failed`);
  return (user + system) / measured;
}

async function main(): Promise<void> {
  const child = fork(process.argv[1]!, ["--serve"]);
  const [{ httpPort, peers }] = (await once(child, "message")) as [
    { readonly httpPort: number; readonly peers: readonly string[] },
  ];
  const now = { now: clock.now(), wallTime: clock.wallTime() };
  const tenure = new LockTenure(clock, 1, 1, now);
  const renewing = setInterval(() => {
    tenure.renewed({ now: clock.now(), wallTime: clock.wallTime() });
  }, 300);
  const transport = new TcpPeerTransport({ clock, counter: counters, log });
  const connections = new PeerConnections({ transport, log, self: hello(1) });
  const sessions = peers.map((peerAddress, n) => ({
    ...{ name: `e${n}`, peerAddress, zone: "z", strength: 1 },
  }));
  const direct = new PlatformBackendConnector(clock);
  const relayed = new RelayedBackendConnector({
    ...{ clock, log, counters, tenure, connections, direct, name: "scheduler" },
    ...{ linkBytesPerMs: 125_000, sessions: () => sessions },
  });
  const open = (connector: JobBackendConnector): readonly JobBackend[] =>
    Array.from({ length: SERVERS }, (_, n) =>
      connector.connect(`127.0.0.${n + 1}:${httpPort}`, `s${n}`, { zone: "z" }),
    );
  for (const [path, connector] of [["direct", direct] as const, ["relayed", relayed] as const])
    for (const kind of ["start", "poll"] as const) {
      const us = await measure(open(connector), kind);
      console.log(`${path} ${kind}: ${us.toFixed(0)} us of processor time`);
    }
  const text = await counters.text();
  for (const line of text.split("\n")) if (line.includes("relay_")) console.log(line);
  clearInterval(renewing);
  child.kill();
  await transport.close();
  process.exit();
}

await (process.argv.includes("--serve") ? serve() : main());
