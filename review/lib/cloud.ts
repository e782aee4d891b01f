/** Stand-in of the platform's machine calls (`GET /v1/machines`, `POST /v1/machine-move`). */
import { FakeHttpServer } from "../../test/fakes/jobs/fake-http-server.ts";
import type { FakeHttpResponse, RecordedCall } from "../../test/fakes/jobs/fake-http-server.ts";

/** One machine of the fleet. */
export interface Machine {
  readonly name: string;
  readonly zone: string;
  readonly rack: string;
  pool: string;
  state: "up" | "moving" | "upkeep" | "down";
  /** Id of its worker; undefined while it is off. */
  worker: string | undefined;
}

/** Options of {@link Cloud}. */
export interface CloudOptions {
  readonly machines: readonly Machine[];
  readonly cpu: number;
  readonly memMb: number;
  readonly spare: string;
  readonly moveMs: number;
  /** The worker on the machine has ended. */
  readonly workerEnds: (machine: Machine) => void;
  /** The machine has joined a pool that is not the spare one, and its worker starts. */
  readonly workerStarts: (machine: Machine) => void;
  readonly note: (text: string) => void;
}

/** The machine calls, with an outage in which calls do nothing and get no response. */
export class Cloud {
  /** Called for each move that arrives, before it is handled. */
  onMove: (machine: string, pool: string) => void = () => undefined;
  readonly #options: CloudOptions;
  readonly #tokens = new Map<string, number>();
  readonly #server = new FakeHttpServer((call) => this.#handle(call));
  #silentUntil = -Infinity;

  constructor(options: CloudOptions) {
    this.#options = options;
  }

  listen(): Promise<string> {
    return this.#server.listen();
  }

  close(): void {
    this.#server.close();
  }

  /** Calls that arrive from now on are lost for the given time. */
  silence(ms: number): void {
    this.#silentUntil = performance.now() + ms;
  }

  async #handle(call: RecordedCall): Promise<FakeHttpResponse> {
    const { path, body, headers } = call;
    const { machine = "", pool = "" } = (body ?? {}) as {
      readonly machine?: string;
      readonly pool?: string;
    };
    if (path === "/v1/machine-move") this.onMove(machine, pool);
    if (performance.now() < this.#silentUntil) {
      this.#options.note(`machines: no response to ${path} ${machine} ${pool}`);
      await new Promise((resolve) => setTimeout(resolve, 30_000).unref());
      return { status: undefined };
    }
    await new Promise((resolve) => setTimeout(resolve, 4));
    if (path === "/v1/machines") return { status: 200, body: { machines: this.#rows() } };
    if (path === "/v1/machine-move")
      return this.#move(machine, pool, Number(headers["x-fencing-token"] ?? 0));
    return { status: 404 };
  }

  #rows(): readonly object[] {
    const { machines, cpu, memMb } = this.#options;
    return machines.map(({ name, pool, state, zone, rack, worker }) => ({
      ...{ machine: name, pool, state, zone, labels: ["kind", rack] },
      capacity: { cpu, memMb },
      ...(worker === undefined ? {} : { id: worker }),
    }));
  }

  #move(name: string, pool: string, token: number): FakeHttpResponse {
    const { machines, moveMs, spare, workerEnds, workerStarts, note } = this.#options;
    const machine = machines.find((each) => each.name === name);
    if (machine === undefined) return { status: 400 };
    if (token < (this.#tokens.get(name) ?? 0)) return { status: 409, body: { reason: "fence" } };
    this.#tokens.set(name, token);
    if (machine.pool === pool) return { status: 200, body: {} };
    if (machine.state !== "up") return { status: 409, body: { reason: "busy" } };
    note(`machines: ${name} moves from ${machine.pool} to ${pool}`);
    workerEnds(machine);
    Object.assign(machine, { pool, state: "moving", worker: undefined });
    setTimeout(() => {
      machine.state = "up";
      if (pool !== spare) workerStarts(machine);
    }, moveMs).unref();
    return { status: 200, body: {} };
  }
}
