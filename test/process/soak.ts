/**
 * `npm run soak -- --seed N --commands N`: random faults on separate processes under load.
 *
 * Complements fuzzing on virtual time, which has no sockets and no process exits. Callers send
 * requests that must not run twice; their replies are checked against the task events that the
 * backend servers printed. After all faults are cleared, each entry must serve requests again.
 */
import { once } from "node:events";
import fc, { type AsyncCommand } from "fast-check";
import sade from "sade";
import * as assert from "uvu/assert";
import {
  countAnswered,
  assertRepliesMatchTasks,
  peakRunningTasks,
  sendOrder,
  orderTemplate,
  type Reply,
} from "./callers.ts";
import { ProcessCluster, waitFor, type EntryProcessHandle } from "./cluster.ts";

const UPPER_LIMIT = 7;
const CALLER_COUNT = 6;
/** One in this many requests is sent a second time through another entry instance. */
const REPEAT_EVERY = 5;

class SoakSite {
  readonly cluster = new ProcessCluster({
    zones: ["z1", "z2"],
    entriesPerZone: 2,
    serversPerZone: 3,
    slots: 2,
    template: orderTemplate({ upperLimit: UPPER_LIMIT }),
  });
  readonly replies: Reply[] = [];
  readonly #callers: Promise<void>[] = [];
  /** Entry instances that receive requests, as chosen by a load balancer. */
  readonly #ready: EntryProcessHandle[] = [];
  #key = "";
  #active = true;

  async start(): Promise<void> {
    await this.cluster.start();
    this.#key = await this.cluster.issueKey("crew");
    this.#ready.push(...this.cluster.entries);
    await this.waitUntilServing();
    for (let caller = 0; caller < CALLER_COUNT; caller++)
      this.#callers.push(this.#runCaller(caller));
  }

  entry(index: number): EntryProcessHandle {
    return this.#ready[index % this.#ready.length]!;
  }

  /** Ends the process of an entry instance and starts a new instance in its zone. */
  async replace(index: number, signal: "SIGKILL" | "SIGTERM"): Promise<void> {
    const entry = this.entry(index);
    this.#ready.splice(this.#ready.indexOf(entry), 1);
    const exit = once(entry.child, "exit");
    entry.child.kill(signal);
    if (signal === "SIGTERM") {
      await exit;
      assert.is(entry.child.exitCode, 0, "a graceful shutdown failed");
    }
    this.#ready.push(await this.cluster.startEntry(entry.zone));
  }

