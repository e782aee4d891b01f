/** The platform's service for machines of workers, as PROTOCOL describes it. */
import { JsonServer, type Call, type Reply } from "./http.ts";
import type { Worker } from "./worker.ts";

/** Time in ms after which a new worker joins the pool that its machine was moved to. */
const MOVE_MS = 1500;

/** A machine that workers run on. */
export interface WorkerMachine {
  readonly name: string;
  pool: string;
  state: "up" | "moving";
  /** Undefined while it moves, and in the spare pool, where machines are off. */
  worker: Worker | undefined;
  token: number;
}

/** An order that the platform has received. */
export interface MachineOrder {
  /** Time in ms. */
  readonly at: number;
  readonly machine: string;
  readonly pool: string;
  readonly holder: string;
  readonly token: number;
  readonly status: number;
}

/** Options of {@link Cloud}. */
export interface CloudOptions {
  readonly sparePool: string;
  readonly capacity: { readonly cpu: number; readonly memMb: number };
  /** Starts a new worker and registers it. */
  readonly startWorker: (pool: string) => Promise<Worker>;
  /** Ends a worker for good. */
  readonly endWorker: (worker: Worker) => void;
  readonly ordered: (order: MachineOrder) => void;
}

/** The service. */
export class Cloud {
  readonly server = new JsonServer((call) => Promise.resolve(this.#answer(call)));
  readonly machines = new Map<string, WorkerMachine>();
  readonly #options: CloudOptions;

  constructor(options: CloudOptions) {
    this.#options = options;
  }

  /** Adds a machine that is up in a pool. */
  async add(name: string, pool: string): Promise<void> {
    const { sparePool, startWorker } = this.#options;
    const worker = pool === sparePool ? undefined : await startWorker(pool);
    this.machines.set(name, { name, pool, state: "up", worker, token: 0 });
  }

  #answer({ path, headers, body }: Call): Reply {
    if (path === "/v1/machines") return { status: 200, body: { machines: this.#list() } };
    if (path !== "/v1/machine-move") return { status: 400 };
    const machine = this.machines.get(String(body.machine));
    if (machine === undefined) return { status: 400 };
    const pool = String(body.pool);
    const token = Number(headers["x-fencing-token"] ?? 0);
    const reply = this.#move(machine, pool, token);
    this.#options.ordered({
      ...{ at: performance.now(), machine: machine.name, pool, token, status: reply.status },
      holder: String(headers["x-lease-holder"]),
    });
    return reply;
  }

  #list(): readonly object[] {
    return [...this.machines.values()].map(({ name, pool, state, worker }) => ({
      ...{ machine: name, pool, state, zone: "andina-a", labels: ["k1", "r1-1"] },
      ...{ capacity: { ...this.#options.capacity, gpu: 0 }, id: worker?.id },
    }));
  }

  #move(machine: WorkerMachine, pool: string, token: number): Reply {
    if (token < machine.token) return { status: 409, body: { reason: "fence" } };
    machine.token = token;
    if (machine.pool === pool) return { status: 200 };
    if (machine.state !== "up") return { status: 409, body: { reason: "busy" } };
    const { sparePool, startWorker, endWorker } = this.#options;
    if (machine.worker !== undefined) endWorker(machine.worker);
    Object.assign(machine, { pool, state: "moving", worker: undefined });
    setTimeout(() => {
      if (pool === sparePool) machine.state = "up";
      else
        void startWorker(pool).then((worker) => {
          Object.assign(machine, { state: "up", worker });
        });
    }, MOVE_MS);
    return { status: 200 };
  }
}
