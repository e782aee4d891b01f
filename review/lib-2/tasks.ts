/** What the stand-in workers know of the jobs: how their tasks behave, and who is present in a gang. */

/** Behaviour of the tasks of one job's step. */
export interface TaskBehaviour {
  /** Work in ms; undefined for a task that lasts until it is stopped. */
  readonly workMs: number | undefined;
  /** How a run ends when its work is done, by run number and worker. @default "done" */
  readonly end?: (run: number, worker: string) => "done" | "failed";
  readonly checkpointing?: boolean;
  /** Number of members if the step is a gang. */
  readonly gangSize?: number;
}

/** Finds the behaviour of a task by its name, ID.K.STEP.INDEX. */
export type BehaviourOf = (task: string) => TaskBehaviour;

interface Member {
  readonly task: string;
  readonly checkpoint: string;
  /** Called when a member of the run ends. */
  readonly memberEnded: (how: "done" | "broken") => void;
}

/**
 * Members of each gang run that are present on any worker. A gang works while all its members are
 * present and carry the same checkpoint, and its members end together.
 */
export class Gangs {
  readonly #runs = new Map<string, Map<string, Member>>();
  /** Time at which all members of a run were first present. */
  readonly #completeSince = new Map<string, number>();

  join(run: number, member: Member, gangSize: number): void {
    const key = gangKey(member.task, run);
    const members = this.#runs.get(key) ?? new Map<string, Member>();
    members.set(member.task, member);
    this.#runs.set(key, members);
    const checkpoints = new Set([...members.values()].map(({ checkpoint }) => checkpoint));
    if (members.size === gangSize && checkpoints.size === 1)
      this.#completeSince.set(key, performance.now());
  }

  /** Time from which the gang run works; undefined while it waits for members. */
  completeSince(task: string, run: number): number | undefined {
    return this.#completeSince.get(gangKey(task, run));
  }

  /** Takes a member out, which ends the others: `done` with it, else `broken`. */
  leave(task: string, run: number, how: string): void {
    const key = gangKey(task, run);
    const members = this.#runs.get(key);
    if (members?.delete(task) !== true) return;
    // A member that gave up waiting, or was stopped before the gang was complete, ends alone.
    if (!this.#completeSince.has(key)) return;
    const others = [...members.values()];
    members.clear();
    for (const { memberEnded } of others) memberEnded(how === "done" ? "done" : "broken");
  }
}

function gangKey(task: string, run: number): string {
  return `${task.slice(0, task.lastIndexOf("."))}#${run}`;
}
