import { Ok, type Result } from "ts-results";
import {
  InstanceList,
  type InstanceListError,
  type ListedInstance,
} from "../ports/instance-list.ts";

/** In-memory instance list, which can be frozen to simulate an outdated list. */
export class StaticInstanceList extends InstanceList {
  readonly #instances = new Map<string, ListedInstance>();
  #frozen: readonly ListedInstance[] | undefined;

  constructor(instances: readonly ListedInstance[] = []) {
    super();
    for (const instance of instances) this.set(instance);
  }

  list(): Promise<Result<readonly ListedInstance[], InstanceListError>> {
    return Promise.resolve(Ok(this.#frozen ?? [...this.#instances.values()]));
  }

  /** Adds an instance, or replaces the one with the same name. */
  set(instance: ListedInstance): void {
    this.#instances.set(instance.name, instance);
  }

  remove(name: string): void {
    this.#instances.delete(name);
  }

  /** While frozen, the list shows the state at the time of freezing. */
  setFrozen(on: boolean): void {
    this.#frozen = on ? [...this.#instances.values()] : undefined;
  }
}
