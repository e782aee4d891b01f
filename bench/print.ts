import type { Measurement, Spread } from "./measurement-schema.ts";

/** Formats a figure: one value, or minimum, median and maximum if the rounds differ. */
export function formatSpread(values: Spread | undefined): string {
  if (values === undefined) return "none";
  const { min, median, max } = values;
  const numbers = min === max ? [min] : [min, median, max];
  return numbers.map((value) => String(Math.round(value * 100) / 100)).join(" / ");
}

/** Prints the figures as a Markdown table. */
export function printMeasurement(measurement: Measurement): void {
  const { scenario, site, describe, seed, rounds, secondsPerRound, cpuSecondsPerRound, rows } =
    measurement;
  console.log(`${scenario}, ${site}: ${describe}`);
  console.log(
    `seeds ${seed} to ${seed + rounds - 1}, ${secondsPerRound} s for the longest round, ` +
      `${cpuSecondsPerRound} s of CPU time a round`,
  );
  console.log("| figure | baseline | product |");
  console.log("|---|---|---|");
  for (const { figure, baseline, product } of rows)
    console.log(`| ${figure} | ${formatSpread(baseline)} | ${formatSpread(product)} |`);
}