  /** Stops the load and waits until every caller has a reply. */
  async stopLoad(): Promise<void> {
    this.#active = false;
    await Promise.all(this.#callers);
  }

  /** Waits until each entry instance completes as many requests at once as the upper limit. */
  async waitUntilServing(): Promise<void> {
    for (const entry of this.#ready) {
      await waitFor(`successful replies from ${entry.callerUrl}`, async () => {
        const work = Array.from({ length: UPPER_LIMIT }, (_, n) => this.#send(entry, { n }));
        return countAnswered(await Promise.all(work)) === UPPER_LIMIT;
      });
    }
  }

  async #runCaller(caller: number): Promise<void> {
    for (let n = 0; this.#active; n++) {
      const body = { caller, n, runMs: 20 + ((n * 37) % 400) };
      const id = n % REPEAT_EVERY === 0 ? `caller-${caller}-${n}` : undefined;
      const reply = await this.#send(this.entry(caller + n), body, id);
      if (id !== undefined) await this.#send(this.entry(caller + n + 1), body, id);
      if (reply.status === undefined) await delay(50);
    }
  }

  async #send(entry: EntryProcessHandle, body: object, id?: string): Promise<Reply> {
    const reply = await sendOrder({ entry, key: this.#key, body, id, timeoutMs: "4000" });
    this.replies.push(reply);
    return reply;
  }
}

class ProcessCommand implements AsyncCommand<object, SoakSite> {
  constructor(
    readonly name: string,
    readonly action: (site: SoakSite) => Promise<void>,
  ) {}

  check(): boolean {
    return true;
  }

  async run(_model: object, site: SoakSite): Promise<void> {
    await this.action(site);
    await delay(500);
    assertRepliesMatchTasks(site.cluster, site.replies);
  }

  toString(): string {
    return this.name;
  }
}

const index = fc.nat({ max: 11 });
const pauseMs = fc.constantFrom(300, 2000, 6000, 25_000);
const faultMs = fc.constantFrom(1000, 5000, 10_000);
const faults = fc.constantFrom<Readonly<Record<string, unknown>>>(
  { unavailable: true },
  { delayMs: 700 },
  { loseReplies: true },
  { truncateReplies: true },
);

const COMMANDS = [
  fc.constant(new ProcessCommand("wait", () => delay(1000))),
  index.map((n) => new ProcessCommand(`kill(${n})`, (site) => site.replace(n, "SIGKILL"))),
  index.map((n) => new ProcessCommand(`stop(${n})`, (site) => site.replace(n, "SIGTERM"))),
  fc.tuple(index, pauseMs).map(([n, ms]) => {
    return new ProcessCommand(`pause(${n}, ${ms})`, async (site) => {
      const { child } = site.entry(n);
      child.kill("SIGSTOP");
      await delay(ms);
      child.kill("SIGCONT");
    });
  }),
  fc.tuple(faults, faultMs).map(([fault, ms]) => {
    return new ProcessCommand(`platform(${JSON.stringify(fault)}, ${ms})`, async (site) => {
      await site.cluster.setKeyValueFaults(fault);
      await delay(ms);
      await site.cluster.setKeyValueFaults(NO_FAULTS);
    });
  }),
  index.map((n) => {
    return new ProcessCommand(`replaceServer(${n})`, async ({ cluster }) => {
      const live = cluster.liveServers;
      await cluster.replaceServer(live[n % live.length]!);
    });
  }),
];
const NO_FAULTS = { unavailable: false, delayMs: 0, loseReplies: false, truncateReplies: false };

async function soak(seed: number, maxCommands: number): Promise<boolean> {
  const arbitrary = fc.commands<object, SoakSite, false>(COMMANDS, { maxCommands, size: "max" });
  const [commands] = fc.sample(arbitrary, { seed, numRuns: 1 });
  const site = new SoakSite();
  try {
    await site.start();
    await fc.asyncModelRun(() => ({ model: {}, real: site }), commands!);
    await site.stopLoad();
    await site.waitUntilServing();
    assertRepliesMatchTasks(site.cluster, site.replies);
    assert.ok(
      peakRunningTasks(site.cluster) <= UPPER_LIMIT,
      `${peakRunningTasks(site.cluster)} tasks at once`,
    );
    console.log(`seed ${seed}: passed`, countByOutcome(site.replies));
    return true;
  } catch (err) {
    console.log(`seed ${seed}: FAILED`, err);
    return false;
  } finally {
    console.log(`commands: ${fc.stringify(commands)}`);
    await site.cluster.stop();
  }
}

/** Counts replies by outcome. */
function countByOutcome(replies: readonly Reply[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { status, body } of replies) {
    const outcome =
      status === undefined
        ? "broken"
        : status === 200
          ? "answered"
          : /problem:(\w+)/.exec(body)?.[1];
    counts[outcome ?? "other"] = (counts[outcome ?? "other"] ?? 0) + 1;
  }
  return counts;
}

function delay(ms: number): Promise<void> {
  return new Promise((done) => setTimeout(done, ms));
}

sade("soak", true)
  .describe(
    "Inject faults into separate processes under load and check replies against task events.",
  )
  .option("--seed", "Seed of the commands", 1)
  .option("--commands", "Maximum number of commands in a run", 12)
  .action(async (options: { readonly seed: number; readonly commands: number }) => {
    process.exitCode = (await soak(options.seed, options.commands)) ? 0 : 1;
  })
  .parse(process.argv);
