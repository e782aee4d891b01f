/** Running tasks charged to this entry's budgets. */
import type { TaskRef } from "../ports/backend-server.ts";

/** A charged task and where it was started. */
export interface Charge extends TaskRef {
  readonly team: string;
  /** Undefined until a start on a server is attempted. */
  readonly server: string | undefined;
  /** Boot of the server at the start. */
  readonly bootId: string | undefined;
}

/** Each running task that this incarnation started, under the team whose budget it uses. */
export class TaskCharges {
  readonly #charges = new Map<string, Charge>();
  readonly #counts = new Map<string, number>();
  readonly #listeners = new Set<(team: string) => void>();

  /** False if the attempt is charged already. */
  add(team: string, { requestId, attempt }: TaskRef): boolean {
    const key = taskKey({ requestId, attempt });
    if (this.#charges.has(key)) return false;
    this.#charges.set(key, { requestId, attempt, team, server: undefined, bootId: undefined });
    this.#counts.set(team, this.running(team) + 1);
    this.#notify(team);
    return true;
  }

  has(ref: TaskRef): boolean {
    return this.#charges.has(taskKey(ref));
  }

  /** Records where a charged task is being started. Tasks without a charge are ignored. */
  placed(ref: TaskRef, server: string, bootId: string): void {
    const key = taskKey(ref);
    const charge = this.#charges.get(key);
    if (charge !== undefined) this.#charges.set(key, { ...charge, server, bootId });
  }

  /** Ends the charge of a task that certainly does not run. */
  ended(ref: TaskRef): void {
    const key = taskKey(ref);
    const charge = this.#charges.get(key);
    if (charge === undefined) return;
    this.#charges.delete(key);
    this.#counts.set(charge.team, this.running(charge.team) - 1);
    this.#notify(charge.team);
  }

  /** Ends the charges of tasks that were started in another boot of the server. */
  endChargesOfOtherBoots(server: string, bootId: string): void {
    for (const charge of this.list()) {
      if (charge.server === server && charge.bootId !== bootId) this.ended(charge);
    }
  }

  running(team: string): number {
    return this.#counts.get(team) ?? 0;
  }

  list(): readonly Charge[] {
    return [...this.#charges.values()];
  }

  onChange(listener: (team: string) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #notify(team: string): void {
    for (const listener of this.#listeners) listener(team);
  }
}

/** Identifies an attempt in maps. */
export function taskKey({ requestId, attempt }: TaskRef): string {
  return `${requestId}#${attempt}`;
}
