import type { AsyncCommand } from "fast-check";
import type { World } from "../world.ts";

/** The model is the oracle inside the world; fast-check needs no second one. */
export type Model = Record<string, never>;

/** Command of the fuzzing. A command that cannot do anything now does nothing. */
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

/** Makes a command from its name, arguments and action. */
export function command<A extends readonly unknown[]>(
  name: string,
  act: (world: World, ...args: A) => void | Promise<void>,
): (args: A) => FuzzCommand {
  return (args) => new FuzzCommand(name, args, (world) => act(world, ...args));
}
