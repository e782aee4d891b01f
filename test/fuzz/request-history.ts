import type { TaskSpec } from "../../src/ports/backend-server.ts";
import type { CallerReply } from "../../src/coordination/ports.ts";
import type { Violations } from "./violations.ts";

/** One call of a caller. Retries with the same idempotency key have the same nonce. */
export interface Submission {
  readonly nonce: string;
  readonly queue: string;
  readonly key: string | undefined;
  /** Team that the key was issued to. */
  readonly team: string | undefined;
  readonly idempotent: boolean;
  /** Whether the key could still be valid when the call was sent. */
  readonly keyMayBeValid: boolean;
  /** Whether the queue accepts requests without a key. */
  readonly open: boolean;
  /** Whether the job fails on every server. */
  readonly bad: boolean;
  readonly timeoutMs: number;
}

interface TrackedCall {
  readonly submission: Submission;
  /**
   * "closed" after a reply which states that the request did not run; "done" after any other final
   * reply or the loss of the connection.
   */
  state: "sent" | "pending" | "closed" | "done";
  requestId: string | undefined;
  readonly sentAt: number;
  /** "answer" or the reason of the refusal, and the time of the reply. */
  outcome: { readonly text: string; readonly at: number } | undefined;
}

/** Calls with one nonce, and how often their task started and ended. */
interface NonceRecord {
  readonly calls: TrackedCall[];
  starts: number;
  ends: number;
}

/** Options of {@link RequestHistory}. */
export interface RequestHistoryOptions {
  readonly now: () => number;
  readonly violations: Violations;
  /** Returns the complete answer to a nonce under a request id. */
  readonly expectedAnswer: (nonce: string, requestId: string) => string;
  /** Time from which keyed requests must not be refused as stale; undefined if they may be. */
  readonly keyedWorkRequiredFrom: () => number | undefined;
}

/** Checks the replies to callers against the tasks that backend servers started. */
export class RequestHistory {
  readonly #options: RequestHistoryOptions;
  readonly #nonces = new Map<string, NonceRecord>();
  readonly #calls: TrackedCall[] = [];

  constructor(options: RequestHistoryOptions) {
    this.#options = options;
  }

  /** Records a call and returns its number. */
  sent(submission: Submission): number {
    const tracked: TrackedCall = {
      submission,
      state: "sent",
      requestId: undefined,
      sentAt: this.#options.now(),
      outcome: undefined,
    };
    this.#calls.push(tracked);
    this.#record(submission.nonce).calls.push(tracked);
    return this.#calls.length - 1;
  }

  /** A caller got a reply to the numbered call. */
  replied(call: number, reply: CallerReply): void {
    const tracked = this.#calls[call]!;
    if (reply.kind === "pending") {
      tracked.requestId = reply.requestId;
      tracked.state = "pending";
      return;
    }
    const outcome = reply.kind === "answer" ? "answer" : reply.refusal.reason;
    tracked.outcome = { text: outcome, at: this.#options.now() };
    if (outcome === "config_stale") this.#checkStaleRefusal(tracked);
    const certainlyNotRun = this.#checkFinalReply(tracked.submission.nonce, reply);
    tracked.state = certainlyNotRun ? "closed" : "done";
  }

  /** A caller got a reply to a query or a cancel of an accepted request. */
  queried(call: number, reply: CallerReply): void {
    const tracked = this.#calls[call]!;
    if (reply.kind === "pending") return;
    const certainlyNotRun = this.#checkFinalReply(tracked.submission.nonce, reply);
    if (tracked.state === "pending") tracked.state = certainlyNotRun ? "closed" : "done";
  }

  /** The connection was lost, so the caller does not know the outcome. */
  lost(call: number): void {
    this.#calls[call]!.state = "done";
  }

  /** A backend server started a task. */
  started(nonce: string, spec: TaskSpec): void {
    const { violations } = this.#options;
    const record = this.#nonces.get(nonce);
    if (record === undefined) {
      violations.add("answers", `${spec.requestId} started with a body that no caller sent`);
      return;
    }
    record.starts++;
    const calls = record.calls.map((call) => call.submission);
    if (record.starts > 1 && calls.some((call) => !call.idempotent)) {
      violations.add("at-most-once", `${nonce} (${spec.requestId}) started ${record.starts} times`);
    }
    if (record.calls.every((call) => call.state === "closed")) {
      violations.add("not-run", `${nonce} (${spec.requestId}) started after "ran: no"`);
    }
    if (!calls.some((call) => mayRun(call, spec))) {
      violations.add("keys", `${nonce} started for ${spec.team ?? "no team"} without a valid key`);
    }
  }

  /** A backend server ended a task. */
  ended(nonce: string): void {
    const record = this.#nonces.get(nonce);
    if (record !== undefined) record.ends++;
  }

  /** Calls made so far. */
  get callCount(): number {
    return this.#calls.length;
  }

  /** How many of the `count` calls from number `first` on got an answer. */
  countAnswered(first: number, count: number): number {
    const calls = this.#calls.slice(first, first + count);
    return calls.filter((call) => call.outcome?.text === "answer").length;
  }

  /** Calls whose caller still waits, or that were accepted and have no outcome yet. */
  unresolved(): readonly { readonly call: number; readonly requestId: string | undefined }[] {
    return this.#calls.flatMap((tracked, call) =>
      tracked.state === "sent" || tracked.state === "pending"
        ? [{ call, requestId: tracked.requestId }]
        : [],
    );
  }

