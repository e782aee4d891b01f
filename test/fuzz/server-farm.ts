import type { BackendServer, TaskSpec } from "../../src/ports/backend-server.ts";
import type { ListedInstance } from "../../src/ports/instance-list.ts";
import { SimulatedBackendServer } from "../../src/stand-ins/simulated-backend-server.ts";
import type { BackendParty } from "../fakes/faulty-backend.ts";
import type { Links } from "../fakes/links.ts";
import { ProcessGate } from "../fakes/process-gate.ts";
import { LaggingInstances } from "../fakes/faulty-instance-list.ts";
import type { VirtualClock } from "../fakes/virtual-clock.ts";
import { initialInstances, poolsOfQueue } from "./fleet-plan.ts";
import { jobOf, JobRunner } from "./job-runner.ts";
import type { Oracle } from "./oracle.ts";

/** An instance with its backend server, its entry in the instance list and its faults. */
interface SimulatedInstance extends BackendParty {
  readonly listing: ListedInstance;
  readonly server: SimulatedBackendServer;
  /** Whether the server failed without notice and has not been restored. */
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
  readonly instanceList: LaggingInstances;
  readonly instances: readonly SimulatedInstance[];
  /** The servers that entry instances connect to, with the wrapper applied. */
  readonly backendParties: readonly BackendParty[];
  readonly #options: ServerFarmOptions;
  /** Names of the instances whose server fails every task. */
  readonly #failing = new Set<string>();

  constructor(options: ServerFarmOptions) {
    this.#options = options;
    const initial = initialInstances(options.zones);
    this.instanceList = new LaggingInstances({ clock: options.clock, instances: initial });
    this.instances = initial.map((listing) => this.#createInstance(listing));
    this.backendParties = this.instances.map(({ address, party, server }) => {
      return { address, party, server: options.wrap?.(server) ?? server };
    });
  }

  /** The instance at the index, modulo the number of instances. */
  instance(index: number): SimulatedInstance {
    return this.instances[index % this.instances.length]!;
  }

  /** Makes a server lose its tasks and be unreachable until {@link ServerFarm.restore}. */
  lose(instance: SimulatedInstance): void {
    if (instance.lost) return;
    instance.lost = true;
    instance.leaving = false;
    this.#options.links.cut(tagOf(instance), "entry");
    instance.server.restart();
    this.#options.oracle.fleet.lost(instance.listing.name);
    this.#publish();
  }

  /** Makes a server reachable again and its tasks succeed. One that was lost or leaving reboots. */
  restore(instance: SimulatedInstance): void {
    if (instance.lost || instance.leaving) instance.server.restart();
    instance.lost = false;
    instance.leaving = false;
    this.#options.links.heal(tagOf(instance), "entry");
    this.#options.oracle.fleet.restored(instance.listing.name);
    this.#failing.delete(instance.listing.name);
    this.#publish();
  }

  /** Marks a server as leaving, in the instance list and, unless `listOnly`, in its own replies. */
  leave(instance: SimulatedInstance, { listOnly }: { readonly listOnly: boolean }): void {
    if (instance.lost) return;
    instance.leaving = true;
    if (!listOnly) instance.server.leave();
    this.#publish();
  }

  /** Sets whether the server fails every task. */
  setFailing(instance: SimulatedInstance, failing: boolean): void {
    if (failing) this.#failing.add(instance.listing.name);
    else this.#failing.delete(instance.listing.name);
  }

  /** Reports to the oracle which servers are visibly leaving to entries in the given zones. */
  reportLeaving(observingZones: ReadonlySet<string>): void {
    const { oracle } = this.#options;
    const visible = new Map(this.instanceList.visible.map((listed) => [listed.name, listed]));
    for (const { listing, leaving } of this.instances) {
      const listed = visible.get(listing.name)?.state === "leaving";
      if (leaving && listed && observingZones.has(listing.zone))
        oracle.fleet.leavingVisible(listing.name);
      else oracle.fleet.leavingHidden(listing.name);
    }
  }

  #publish(): void {
    const listed = this.instances.filter((instance) => !instance.lost);
    this.instanceList.set(
      listed.map(({ listing, leaving }) => ({
        ...listing,
        state: leaving ? ("leaving" as const) : ("live" as const),
      })),
    );
  }

  #createInstance(listing: ListedInstance): SimulatedInstance {
    const { clock, oracle } = this.#options;
    const { name, address, slots } = listing;
    const observe = (event: "start" | "end", spec: TaskSpec): void => {
      const { nonce } = jobOf(spec);
      if (event === "start") oracle.started(name, nonce, spec, poolsOfQueue(spec.queue));
      else oracle.ended(name, nonce, spec);
    };
    const runner = new JobRunner({ failing: () => this.#failing.has(name) });
    return {
      listing,
      address,
      party: {
        tags: [`server:${name}`, `server-zone:${listing.zone}`, "server"],
        gate: new ProcessGate({ clock }),
      },
      server: new SimulatedBackendServer({ clock, name, slots, runner, observe }),
      lost: false,
      leaving: false,
    };
  }
}

function tagOf(instance: SimulatedInstance): string {
  return `server:${instance.listing.name}`;
}
