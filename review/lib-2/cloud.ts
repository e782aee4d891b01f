/** Stand-in for the platform's control of machines: lists them and carries out their upkeep. */
import { JsonServer, type Answer, type Call } from "./http.ts";
import type { CaseRecord } from "./record.ts";

/** A machine and what the cloud does with its worker. */
export interface Machine {
  readonly name: string;
  readonly pool: () => string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: { readonly cpu: number; readonly memMb: number };
  /** Id of the worker; undefined while there is none. */
  readonly workerId: () => string | undefined;
  /** Ends the worker, and starts it again after a time in ms. */
  readonly restart: (downMs: number) => Promise<void>;
  /** Ends the worker; a new one joins the pool after a time in ms. */
  readonly move: (pool: string, downMs: number) => Promise<void>;
}

const UPKEEP_MS = 2000;
const MOVE_MS = 1500;

interface OrderBody {
  readonly machine?: string;
  readonly wave?: number;
  readonly pool?: string;
}

/** Platform's control of machines. */
export class Cloud {
  /** Machines by name; filled before the entries start. */
  readonly machines = new Map<string, Machine>();
  readonly #record: CaseRecord;
  /** Machines that are not up, with their states. */
  readonly #away = new Map<string, "upkeep" | "moving">();
  /** Highest fencing token by machine. */
  readonly #tokens = new Map<string, number>();
  /** Upkeeps that were done, as WAVE MACHINE. */
  readonly #done = new Set<string>();
  readonly #server = new JsonServer((call) => this.#handle(call));

  constructor(record: CaseRecord) {
    this.#record = record;
  }

  listen(): Promise<string> {
    return this.#server.listen();
  }

  close(): void {
    this.#server.close();
  }

  #handle(call: Call): Answer {
    if (call.path === "/v1/machines") return { status: 200, body: this.#list() };
    const { machine: name = "", ...order } = call.body as OrderBody;
    const machine = this.machines.get(name);
    if (machine === undefined) return { status: 400 };
    const token = Number(call.headers["x-fencing-token"]);
    this.#record.add(`cloud: ${call.path} ${name} ${JSON.stringify(order)} token ${token}`);
    if (token < (this.#tokens.get(name) ?? 0)) return { status: 409, body: { reason: "fence" } };
    this.#tokens.set(name, token);
    return call.path === "/v1/machine-upkeep"
      ? this.#upkeep(machine, order.wave ?? 0)
      : this.#move(machine, order.pool ?? "");
  }

  #upkeep(machine: Machine, wave: number): Answer {
    const order = `${wave} ${machine.name}`;
    if (this.#done.has(order)) return { status: 200 };
    if (this.#away.has(machine.name)) return { status: 409, body: { reason: "busy" } };
    this.#done.add(order);
    this.#away.set(machine.name, "upkeep");
    void machine.restart(UPKEEP_MS).then(() => this.#away.delete(machine.name));
    return { status: 200 };
  }

  #move(machine: Machine, pool: string): Answer {
    if (machine.pool() === pool) return { status: 200 };
    if (this.#away.has(machine.name)) return { status: 409, body: { reason: "busy" } };
    this.#away.set(machine.name, "moving");
    void machine.move(pool, MOVE_MS).then(() => this.#away.delete(machine.name));
    return { status: 200 };
  }

  #list(): object {
    const machines = [...this.machines.values()].map((machine) => {
      const { name, zone, labels, capacity } = machine;
      return {
        ...{ machine: name, pool: machine.pool(), state: this.#away.get(name) ?? "up" },
        ...{ zone, labels, capacity: { ...capacity, gpu: 0 }, id: machine.workerId() ?? null },
      };
    });
    return { machines, nextPageToken: null };
  }
}
