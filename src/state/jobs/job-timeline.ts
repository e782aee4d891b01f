/** Finds the log lines that explain what became of a job. */

/** A log line as the processes write it. */
export interface LogLine {
  /** Unix time in milliseconds. */
  readonly time: number;
  readonly instance: string;
  readonly msg: string;
  /** The other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Messages that change what a scheduler can do, shown where they fall into a job's time. */
const CONTEXT: readonly string[] = [
  "scheduler lock acquired",
  "scheduler lock lost",
  "scheduler lock released",
  "scheduling ended",
  "store is out of reach, calls go through peers",
  "store is reached directly again",
  "configuration in force",
  "runs are gone",
];

/** Reads a line; undefined if it is none of a process. */
export function parseLogLine(text: string): LogLine | undefined {
  const begin = text.indexOf("{");
  if (begin < 0) return undefined;
  try {
    const parsed = JSON.parse(text.slice(begin)) as Readonly<Record<string, unknown>>;
    const { time, instance, msg, level: _level, ...fields } = parsed;
    if (typeof time !== "number" || typeof msg !== "string") return undefined;
    return { time, msg, fields, instance: typeof instance === "string" ? instance : "?" };
  } catch {
    // Lines of other programs are passed over.
    return undefined;
  }
}

/** Lines of one job in time order, with what happened to the system meanwhile. */
export function jobTimeline(lines: readonly LogLine[], job: string): readonly LogLine[] {
  const own = lines.filter((line) => concerns(line, job));
  const first = Math.min(...own.map(({ time }) => time));
  const last = Math.max(...own.map(({ time }) => time));
  const context = lines.filter(
    ({ msg, time }) => CONTEXT.includes(msg) && time >= first && time <= last,
  );
  return [...new Set([...own, ...context])].sort((a, b) => a.time - b.time);
}

function concerns({ fields }: LogLine, job: string): boolean {
  const { job: named, task, path } = fields;
  if (named === job) return true;
  if (typeof task === "string" && task.startsWith(`${job}.`)) return true;
  return typeof path === "string" && path.endsWith(job);
}
