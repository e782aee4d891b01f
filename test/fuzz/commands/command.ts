import type { AsyncCommand } from "fast-check";
import type { World } from "../world.ts";

/** Empty, because the oracle inside the world takes the role of the model. */
export type Model = Record<string, never>;

/** Command of a fuzz run. It always runs, and does nothing if it does not apply. */
export class FuzzCommand implements AsyncCommand<Model, World> {
  readonly #name: string;
  readonly #args: readonly unknown[];
  readonly #act: (world: World) => void | Promise<void>;

  constructor(name: string, args: readonly unknown[], act: (world: World) => void | Promise<void>) {
    this.#name = name;
    this.#args = args;
    this.#act = act;
  }

  check(): boolean {
    return true;
  }

  async run(_model: Model, world: World): Promise<void> {
    await this.#act(world);
    world.observe();
    await world.advance(0);
    world.throwIfViolated();
  }

  toString(): string {
    return `${this.#name}(${this.#args.map((arg) => JSON.stringify(arg)).join(", ")})`;
  }
}

/** Returns a function that creates commands with the given name and action from arguments. */
export function command<A extends readonly unknown[]>(
  name: string,
  act: (world: World, ...args: A) => void | Promise<void>,
): (args: A) => FuzzCommand {
  return (args) => new FuzzCommand(name, args, (world) => act(world, ...args));
}
