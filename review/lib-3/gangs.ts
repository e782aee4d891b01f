/**
 * Gangs across the workers. The members of one run work together from the moment when all are present.
 * They can't resume from two different points, so members with different checkpoints don't count as
 * members of one gang at work, and wait for each other.
 */

/** Time in ms for which a member waits for the others. */
const GANG_TIMEOUT_MS = 3000;

/** A member of a gang that is about to join. */
export interface JoiningMember {
  /** Name of the form ID.K.STEP.INDEX. */
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Number of members. */
  readonly size: number;
}

interface Gang {
  readonly size: number;
  readonly members: Set<object>;
  /** Time in ms from which the gang works; undefined while members are missing. */
  beganAt: number | undefined;
  broken: boolean;
}

/** A member of a gang, as its worker sees it. */
export class GangMember {
  /** Name of the gang: ID.K.STEP. */
  readonly gang: string;
  readonly #of: Gang;
  readonly #joinedAt = performance.now();

  constructor(gang: string, of: Gang) {
    this.gang = gang;
    this.#of = of;
    of.members.add(this);
    if (of.members.size === of.size) of.beganAt ??= performance.now();
  }

  get beganAt(): number | undefined {
    return this.#of.beganAt;
  }

  /** True if another member has ended after the gang began. */
  get broken(): boolean {
    return this.#of.broken;
  }

  /** True if the member has waited for the others for too long. */
  get alone(): boolean {
    return this.#of.beganAt === undefined && performance.now() - this.#joinedAt > GANG_TIMEOUT_MS;
  }

  /** The member has ended other than `done`. */
  leave(): void {
    this.#of.members.delete(this);
    if (this.#of.beganAt !== undefined) this.#of.broken = true;
  }
}

/** All gangs. */
export class GangBoard {
  readonly #gangs = new Map<string, Gang>();

  /** Adds a member that a worker has started. */
  join({ task, run, checkpoint, size }: JoiningMember): GangMember {
    const name = task.slice(0, task.lastIndexOf("."));
    const key = `${name}#${run} ${checkpoint}`;
    let gang = this.#gangs.get(key);
    if (gang === undefined) {
      gang = { size, members: new Set(), beganAt: undefined, broken: false };
      this.#gangs.set(key, gang);
    }
    return new GangMember(name, gang);
  }
}
