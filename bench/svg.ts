/** Plots as inline SVG. */
const WIDTH = 420;
const HEIGHT = 160;
const MARGIN = 36;
const BAR_HEIGHT = 8;
const ROW_HEIGHT = 24;
const LABEL_WIDTH = 190;
const COLOURS = { baseline: "#999", product: "#06c", target: "#c00" } as const;

/** One policy's line in a chart. */
export interface Line {
  readonly label: keyof typeof COLOURS;
  readonly points: readonly number[];
}

/** The values of both policies under one label. */
export interface Bar {
  readonly label: string;
  readonly baseline: number;
  readonly product: number;
}

export function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}

/** Line chart over time, with one point per second. */
export function lineChart(chart: {
  readonly title: string;
  readonly lines: readonly Line[];
}): string {
  const highest = Math.max(1, ...chart.lines.flatMap(({ points }) => points));
  const length = Math.max(2, ...chart.lines.map(({ points }) => points.length));
  const x = (n: number): number => MARGIN + (n / (length - 1)) * (WIDTH - 2 * MARGIN);
  const y = (value: number): number => HEIGHT - MARGIN / 2 - (value / highest) * (HEIGHT - MARGIN);
  const lines = chart.lines.map(({ label, points }) => {
    const path = points.map((value, n) => `${x(n).toFixed(1)},${y(value).toFixed(1)}`).join(" ");
    return `<polyline fill="none" stroke="${COLOURS[label]}" points="${path}"/>`;
  });
  return svg(WIDTH, HEIGHT, [
    text(MARGIN, 12, chart.title),
    text(0, y(highest) + 4, String(Math.round(highest))),
    text(0, y(0), "0"),
    text(WIDTH - MARGIN, HEIGHT - 4, `${length - 1} s`),
    ...legend(WIDTH - 150),
    ...lines,
  ]);
}

/** Bar chart with two bars per label and a line at the target. */
export function barChart(chart: {
  readonly title: string;
  readonly unit: string;
  readonly target: number;
  readonly bars: readonly Bar[];
}): string {
  const { target, bars } = chart;
  const width = 2 * WIDTH;
  const height = ROW_HEIGHT * (bars.length + 1) + MARGIN;
  const highest = Math.max(target, ...bars.flatMap(({ baseline, product }) => [baseline, product]));
  const scale = (value: number): number => (value / highest) * (width - LABEL_WIDTH - 2 * MARGIN);
  const rows = bars.flatMap(({ label, baseline, product }, n) => {
    const top = MARGIN + n * ROW_HEIGHT;
    return [
      text(0, top + BAR_HEIGHT + 4, label),
      ...[baseline, product].flatMap((value, policy) => {
        const y = top + policy * BAR_HEIGHT;
        const colour = policy === 0 ? COLOURS.baseline : COLOURS.product;
        return [
          `<rect x="${LABEL_WIDTH}" y="${y}" width="${scale(value).toFixed(1)}" ` +
            `height="${BAR_HEIGHT - 1}" fill="${colour}"/>`,
          text(LABEL_WIDTH + scale(value) + 4, y + BAR_HEIGHT, String(Math.round(value))),
        ];
      }),
    ];
  });
  const x = (LABEL_WIDTH + scale(target)).toFixed(1);
  return svg(width, height, [
    text(0, 12, `${chart.title}, ${chart.unit}; target ${target}`),
    `<line x1="${x}" x2="${x}" y1="20" y2="${height}" stroke="${COLOURS.target}"/>`,
    ...legend(width - 150),
    ...rows,
  ]);
}

function legend(x: number): readonly string[] {
  return (["baseline", "product"] as const).map(
    (label, n) =>
      `<text x="${x + 70 * n}" y="12" font-size="11" fill="${COLOURS[label]}">${label}</text>`,
  );
}

function text(x: number, y: number, content: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" font-size="11">${escapeText(content)}</text>`;
}

function svg(width: number, height: number, parts: readonly string[]): string {
  return `<svg width="${width}" height="${height}" role="img">\n${parts.join("\n")}\n</svg>`;
}
