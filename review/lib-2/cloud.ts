/** Stand-in for the platform's control of machines: lists them and carries out their upkeep. */
import { JsonServer, type Answer, type Call } from "./http.ts";
import type { CaseRecord } from "./record.ts";

/** A machine and what the cloud does with its worker. */
export interface Machine {
  readonly name: string;
  readonly pool: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: { readonly cpu: number; readonly memMb: number };
  /** Id of the worker; undefined while there is none. */
  readonly workerId: () => string | undefined;
  /** Ends the worker, and starts it again after a time in ms. */
  readonly restart: (downMs: number) => Promise<void>;
}

const UPKEEP_MS = 2000;

/** Platform's control of machines. */
export class Cloud {
  /** Machines by name; filled before the entries start. */
  readonly machines = new Map<string, Machine>();
  readonly #record: CaseRecord;
  readonly #inUpkeep = new Set<string>();
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
    const { machine: name = "", wave = 0 } = call.body as { machine?: string; wave?: number };
    const machine = this.machines.get(name);
    if (machine === undefined) return { status: 400 };
    const token = Number(call.headers["x-fencing-token"]);
    this.#record.add(`cloud: ${call.path} ${name} wave ${wave} token ${token}`);
    if (token < (this.#tokens.get(name) ?? 0)) return { status: 409, body: { reason: "fence" } };
    this.#tokens.set(name, token);
    if (call.path !== "/v1/machine-upkeep") return { status: 409, body: { reason: "busy" } };
    if (this.#done.has(`${wave} ${name}`)) return { status: 200 };
    if (this.#inUpkeep.has(name)) return { status: 409, body: { reason: "busy" } };
    this.#done.add(`${wave} ${name}`);
    this.#inUpkeep.add(name);
    void machine.restart(UPKEEP_MS).then(() => this.#inUpkeep.delete(name));
    return { status: 200 };
  }

  #list(): object {
    const machines = [...this.machines.values()].map((machine) => {
      const { name, pool, zone, labels, capacity } = machine;
      const state = this.#inUpkeep.has(name) ? "upkeep" : "up";
      const id = machine.workerId() ?? null;
      return { machine: name, pool, state, zone, labels, capacity: { ...capacity, gpu: 0 }, id };
    });
    return { machines, nextPageToken: null };
  }
}
