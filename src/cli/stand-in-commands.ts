import type { Sade } from "sade";
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { TaskSpec } from "../ports/backend-server.ts";
import type { ListedInstance } from "../ports/instance-list.ts";
import { SystemClock } from "../ports/system-clock.ts";
import { SystemRandom } from "../ports/system-random.ts";
import { ConfigurableRunner } from "../stand-ins/configurable-runner.ts";
import { serveBackendServer } from "../stand-ins/http-backend-server.ts";
import { serveInstanceList } from "../stand-ins/http-instance-list.ts";
import { serveKeyValue } from "../stand-ins/http-key-value.ts";
import { KeyValueStore } from "../stand-ins/key-value-store.ts";
import { SimulatedBackendServer } from "../stand-ins/simulated-backend-server.ts";
import type { StandInServer } from "../stand-ins/stand-in-server.ts";
import { StaticInstanceList } from "../stand-ins/static-instance-list.ts";
import { HttpClient } from "../transport/http-client.ts";
import { parseIpAddress } from "../transport/ip-address.ts";

const EXIT_INVALID_INPUT = 2;
const REGISTER_TIMEOUT_MS = 2000;

const amount = v.pipe(v.number("a number"), v.minValue(0, "0 or more"));
const OptionsSchema = v.object({
  listen: v.string("IP:PORT"),
  name: v.optional(v.pipe(v.string(), v.nonEmpty("a name")), "server-1"),
  zone: v.optional(v.pipe(v.string(), v.nonEmpty("a zone")), "zone-1"),
  rack: v.optional(v.pipe(v.string(), v.nonEmpty("a rack")), "rack-1"),
  cores: v.optional(amount, 16),
  "memory-gb": v.optional(amount, 64),
  accelerators: v.optional(amount, 0),
  slots: v.optional(amount, 8),
  "run-ms": v.optional(amount, 20),
  fail: v.optional(v.boolean("no value"), false),
  register: v.optional(v.pipe(v.string(), v.url("http://IP:PORT"))),
});
type Options = v.InferOutput<typeof OptionsSchema>;

const LISTEN = ["--listen", "Address IP:PORT; port 0 picks a free one", "127.0.0.1:0"] as const;

/** Adds the commands that run in-memory stand-ins for the platform as separate processes for tests. */
export function addStandInCommands(program: Sade): void {
  program
    .command("stand-in key-value", "Run an in-memory key-value service for tests")
    .option(...LISTEN)
    .action((raw: unknown) => run(raw, prepareKeyValue));
  program
    .command("stand-in instance-list", "Run an in-memory instance list for tests")
    .option(...LISTEN)
    .action((raw: unknown) => run(raw, prepareInstanceList));
  program
    .command("stand-in backend-server", "Run a simulated backend server for tests")
    .option(...LISTEN)
    .option("--name", "Name in the instance list", "server-1")
    .option("--zone", "Availability zone", "zone-1")
    .option("--rack", "Rack", "rack-1")
    .option("--cores", "CPU cores", 16)
    .option("--memory-gb", "Memory in GB", 64)
    .option("--accelerators", "Accelerators", 0)
    .option("--slots", "Tasks that run at once", 8)
    .option("--run-ms", "Run time of tasks that name none, in milliseconds", 20)
    .option("--fail", "Fail every task")
    .option("--register", "Base URL of an instance list to register with")
    .action((raw: unknown) => run(raw, prepareBackendServer));
}

/** A stand-in that is not listening yet. */
interface PreparedStandIn {
  readonly server: StandInServer;
  /** Called with the server's URL once it listens. */
  readonly started?: (address: string) => Promise<Result<void, string>>;
  /** Called before the server is closed. */
  readonly stopping?: () => Promise<unknown>;
}

