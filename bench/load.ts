/** Sends requests at a fixed rate to entry instances on loopback and prints latencies as JSON. */
import sade from "sade";
import * as v from "valibot";
import { SystemClock } from "../src/ports/system-clock.ts";
import { LOAD_LIMITS, runLoad } from "./load-generator.ts";

const OptionsSchema = v.object({
  callers: v.string(),
  queue: v.string(),
  key: v.optional(v.string()),
  rate: v.pipe(v.number(), v.gtValue(0), v.maxValue(LOAD_LIMITS.requestsPerSecond)),
  seconds: v.pipe(v.number(), v.gtValue(0), v.maxValue(LOAD_LIMITS.seconds)),
  "run-ms": v.pipe(v.number(), v.minValue(0)),
  "timeout-ms": v.pipe(v.number(), v.gtValue(0)),
  priority: v.optional(v.picklist(["urgent", "normal", "batch"])),
});

sade("load", true)
  .describe("Send requests at a fixed rate to entry instances on loopback")
  .option("--callers", "Addresses http://127.x.x.x:PORT, separated by commas")
  .option("--queue", "Queue to submit to")
  .option("--key", "API key; not needed for open queues")
  .option("--rate", "Requests per second", 50)
  .option("--seconds", "Duration", 10)
  .option("--run-ms", "Run time that the stand-in gives each task, in milliseconds", 20)
  .option("--timeout-ms", "Timeout of each request, in milliseconds", 30_000)
  .option("--priority", "urgent, normal or batch")
  .action(async (raw: unknown) => {
    const parsed = v.safeParse(OptionsSchema, raw);
    if (!parsed.success) {
      console.error(v.summarize(parsed.issues));
      process.exitCode = 2;
      return;
    }
    const { callers, queue, key, rate, seconds, priority, ...rest } = parsed.output;
    const report = await runLoad({
      clock: new SystemClock(),
      callers: callers.split(","),
      queue,
      key,
      requestsPerSecond: rate,
      seconds,
      headers: priority === undefined ? {} : { priority },
      body: (n) => JSON.stringify({ n, runMs: rest["run-ms"] }),
      timeoutMs: rest["timeout-ms"],
    });
    console.log(JSON.stringify(report, undefined, 2));
  })
  .parse(process.argv);
