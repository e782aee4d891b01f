import type { BackendServer, TaskSpec } from "../../src/ports/backend-server.ts";
import type { ListedInstance } from "../../src/ports/instance-list.ts";
import { SimulatedBackendServer } from "../../src/stand-ins/simulated-backend-server.ts";
import type { BackendParty } from "../fakes/faulty-backend.ts";
import type { Links } from "../fakes/links.ts";
import { ProcessGate } from "../fakes/process-gate.ts";
import { LaggingInstances } from "../fakes/stale-instance-list.ts";
import type { VirtualClock } from "../fakes/virtual-clock.ts";
import { initialInstances, poolsOfQueue } from "./fleet-plan.ts";
import { jobOf, JobRunner } from "./job-runner.ts";
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
  /** Wraps each server, to change how it handles calls of entry instances. */
  readonly wrap?: ((server: BackendServer) => BackendServer) | undefined;
}

/** All simulated backend servers, and the instance list that contains them. */
export class ServerFarm {
  readonly instances: LaggingInstances;
  readonly machines: readonly Machine[];
  /** The servers that entry instances connect to, with the wrapper applied. */
  readonly backendParties: readonly BackendParty[];
  readonly #options: ServerFarmOptions;
  readonly #failing = new Set<string>();

  constructor(options: ServerFarmOptions) {
    this.#options = options;
    const initial = initialInstances(options.zones);
    this.instances = new LaggingInstances({ clock: options.clock, instances: initial });
    this.machines = initial.map((instance) => this.#machine(instance));
    this.backendParties = this.machines.map(({ address, party, server }) => {
      return { address, party, server: options.wrap?.(server) ?? server };
    });
  }

  machine(index: number): Machine {
    return this.machines[index % this.machines.length]!;
  }

  /** Makes a server lose its tasks and be unreachable until {@link ServerFarm.restore}. */
  lose(machine: Machine): void {
    if (machine.lost) return;
    machine.lost = true;
    machine.leaving = false;
    this.#options.links.cut(tagOf(machine), "entry");
    machine.server.restart();
    this.#options.oracle.fleet.lost(machine.instance.name);
    this.#publish();
  }

  /** Makes a server reachable again. One that was lost or leaving reboots. */
  restore(machine: Machine): void {
    if (machine.lost || machine.leaving) machine.server.restart();
    machine.lost = false;
    machine.leaving = false;
    this.#options.links.heal(tagOf(machine), "entry");
    this.#options.oracle.fleet.restored(machine.instance.name);
    this.#failing.delete(machine.instance.name);
    this.#publish();
  }

  /** Marks a server as leaving, in the instance list and, unless `listOnly`, in its own replies. */
  leave(machine: Machine, { listOnly }: { readonly listOnly: boolean }): void {
    if (machine.lost) return;
    machine.leaving = true;
    if (!listOnly) machine.server.leave();
    this.#publish();
  }

  /** Sets whether the server fails every task. */
  setFailing(machine: Machine, failing: boolean): void {
    if (failing) this.#failing.add(machine.instance.name);
    else this.#failing.delete(machine.instance.name);
  }

  /** Reports to the oracle which servers are visibly leaving to entries in the given zones. */
  reportLeaving(observingZones: ReadonlySet<string>): void {
    const { oracle } = this.#options;
    const visible = new Map(this.instances.visible.map((listed) => [listed.name, listed]));
    for (const { instance, leaving } of this.machines) {
      const listed = visible.get(instance.name)?.state === "leaving";
      if (leaving && listed && observingZones.has(instance.zone))
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

function tagOf(machine: Machine): string {
  return `server:${machine.instance.name}`;
}