  /** Whether a task of the call's request is running on a backend server. */
  isRunning(call: number): boolean {
    const record = this.#nonces.get(this.#calls[call]!.submission.nonce);
    return record !== undefined && record.starts > record.ends;
  }

  /**
   * Describes a call that got no answer although its task was running; undefined if it got an
   * answer, its job always fails or its reply came after its deadline.
   */
  describeInterruption(call: number): string | undefined {
    const { submission, outcome, sentAt } = this.#calls[call]!;
    const beforeDeadline = outcome === undefined || outcome.at < sentAt + submission.timeoutMs;
    if (submission.bad || outcome?.text === "answer" || !beforeDeadline) return undefined;
    return `${submission.nonce}: ${outcome?.text ?? "no reply"}`;
  }

  /** Reports a stale refusal of a call that was sent when keyed requests had to be accepted. */
  #checkStaleRefusal({ submission, sentAt }: TrackedCall): void {
    const { violations, keyedWorkRequiredFrom } = this.#options;
    if (sentAt < (keyedWorkRequiredFrom() ?? Infinity)) return;
    violations.add("keys", `${submission.nonce} was refused as stale in a platform-wide outage`);
  }

  /** Checks a final reply; true if it states that the request did not run. */
  #checkFinalReply(nonce: string, reply: Exclude<CallerReply, { kind: "pending" }>): boolean {
    const { violations, expectedAnswer } = this.#options;
    const record = this.#record(nonce);
    if (reply.kind === "answer") {
      const text = Buffer.from(reply.payload.body).toString("utf8");
      if (text !== expectedAnswer(nonce, reply.requestId)) {
        violations.add("answers", `${nonce} got a wrong answer: ${text.slice(0, 120)}`);
      } else if (record.ends === 0) {
        violations.add("answers", `${nonce} was answered before any task of it ended`);
      }
      return false;
    }
    const { ran, reason } = reply.refusal;
    if (ran === "no" && record.starts > 0) {
      violations.add("not-run", `${nonce} was told "ran: no" (${reason}) after it started`);
    }
    if (ran === "yes" && record.starts === 0) {
      violations.add("not-run", `${nonce} was told "ran: yes" (${reason}) but never started`);
    }
    return ran === "no";
  }

  #record(nonce: string): NonceRecord {
    const known = this.#nonces.get(nonce);
    if (known !== undefined) return known;
    const record: NonceRecord = { calls: [], starts: 0, ends: 0 };
    this.#nonces.set(nonce, record);
    return record;
  }
}

/** Whether the call permits the task to run for its queue and team. */
function mayRun(call: Submission, spec: TaskSpec): boolean {
  if (call.queue !== spec.queue) return false;
  // An open queue accepts any key or none, as long as no team is charged for the task.
  if (call.open && spec.team === undefined) return true;
  return call.team !== undefined && call.team === spec.team && call.keyMayBeValid;
}
