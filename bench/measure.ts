import { SeededRandom } from "../test/fakes/seeded-random.ts";
import { runBaseline } from "./baseline.ts";
import type { Measurement, Spread } from "./measurement-schema.ts";
import { runProduct } from "./product.ts";
import type { Figures, RunResult } from "./recorder.ts";
import type { Scenario } from "./scenario.ts";
import type { Site } from "./site.ts";
import { generateArrivals } from "./workload.ts";

/** Options of {@link measure}. */
export interface MeasureOptions {
  readonly name: string;
  readonly scenario: Scenario;
  readonly site: Site;
  /** Seed of the first round; each further round adds 1. */
  readonly seed: number;
  readonly rounds: number;
}

/** Runs the baseline and the product with the same requests, once per seed. */
export async function measure(options: MeasureOptions): Promise<Measurement> {
  const { name, scenario, site, seed, rounds } = options;
  const baseline: RunResult[] = [];
  const product: RunResult[] = [];
  let longestMs = 0;
  const cpuBefore = process.cpuUsage();
  for (let round = seed; round < seed + rounds; round++) {
    const started = performance.now();
    const requests = generateArrivals(site, scenario, new SeededRandom(round));
    const run = { site, scenario, requests };
    baseline.push(await runBaseline({ ...run, random: new SeededRandom(round) }));
    product.push(await runProduct({ ...run, random: new SeededRandom(round) }));
    longestMs = Math.max(longestMs, performance.now() - started);
  }
  const { user, system } = process.cpuUsage(cpuBefore);
  return {
    scenario: name,
    site: site.name,
    describe: scenario.describe,
    seed,
    rounds,
    secondsPerRound: Math.round(longestMs / 100) / 10,
    cpuSecondsPerRound: Math.round((user + system) / rounds / 100_000) / 10,
    rows: rowsOf(baseline, product),
    series: { baseline: copySeries(baseline[0]!), product: copySeries(product[0]!) },
  };
}

function rowsOf(
  baseline: readonly RunResult[],
  product: readonly RunResult[],
): Measurement["rows"] {
  const figures = [...product, ...baseline].flatMap((run) => [...run.figures.keys()]);
  return [...new Set(figures)].map((figure) => ({
    figure,
    baseline: spread(baseline, figure),
    product: spread(product, figure),
  }));
}

/**
 * Spread of a figure over the rounds; undefined if none has it. Rounds without a refusal of some kind
 * lack its figure and count as 0.
 */
function spread(rounds: readonly RunResult[], figure: string): Spread | undefined {
  const absent = figure.startsWith("refused ") ? [0] : [];
  const value = ({ figures }: { readonly figures: Figures }): readonly number[] =>
    figures.has(figure) ? [figures.get(figure)!] : absent;
  const values = rounds.flatMap(value).sort((a, b) => a - b);
  if (values.length === 0) return undefined;
  const middle = (values.length - 1) / 2;
  const median = (values[Math.floor(middle)]! + values[Math.ceil(middle)]!) / 2;
  return { min: values[0]!, median, max: values.at(-1)! };
}

function copySeries({ series }: RunResult): Record<string, number[]> {
  return Object.fromEntries(Object.entries(series).map(([name, points]) => [name, [...points]]));
}
