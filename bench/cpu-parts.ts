/** Splits a CPU profile of the scheduler into the parts of its work. */
import { Session, type Profiler } from "node:inspector";

/** Interval in microseconds between two samples of the profile. */
const SAMPLE_INTERVAL_US = 200;

/** Parts of the scheduler's work. */
export const PARTS = ["rounds", "orders", "polls", "records", "watches"] as const;
export type Part = (typeof PARTS)[number];

/**
 * Source files under src/ that belong to a part. Time in other product code counts for the part of
 * the nearest caller in one of these files.
 */
const PART_OF_FILE: Readonly<Record<string, Part>> = {
  "scheduling/scheduler.ts": "rounds",
  "scheduling/placement-round.ts": "rounds",
  "scheduling/scheduler-load.ts": "rounds",
  "execution/straggler-detector.ts": "rounds",
  "fleet/pool-demand.ts": "rounds",
  "execution/run-starter.ts": "orders",
  "execution/server-driver.ts": "polls",
  "execution/run-end-handler.ts": "polls",
  "execution/run-tracker.ts": "polls",
  "execution/filler-pacer.ts": "polls",
  "records/progress-writer.ts": "records",
  "admission/pending-counts.ts": "records",
  "records/record-follower.ts": "watches",
  "records/job-registry.ts": "watches",
};

/** Functions that belong to another part than their file; undefined means the part of the caller. */
const PART_OF_FUNCTION: Readonly<Record<string, Part | undefined>> = {
  "execution/run-tracker.ts place": undefined,
  "execution/run-tracker.ts #add": undefined,
  "execution/run-tracker.ts undoPlacement": undefined,
  "execution/run-tracker.ts launch": "orders",
  "execution/run-tracker.ts #logStarts": "orders",
  "execution/run-starter.ts reserve": undefined,
  "execution/server-driver.ts start": "orders",
  "execution/server-driver.ts requestPoll": undefined,
};

/** Processor time by part and by function, in microseconds. */
export interface CpuParts {
  readonly parts: ReadonlyMap<Part, number>;
  /** Garbage collection of the whole process. */
  readonly garbageCollectionUs: number;
  /** Share of the scheduler in all JavaScript time, from 0 to 1. */
  readonly schedulerShare: number;
  /** Time by product function, without the product functions that it calls; longest first. */
  readonly functions: readonly (readonly [string, number])[];
}

/** Profiles the work and attributes its samples. */
export async function profileParts(work: () => Promise<void>): Promise<CpuParts> {
  const session = new Session();
  session.connect();
  session.post("Profiler.enable");
  session.post("Profiler.setSamplingInterval", { interval: SAMPLE_INTERVAL_US });
  session.post("Profiler.start");
  await work();
  // In the same process the callback runs before `post` returns.
  let profile: Profiler.Profile = { nodes: [], startTime: 0, endTime: 0 };
  session.post("Profiler.stop", (_err, result) => {
    profile = result.profile;
  });
  session.disconnect();
  return attribute(profile);
}

interface Frame {
  readonly node: Profiler.ProfileNode;
  parent: Frame | undefined;
}

function attribute({ nodes, samples = [], timeDeltas = [] }: Profiler.Profile): CpuParts {
  const frames = new Map<number, Frame>();
  for (const node of nodes) frames.set(node.id, { node, parent: undefined });
  for (const frame of frames.values())
    for (const child of frame.node.children ?? []) frames.get(child)!.parent = frame;
  const parts = new Map<Part, number>(PARTS.map((part) => [part, 0]));
  const functions = new Map<string, number>();
  let garbageCollectionUs = 0;
  let otherUs = 0;
  for (const [index, id] of samples.entries()) {
    const us = Math.max(0, timeDeltas[index] ?? 0);
    const frame = frames.get(id)!;
    const { functionName } = frame.node.callFrame;
    if (functionName === "(garbage collector)") garbageCollectionUs += us;
    else if (functionName !== "(idle)" && functionName !== "(program)") {
      const found = partOf(frame);
      if (found === undefined) otherUs += us;
      else {
        parts.set(found.part, parts.get(found.part)! + us);
        functions.set(found.name, (functions.get(found.name) ?? 0) + us);
      }
    }
  }
  const schedulerUs = [...parts.values()].reduce((sum, us) => sum + us, 0);
  return {
    parts,
    garbageCollectionUs,
    schedulerShare: schedulerUs / Math.max(1, schedulerUs + otherUs),
    functions: [...functions].sort(([, a], [, b]) => b - a),
  };
}

/** Part and innermost product function of a sample; undefined for stand-ins and the harness. */
function partOf(sample: Frame): { readonly part: Part; readonly name: string } | undefined {
  let name: string | undefined;
  for (let frame: Frame | undefined = sample; frame !== undefined; frame = frame.parent) {
    const { url, functionName } = frame.node.callFrame;
    if (/\/(stand-ins|bench|fakes)\//.test(url)) return undefined;
    const path = /\/src\/(.+)$/.exec(url)?.[1];
    if (path === undefined) continue;
    const file = path.split("/").slice(-2).join("/");
    name ??= `${file} ${functionName}`;
    const key = `${file} ${functionName}`;
    const part = key in PART_OF_FUNCTION ? PART_OF_FUNCTION[key] : PART_OF_FILE[file];
    if (part !== undefined) return { part, name };
  }
  return undefined;
}
