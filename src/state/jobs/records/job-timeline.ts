/** Collects the log lines that show the timeline of a job. */

/** A log line as written by a process. */
export interface LogLine {
  /** Unix time in milliseconds. */
  readonly time: number;
  readonly instance: string;
  readonly msg: string;
  /** All other fields of the line except its level. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Messages on events that affect scheduling; shown if they occur within the timeline of a job. */
const CONTEXT_MESSAGES: readonly string[] = [
  "scheduler lock acquired",
  "scheduler lock lost",
  "scheduler lock released",
  "scheduling ended",
  "store is out of reach, calls go through peers",
  "store is reached directly again",
  "configuration in force",
  "runs are gone",
];

/** Parses a line; undefined if it is not a log line of a process. */
export function parseLogLine(text: string): LogLine | undefined {
  const begin = text.indexOf("{");
  if (begin < 0) return undefined;
  try {
    const parsed = JSON.parse(text.slice(begin)) as Readonly<Record<string, unknown>>;
    const { time, instance, msg, level: _level, ...fields } = parsed;
    if (typeof time !== "number" || typeof msg !== "string") return undefined;
    return { time, msg, fields, instance: typeof instance === "string" ? instance : "?" };
  } catch {
    // Skips lines of other programs.
    return undefined;
  }
}

/** Log lines of one job in time order, with the events that affected scheduling meanwhile. */
export function jobTimeline(lines: readonly LogLine[], job: string): readonly LogLine[] {
  const own = lines.filter((line) => isAboutJob(line, job));
  const first = Math.min(...own.map(({ time }) => time));
  const last = Math.max(...own.map(({ time }) => time));
  const context = lines.filter(
    ({ msg, time }) => CONTEXT_MESSAGES.includes(msg) && time >= first && time <= last,
  );
  return [...new Set([...own, ...context])].sort((a, b) => a.time - b.time);
}

function isAboutJob({ fields }: LogLine, job: string): boolean {
  const { job: named, task, path } = fields;
  if (named === job) return true;
  if (typeof task === "string" && task.startsWith(`${job}.`)) return true;
  return typeof path === "string" && path.endsWith(job);
}
