/** Runs many simulated backend servers in one process and registers them with an instance list. */
import sade from "sade";
import { SystemClock } from "../src/ports/system-clock.ts";
import { ConfigurableRunner } from "../src/stand-ins/configurable-runner.ts";
import { serveBackendServer } from "../src/stand-ins/http-backend-server.ts";
import { SimulatedBackendServer } from "../src/stand-ins/simulated-backend-server.ts";

const SLOTS_PER_SERVER = 8;

async function startServer(zone: string, number: number, listUrl: string): Promise<void> {
  const clock = new SystemClock();
  const runner = new ConfigurableRunner();
  const name = `${zone}-${number}`;
  const backend = new SimulatedBackendServer({ clock, name, slots: SLOTS_PER_SERVER, runner });
  const address = await serveBackendServer(clock, backend, runner).listen("127.0.0.1", 0);
  if (address.err) throw new Error(address.val);
  const instance = {
    name,
    address: address.val.startsWith("http") ? address.val : `http://${address.val}`,
    zone,
    rack: `${zone}-${Math.ceil(number / 4)}`,
    cores: 16,
    memoryGb: 64,
    accelerators: 0,
    slots: SLOTS_PER_SERVER,
    state: "live",
  };
  const res = await fetch(`${listUrl}/v1/instances/${name}`, {
    method: "PUT",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(instance),
  });
  if (!res.ok) throw new Error(`registration failed: ${res.status} ${await res.text()}`);
}

sade("farm", true)
  .option("--zone", "Availability zone", "z1")
  .option("--servers", "Number of backend servers", 8)
  .option("--register", "Base URL of the instance list")
  .action(
    async (options: {
      readonly zone: string;
      readonly servers: number;
      readonly register: string;
    }) => {
      for (let n = 1; n <= options.servers; n++) {
        await startServer(options.zone, n, options.register);
      }
      console.log(JSON.stringify({ ready: true }));
    },
  )
  .parse(process.argv);
