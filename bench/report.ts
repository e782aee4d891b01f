/** Renders a static HTML page with plots, without scripts or external resources. */
import type { Measurement } from "./measurement-schema.ts";
import { formatSpread } from "./print.ts";
import { barChart, escapeText, lineChart } from "./svg.ts";

/** Target of section 1.8 of the design for the start of urgent work, in milliseconds. */
const URGENT_TARGET_MS = 3700;
const STYLE =
  "body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}" +
  "td,th{border:1px solid #bbb;padding:2px 8px;text-align:left}svg{margin:4px 12px 4px 0}";

export function reportPage(measurements: readonly Measurement[]): string {
  return [
    "<!doctype html>",
    `<html lang="en"><head><meta charset="utf-8"><title>Benchmarks</title>`,
    `<style>${STYLE}</style></head><body><h1>Benchmarks on virtual time</h1>`,
    overview(measurements),
    ...measurements.map(section),
    "</body></html>\n",
  ].join("\n");
}

function overview(measurements: readonly Measurement[]): string {
  return barChart({
    title: "Start wait of urgent work, p99.9",
    unit: "ms",
    target: URGENT_TARGET_MS,
    bars: measurements.map(({ scenario, site, rows }) => {
      const row = rows.find(({ figure }) => figure === "urgent start wait p99.9 ms");
      return {
        label: `${scenario}, ${site}`,
        baseline: row?.baseline?.median ?? 0,
        product: row?.product?.median ?? 0,
      };
    }),
  });
}

function section(measurement: Measurement): string {
  const { scenario, site, describe, seed, rounds, secondsPerRound, rows, series } = measurement;
  const charts = Object.keys(series.product).map((name) =>
    lineChart({
      title: `${name} by second`,
      lines: [
        { label: "baseline", points: series.baseline[name] ?? [] },
        { label: "product", points: series.product[name] ?? [] },
      ],
    }),
  );
  const cells = rows.map(
    ({ figure, baseline, product }) =>
      `<tr><td>${escapeText(figure)}</td><td>${formatSpread(baseline)}</td>` +
      `<td>${formatSpread(product)}</td></tr>`,
  );
  return [
    `<h2>${escapeText(scenario)}, ${escapeText(site)}</h2>`,
    `<p>${escapeText(describe)}. Seeds ${seed} to ${seed + rounds - 1}, ${secondsPerRound} s of ` +
      "real time for the longest round.</p>",
    ...charts,
    "<details><summary>All figures</summary><table>",
    "<tr><th>figure</th><th>baseline</th><th>product</th></tr>",
    ...cells,
    "</table></details>",
  ].join("\n");
}
