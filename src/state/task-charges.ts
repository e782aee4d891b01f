/** Running tasks charged to the budgets of this entry instance. */
import type { TaskRef } from "../ports/backend-server.ts";

/** A charged task and the backend server on which it was started. */
export interface Charge extends TaskRef {
  readonly team: string;
  /** Undefined until a start on a server was attempted. */
  readonly server: string | undefined;
  /** Boot id of the server when the task was started. */
  readonly bootId: string | undefined;
}

/** The running tasks that this incarnation started, by the team whose budget they use. */
export class TaskCharges {
  readonly #charges = new Map<string, Charge>();
  readonly #counts = new Map<string, number>();
  readonly #listeners = new Set<(team: string) => void>();

  /** Charges an attempt to a team. Returns false if it is already charged. */
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

  /**
   * Records the server on which a charged task is being started. Ignores tasks without a charge.
   */
  recordPlacement(ref: TaskRef, server: string, bootId: string): void {
    const key = taskKey(ref);
    const charge = this.#charges.get(key);
    if (charge !== undefined) this.#charges.set(key, { ...charge, server, bootId });
  }

  /** Ends the charge of a task that is known not to be running. */
  endCharge(ref: TaskRef): void {
    const key = taskKey(ref);
    const charge = this.#charges.get(key);
    if (charge === undefined) return;
    this.#charges.delete(key);
    this.#counts.set(charge.team, this.running(charge.team) - 1);
    this.#notify(charge.team);
  }

  /** Ends the charges of tasks that were started during another boot of the server. */
  endChargesOfOtherBoots(server: string, bootId: string): void {
    for (const charge of this.list()) {
      if (charge.server === server && charge.bootId !== bootId) this.endCharge(charge);
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

/** Map key of an attempt. */
export function taskKey({ requestId, attempt }: TaskRef): string {
  return `${requestId}#${attempt}`;
}
