import * as v from "valibot";

const SpreadSchema = v.object({ min: v.number(), median: v.number(), max: v.number() });
const SeriesSchema = v.record(v.string(), v.array(v.number()));

/** Format in which `--json` prints a measurement and the report reads it. */
export const MeasurementSchema = v.object({
  scenario: v.string(),
  site: v.string(),
  describe: v.string(),
  seed: v.number(),
  rounds: v.number(),
  /** Real time of the longest round, for both policies together. */
  secondsPerRound: v.number(),
  cpuSecondsPerRound: v.number(),
  rows: v.array(
    v.object({
      figure: v.string(),
      baseline: v.optional(SpreadSchema),
      product: v.optional(SpreadSchema),
    }),
  ),
  /** Values per second of the first round. */
  series: v.object({ baseline: SeriesSchema, product: SeriesSchema }),
});

/** Figures of one scenario at one site over the rounds. */
export type Measurement = Readonly<v.InferOutput<typeof MeasurementSchema>>;
/** Minimum, median and maximum of a figure over the rounds. */
export type Spread = Readonly<v.InferOutput<typeof SpreadSchema>>;
