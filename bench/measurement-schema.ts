import * as v from "valibot";

const SpreadSchema = v.object({ min: v.number(), median: v.number(), max: v.number() });
const SeriesSchema = v.record(v.string(), v.array(v.number()));

/** What `--json` prints and the report reads. */
export const MeasurementSchema = v.object({
  scenario: v.string(),
  site: v.string(),
  describe: v.string(),
  seed: v.number(),
  rounds: v.number(),
  /** Longest real time of a round, both policies together. */
  secondsPerRound: v.number(),
  cpuSecondsPerRound: v.number(),
  rows: v.array(
    v.object({
      figure: v.string(),
      baseline: v.optional(SpreadSchema),
      product: v.optional(SpreadSchema),
    }),
  ),
  /** Values for each second of the first round. */
  series: v.object({ baseline: SeriesSchema, product: SeriesSchema }),
});

/** Figures of one scenario at one site over the rounds. */
export type Measurement = Readonly<v.InferOutput<typeof MeasurementSchema>>;
/** Figure over the rounds. */
export type Spread = Readonly<v.InferOutput<typeof SpreadSchema>>;
