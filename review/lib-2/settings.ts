/** Settings files and ports of entry processes. */
import { createServer } from "node:net";
import type { WorkerBounds } from "./runs.ts";

/** Interval in ms at which workers write their entries. */
export const HEARTBEAT_MS = 1500;
/** Zone of all machines. */
export const ZONE = "zone-a";

/** Bounds as in the settings that `fleetbench wire` shows. */
export const BOUNDS: WorkerBounds = {
  holdMaxMs: 10_000,
  stopTimeoutMs: 200,
  gangTimeoutMs: 3000,
  checkpointMs: 500,
  restoreMs: 250,
};

/** Addresses of the platform's services. */
export interface Addresses {
  readonly store: string;
  readonly cloud: string;
}

/** Port below those that the system gives to outgoing connections. */
const LOWEST_PORT = 20_000;
const PORT_RANGE = 10_000;
/** Ports of one entry: callers, readiness, peers and metrics. */
const PORTS_PER_ENTRY = 4;

/** Four successive free ports. */
export async function freePorts(): Promise<readonly number[]> {
  for (;;) {
    const first = LOWEST_PORT + Math.floor(Math.random() * PORT_RANGE);
    const ports = Array.from({ length: PORTS_PER_ENTRY }, (_, index) => first + index);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) return ports;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Settings of an entry process, with the figures that `fleetbench wire` shows. */
export function settingsText(
  name: string,
  ports: { readonly front: number; readonly ready: number; readonly first: number },
  { store, cloud }: Addresses,
): string {
  return `nodeName = "${name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "${ZONE}"
region = "region"
portRange = [${ports.first}, ${ports.first + 1}]
heartbeatMs = ${HEARTBEAT_MS}
orders = "request"
[listenAddrs]
front = "127.0.0.1:${ports.front}"
ready = "127.0.0.1:${ports.ready}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackMs = 4000
graceS = 6
configApplyMs = 2000
holdMaxMs = ${BOUNDS.holdMaxMs}
stopTimeoutMs = ${BOUNDS.stopTimeoutMs}
gangTimeoutMs = ${BOUNDS.gangTimeoutMs}
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
checkpointS = ${BOUNDS.checkpointMs / 1000}
restoreMs = ${BOUNDS.restoreMs}
leaseMs = 3000
[platform]
address = "${store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloud]
address = "${cloud}"
ratePerS = 64.0
dutyPerS = 64.0
`;
}
