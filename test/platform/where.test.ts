import { createServer, type AddressInfo } from "node:net";
import sade from "sade";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MetricsServer } from "../../platform/metrics.ts";
import { addWhereCommand } from "../../platform/where-command.ts";
import { answerWhere } from "../../platform/where.ts";
import { MetricCounters } from "../../src/coordination/counters.ts";
import { JOBS_PREFIX, PROGRESS_PREFIX } from "../../src/protocol/job-records.ts";
import type { PlacementAnswer } from "../../src/protocol/placement-answers.ts";
import { fleetConfig, jobRequest, queueConfig, step } from "../fakes/jobs/job-builders.ts";
import { JobCluster, type ClusterEntry } from "../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { TestCli } from "../fakes/test-cli.ts";

const LOG = { debug: none, info: none, warn: none, error: none };
const STEPS = [
  { cpu: 9000, estimateMs: 50, count: 2 },
  { cpu: 100, estimateMs: 50, after: [0] },
];

function none(): void {
  // These tests do not check log lines.
}

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

interface Setup {
  readonly cluster: JobCluster;
  readonly scheduler: ClusterEntry;
  readonly cli: TestCli;
  /** Runs the command against the instance that is not the scheduler. */
  readonly where: (args: string) => Promise<void>;
}

async function withCommand(check: (setup: Setup) => Promise<void>): Promise<void> {
  const queues = [queueConfig(), queueConfig({ name: "keyed", openToAll: false })];
  const config = fleetConfig({ queues });
  const cluster = new JobCluster({ random: new SeededRandom(1), config, entries: 2 });
  const scheduler = await cluster.electScheduler();
  await cluster.clock.advance(2000);
  const { entry } = cluster.entries.find((other) => other !== scheduler)!;
  const server = new MetricsServer(new MetricCounters(), LOG, (question) =>
    answerWhere(entry, question),
  );
  const port = await freePort();
  await server.listen({ host: "127.0.0.1", port });
  const cli = new TestCli();
  cli.files.set("job.json", JSON.stringify({ steps: STEPS }));
  cli.files.set("half.json", JSON.stringify({ steps: [{ cpu: 4000, estimateMs: 50 }] }));
  cli.files.set("bad.json", "{}");
  const where = async (args: string): Promise<void> => {
    cli.out = [];
    cli.errors = [];
    const program = sade("teaselspool");
    addWhereCommand(program, cli);
    const url = `http://127.0.0.1:${port}`;
    const argv = ["node", "teaselspool", "where", ...args.split(" "), "--admin", url];
    const { handler, args: values } = program.parse(argv, { lazy: true });
    await Reflect.apply(handler, undefined, values);
  };
  try {
    await check({ cluster, scheduler, cli, where });
  } finally {
    server.close();
  }
}

// Guards against an answer that is a guess of the asked instance, and against a question that submits.
test("where answers with the scheduler's reasons for each zone and stores nothing", async () => {
  await withCommand(async ({ cluster, scheduler, cli, where }) => {
    cluster.drain("s0");
    await cluster.clock.advance(500);
    const before = cluster.store.revision;
    await where("job.json --queue queue --json");
    assert.is(cli.code, 0);
    const answer = JSON.parse(cli.out.join("")) as PlacementAnswer;
    const names = cluster.entries.map((entry) => (entry === scheduler ? "scheduler" : "asked"));
    const nameOf = (name?: string) => names[Number(name?.slice(1))];
    assert.is(nameOf(answer.placement?.scheduler), "scheduler");
    assert.is(nameOf(answer.answeredBy), "asked");
    const [first, second] = answer.placement?.steps ?? [];
    assert.equal(first?.groups, [
      { zone: "z0", servers: 2, fitting: 0, reasons: { draining: 1, "no-cpu": 1 } },
      { zone: "z1", servers: 2, fitting: 0, reasons: { "no-cpu": 2 } },
    ]);
    assert.equal(second?.groups, [
      { zone: "z0", servers: 2, fitting: 1, reasons: { draining: 1 } },
      { zone: "z1", servers: 2, fitting: 2, reasons: {} },
    ]);
    assert.equal([first?.class, second?.class], ["on-time", "after-others"]);
    await where("job.json --queue keyed --organisation org");
    assert.is(cli.code, 0);
    assert.match(cli.out.join("\n"), "zone z0: 0 of 2 servers fit, draining 1, no-cpu 1");
    await cluster.clock.advance(1000);
    for (const prefix of [JOBS_PREFIX, PROGRESS_PREFIX])
      assert.is(cluster.store.range(prefix).records.length, 0);
    assert.ok(cluster.store.revision - before < 3, "only leases may change the store");
  });
});

// Guards against servers that are named as fitting while they get no task, or only small ones.
test("where knows evacuated zones and cold servers", async () => {
  await withCommand(async ({ cluster, scheduler, cli, where }) => {
    for (const id of ["s0", "s1", "s2", "s3"]) cluster.setColdTime(id, 600_000);
    cluster.evacuate("z1");
    await cluster.clock.advance(1000);
    const small = jobRequest(step({ estimateMs: 60_000 }));
    void cluster.submit(scheduler, "small", small);
    await cluster.clock.advance(300);
    await where("half.json --queue queue --json");
    const answer = JSON.parse(cli.out.join("")) as PlacementAnswer;
    assert.equal(answer.placement?.steps[0]?.groups, [
      { zone: "z0", servers: 2, fitting: 1, reasons: { cold: 1 } },
      { zone: "z1", servers: 2, fitting: 0, reasons: { evacuated: 2 } },
    ]);
  });
});

// Guards against an answer without the scheduler's part that looks complete.
test("where names the scheduler that does not answer and fails", async () => {
  await withCommand(async ({ cluster, scheduler, cli, where }) => {
    cluster.kill(scheduler);
    await where("job.json --queue queue");
    assert.is(cli.code, 1);
    assert.match(cli.out.join("\n"), "the job would be accepted");
    assert.match(cli.errors.join("\n"), "candidate servers are not known");
  });
});

// Guards against wrong input that is reported as a failure of the system.
test("where refuses malformed jobs, unknown queues and unknown organisations as invalid input", async () => {
  await withCommand(async ({ cli, where }) => {
    const cases = [
      ["none.json --queue queue", "cannot be read"],
      ["bad.json --queue queue", "malformed"],
      ["job.json", "--queue: missing"],
      ["job.json --queue nowhere", 'unknown queue "nowhere"; allowed: queue, keyed'],
      ["job.json --queue keyed --organisation nobody", 'unknown organisation "nobody"'],
      ["job.json --queue keyed", "needs an organisation"],
    ] as const;
    for (const [args, message] of cases) {
      await where(args);
      assert.is(cli.code, 2);
      assert.match(cli.errors.join("\n"), message);
    }
  });
});

test.run();
