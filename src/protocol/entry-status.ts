import * as v from "valibot";

/** Value of `sessions/<incarnation>`, limited to the fields that operator commands use. */
export const SessionSchema = v.looseObject({
  incarnation: v.string(),
  zone: v.string(),
  adminAddress: v.optional(v.string()),
  /** Pool group of the entry instance. */
  group: v.optional(v.string()),
});

/** Running tasks and budget of a team at one entry instance. */
export const TeamUsageSchema = v.looseObject({
  team: v.string(),
  running: v.number(),
  budget: v.number(),
  queued: v.number(),
});

/** A planner decision, or an action that a limit prevented, and the reason for it. */
export const ExplanationSchema = v.looseObject({
  /** Wall-clock time in milliseconds since the Unix epoch. */
  at: v.number(),
  rule: v.string(),
  text: v.string(),
  figures: v.record(v.string(), v.number()),
});

/** Planner status, reported by the entry instance that holds the planner's leader role. */
export const PlannerStatusSchema = v.looseObject({
  /** Recent decisions, newest last. */
  decisions: v.array(ExplanationSchema),
  /** Actions that limits prevented in the last round. */
  withheld: v.array(ExplanationSchema),
  bufferServers: v.number(),
  bufferInstanceHours: v.number(),
  /** Number of server moves that the planner ordered. */
  moves: v.number(),
  /** Duration in milliseconds of the last finished maintenance wave; undefined if there is none. */
  rolloutMs: v.optional(v.number()),
});

/** How close teams are to their share, from 0 to 1, over windows of one length. */
export const ShareClosenessSchema = v.looseObject({
  windowMs: v.number(),
  windows: v.number(),
  mean: v.number(),
  lowest: v.number(),
});

/** `/status` of an entry instance, limited to the fields that operator commands use. */
export const EntryStatusSchema = v.looseObject({
  incarnation: v.string(),
  zone: v.string(),
  configRevision: v.number(),
  configAgeMs: v.optional(v.number()),
  platformReachable: v.optional(v.boolean()),
  keyedWorkAllowed: v.optional(v.boolean()),
  teams: v.optional(v.array(TeamUsageSchema)),
  planner: v.optional(PlannerStatusSchema),
  closeness: v.optional(v.array(ShareClosenessSchema)),
  /** Backend servers that the entry instance knows to be down. */
  downServers: v.optional(v.array(v.string())),
  /** Backend servers on which tasks fail that succeed elsewhere. */
  badServers: v.optional(v.array(v.string())),
});

export type Session = Readonly<v.InferOutput<typeof SessionSchema>>;
export type Explanation = Readonly<v.InferOutput<typeof ExplanationSchema>>;
export type PlannerStatus = Readonly<v.InferOutput<typeof PlannerStatusSchema>>;
export type ShareCloseness = Readonly<v.InferOutput<typeof ShareClosenessSchema>>;
export type EntryStatus = Readonly<v.InferOutput<typeof EntryStatusSchema>>;

/** Key prefix of the session records of entry instances. */
export const SESSION_PREFIX = "sessions/";