async function run(raw: unknown, prepare: (options: Options) => PreparedStandIn): Promise<void> {
  const parsed = v.safeParse(OptionsSchema, raw);
  if (!parsed.success) {
    const [issue] = parsed.issues;
    const name = v.getDotPath(issue) ?? "";
    return exitWithError(`option --${name}: got ${issue.received}, allowed is ${issue.message}`);
  }
  const listen = parseIpAddress(parsed.output.listen);
  if (listen.err) return exitWithError(`option --listen: ${listen.val}`);
  const { server, started, stopping } = prepare(parsed.output);
  const address = await server.listen(listen.val.host, listen.val.port);
  if (address.err) return exitWithError(`cannot listen on ${parsed.output.listen}: ${address.val}`);
  const ready = (await started?.(address.val)) ?? Ok(undefined);
  if (ready.err) return exitWithError(ready.val);
  const stop = async (): Promise<void> => {
    await stopping?.();
    await server.close();
    // Pending waits and simulated runs would keep the process running for minutes.
    process.exit(0);
  };
  process.once("SIGTERM", () => void stop());
  process.once("SIGINT", () => void stop());
  process.stdout.write(`${JSON.stringify({ ready: true, address: address.val })}\n`);
}

function prepareKeyValue(): PreparedStandIn {
  const clock = new SystemClock();
  return { server: serveKeyValue(clock, new KeyValueStore({ clock })) };
}

function prepareInstanceList(): PreparedStandIn {
  return { server: serveInstanceList(new SystemClock(), new StaticInstanceList()) };
}

/** Prints task starts and ends, so that tests need not rely on what the entry instances report. */
function printTaskEvent(event: "start" | "end", { requestId, attempt, team }: TaskSpec): void {
  const at = performance.timeOrigin + performance.now();
  process.stdout.write(`${JSON.stringify({ event, at, requestId, attempt, team })}\n`);
}

function prepareBackendServer(options: Options): PreparedStandIn {
  const clock = new SystemClock();
  const runner = new ConfigurableRunner({ runMs: options["run-ms"], fail: options.fail });
  // Boot and lease ids must differ from those of an earlier process of the same name, because its
  // tasks are lost.
  const name = `${options.name}-${new SystemRandom().hex(4)}`;
  const { slots } = options;
  const backend = new SimulatedBackendServer({
    clock,
    name,
    slots,
    runner,
    observe: printTaskEvent,
  });
  const server = serveBackendServer(clock, backend, runner);
  if (options.register === undefined) return { server };
  const registration = new Registration(clock, options.register, options);
  return {
    server,
    started: (address) => registration.add(address),
    stopping: () => registration.remove(),
  };
}

/** Registers and deregisters a backend server in the instance-list stand-in. */
class Registration {
  readonly #http: HttpClient;
  readonly #origin: string;
  readonly #options: Options;

  constructor(clock: SystemClock, origin: string, options: Options) {
    this.#http = new HttpClient({ clock, connections: 1 });
    this.#origin = origin;
    this.#options = options;
  }

  async add(address: string): Promise<Result<void, string>> {
    const { zone, rack, cores, accelerators, slots } = this.#options;
    const memoryGb = this.#options["memory-gb"];
    const size = { cores, memoryGb, accelerators, slots };
    const json: Omit<ListedInstance, "name"> = { address, zone, rack, ...size, state: "live" };
    const reply = await this.#http.call({ ...this.#call(), method: "PUT", json });
    if (reply.ok && reply.val.status === 204) return Ok(undefined);
    const reason = reply.ok ? `status ${reply.val.status}` : reply.val.detail;
    return Err(`cannot register with ${this.#origin}: ${reason}`);
  }

  async remove(): Promise<void> {
    await this.#http.call({ ...this.#call(), method: "DELETE" });
    await this.#http.close();
  }

  #call(): { origin: string; path: string; timeoutMs: number } {
    const path = `/v1/instances/${encodeURIComponent(this.#options.name)}`;
    return { origin: this.#origin, path, timeoutMs: REGISTER_TIMEOUT_MS };
  }
}

function exitWithError(message: string): never {
  process.stderr.write(`teaselspool stand-in: ${message}\n`);
  process.exit(EXIT_INVALID_INPUT);
}
