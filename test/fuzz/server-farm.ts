import type { BackendServer, TaskSpec } from "../../src/ports/backend-server.ts";
import type { ListedInstance } from "../../src/ports/instance-list.ts";
import { SimulatedBackendServer } from "../../src/stand-ins/simulated-backend-server.ts";
import type { BackendParty } from "../fakes/faulty-backend.ts";
import type { Links } from "../fakes/links.ts";
import { ProcessGate } from "../fakes/process-gate.ts";
import { LaggingInstances } from "../fakes/stale-instance-list.ts";
import type { VirtualClock } from "../fakes/virtual-clock.ts";
import { plannedInstances, poolsOfQueue } from "./fleet-plan.ts";
import { jobOf, JobRunner } from "./jobs.ts";
import type { Oracle } from "./oracle.ts";

interface Machine extends BackendParty {
  readonly instance: ListedInstance;
  readonly server: SimulatedBackendServer;
  lost: boolean;
  leaving: boolean;
}

/** Options of {@link ServerFarm}. */
export interface ServerFarmOptions {
  readonly clock: VirtualClock;
  readonly links: Links;
  readonly oracle: Oracle;
  readonly zones: readonly string[];
  /** Changes what a server does with the calls of entry instances. */
  readonly wrap?: ((server: BackendServer) => BackendServer) | undefined;
}

/** Every simulated backend server and the instance list that names them. */
export class ServerFarm {
  readonly instances: LaggingInstances;
  readonly machines: readonly Machine[];
  /** The servers as entry instances reach them. */
  readonly reached: readonly BackendParty[];
  readonly #options: ServerFarmOptions;
  readonly #failing = new Set<string>();

  constructor(options: ServerFarmOptions) {
    this.#options = options;
    const planned = plannedInstances(options.zones);
    this.instances = new LaggingInstances({ clock: options.clock, instances: planned });
    this.machines = planned.map((instance) => this.#machine(instance));
    this.reached = this.machines.map(({ address, party, server }) => {
      return { address, party, server: options.wrap?.(server) ?? server };
    });
  }

  machine(index: number): Machine {
    return this.machines[index % this.machines.length]!;
  }

  /** The server loses its tasks and is not reached until {@link ServerFarm.restore}. */
  lose(machine: Machine): void {
    if (machine.lost) return;
    machine.lost = true;
    machine.leaving = false;
    this.#options.links.cut(tag(machine), "entry");
    machine.server.restart();
    this.#options.oracle.fleet.lost(machine.instance.name);
    this.#publish();
  }

  /** A lost or leaving server comes back, freshly booted. */
  restore(machine: Machine): void {
    if (machine.lost || machine.leaving) machine.server.restart();
    machine.lost = false;
    machine.leaving = false;
    this.#options.links.heal(tag(machine), "entry");
    this.#options.oracle.fleet.back(machine.instance.name);
    this.#failing.delete(machine.instance.name);
    this.#publish();
  }

  /** The server is about to leave. It says so itself, or only the instance list does. */
  leave(machine: Machine, { listOnly }: { readonly listOnly: boolean }): void {
    if (machine.lost) return;
    machine.leaving = true;
    if (!listOnly) machine.server.leave();
    this.#publish();
  }

  /** The server fails every task from now on, or no longer. */
  setFailing(machine: Machine, failing: boolean): void {
    if (failing) this.#failing.add(machine.instance.name);
    else this.#failing.delete(machine.instance.name);
  }

  /** Tells the oracle which leaving servers can be seen to leave in the given zones. */
  reportLeaving(zonesThatSee: ReadonlySet<string>): void {
    const { oracle } = this.#options;
    const visible = new Map(this.instances.visible.map((listed) => [listed.name, listed]));
    for (const { instance, leaving } of this.machines) {
      const listed = visible.get(instance.name)?.state === "leaving";
      if (leaving && listed && zonesThatSee.has(instance.zone))
        oracle.fleet.leavingVisible(instance.name);
      else oracle.fleet.leavingHidden(instance.name);
    }
  }

  #publish(): void {
    const listed = this.machines.filter((machine) => !machine.lost);
    this.instances.set(
      listed.map(({ instance, leaving }) => ({
        ...instance,
        state: leaving ? ("leaving" as const) : ("live" as const),
      })),
    );
  }

  #machine(instance: ListedInstance): Machine {
    const { clock, oracle } = this.#options;
    const { name, address, slots } = instance;
    const observe = (event: "start" | "end", spec: TaskSpec): void => {
      const { nonce } = jobOf(spec);
      if (event === "start") oracle.started(name, nonce, spec, poolsOfQueue(spec.queue));
      else oracle.ended(name, nonce, spec);
    };
    const runner = new JobRunner({ failing: () => this.#failing.has(name) });
    return {
      instance,
      address,
      party: {
        tags: [`server:${name}`, `server-zone:${instance.zone}`, "server"],
        gate: new ProcessGate({ clock }),
      },
      server: new SimulatedBackendServer({ clock, name, slots, runner, observe }),
      lost: false,
      leaving: false,
    };
  }
}

function tag(machine: Machine): string {
  return `server:${machine.instance.name}`;
}
