import { NOOP_LOG } from "../fakes/observability-fakes.ts";
import { baselineFactory } from "./baseline-entry.ts";
import { cutFor } from "./commands/effects.ts";
import { isolateZone, killAndReplace } from "./commands/faults.ts";
import type { EntryFactory } from "./entry-under-test.ts";
import { TEAMS } from "./fleet-plan.ts";
import { productFactory } from "./product.ts";
import { World } from "./world.ts";

/** Duration of each fault, in milliseconds. */
const FAULT_MS = 30_000;
/** Duration of the load before the fault, in milliseconds. */
const LOAD_BEFORE_MS = 6000;
/** Idle time before a fault, in milliseconds; longer than entry instances keep unused budget. */
const IDLE_MS = 10_000;
/** Time in which each entry instance gets one request for each queue of the load, in milliseconds. */
const ROUND_MS = 1000;
const RUN_MS = 100;
const TIMEOUT_MS = 2000;
/** Queues of the load. The teams take turns; open queues get requests without a key. */
const LOAD_QUEUES = ["plans", "orders", "notices"] as const;

/** A fault, or none, during which requests and answers are counted. */
export interface FaultScenario {
  readonly name: string;
  /** Time without requests right before the fault, in milliseconds; unused budgets are returned. */
  readonly idleMs: number;
  readonly begin: (world: World) => void;
}

export const FAULT_SCENARIOS: readonly FaultScenario[] = [
  { name: "none", idleMs: 0, begin: () => undefined },
  {
    name: "one zone partitioned",
    idleMs: 0,
    begin: (world) => {
      isolateZone(world, 0, FAULT_MS, false);
    },
  },
  { name: "platform down", idleMs: 0, begin: platformDown },
  { name: "platform down, teams idle before", idleMs: IDLE_MS, begin: platformDown },
  {
    name: "one entry dead",
    idleMs: 0,
    begin: (world) => {
      killAndReplace(world, 0, FAULT_MS);
    },
  },
];

function platformDown(world: World): void {
  cutFor(world, "entry", "platform", FAULT_MS, false);
}

/** Counts of requests sent and answered during a fault, and of violations. */
export interface ServedCount {
  readonly sent: number;
  readonly answered: number;
  readonly violations: number;
}

/** Options of {@link measureServed}. */
export interface ServedOptions {
  readonly factory: EntryFactory;
  readonly seed: number;
  readonly fault: FaultScenario;
}

/** Injects a fault into one world under constant load and counts the answers. */
export async function measureServed({ factory, seed, fault }: ServedOptions): Promise<ServedCount> {
  const zones = seed % 2 === 0 ? ["a", "b"] : ["a", "b", "c"];
  const world = new World({ seed, zones, entriesPerZone: 2, factory, log: NOOP_LOG });
  await world.start();
  await generateLoad(world, LOAD_BEFORE_MS);
  await world.advance(fault.idleMs);
  const { requests } = world.oracle;
  const first = requests.callCount;
  fault.begin(world);
  world.observe();
  await generateLoad(world, FAULT_MS);
  const sent = requests.callCount - first;
  await world.advance(TIMEOUT_MS);
  const answered = requests.countAnswered(first, sent);
  world.dispose();
  return { sent, answered, violations: world.violations.length };
}

/** Sends requests to live entry instances only, as the platform's load balancer does. */
async function generateLoad(world: World, forMs: number): Promise<void> {
  for (let passed = 0; passed < forMs; passed += ROUND_MS) {
    const live = world.slots.filter((slot) => slot.process !== undefined);
    for (const [n, slot] of live.entries()) {
      const team = TEAMS[(n + passed / ROUND_MS) % TEAMS.length]!;
      for (const queue of LOAD_QUEUES) submit(world, slot, queue, team);
      await world.advance(ROUND_MS / live.length);
    }
  }
}

function submit(world: World, slot: World["slots"][number], queue: string, team: string): void {
  const request = {
    queue,
    team,
    key: queue === "notices" ? undefined : world.operators.validKey(team),
    idempotencyKey: undefined,
    priority: "normal",
    atMostOnce: false,
    timeoutMs: TIMEOUT_MS,
    job: world.callers.newJob(RUN_MS),
  } as const;
  world.callers.submit(request, slot, "sync");
}

/**
 * Prints the share of requests answered during each fault, for the product and the baseline.
 * Resolves to true if the product violated no property.
 */
export async function compareWithBaseline(options: {
  readonly seed: number;
  readonly runs: number;
}): Promise<boolean> {
  console.log("fault | requests | product | baseline | violations of the product");
  let violations = 0;
  for (const fault of FAULT_SCENARIOS) {
    const product = await measureServedTotal({ ...options, factory: productFactory, fault });
    const baseline = await measureServedTotal({
      ...options,
      factory: baselineFactory(productFactory),
      fault,
    });
    violations += product.violations;
    const columns = [
      fault.name,
      product.sent,
      formatShare(product),
      formatShare(baseline),
      product.violations,
    ];
    console.log(columns.join(" | "));
  }
  return violations === 0;
}

/** Measures worlds with consecutive seeds and adds up their counts. */
export async function measureServedTotal({
  seed,
  runs,
  ...rest
}: ServedOptions & { readonly runs: number }): Promise<ServedCount> {
  let sum: ServedCount = { sent: 0, answered: 0, violations: 0 };
  for (let run = 0; run < runs; run++) {
    const one = await measureServed({ ...rest, seed: seed * 1000 + run });
    sum = {
      sent: sum.sent + one.sent,
      answered: sum.answered + one.answered,
      violations: sum.violations + one.violations,
    };
  }
  return sum;
}

function formatShare({ sent, answered }: ServedCount): string {
  return `${((100 * answered) / sent).toFixed(1)}%`;
}
