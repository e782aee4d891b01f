import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { PeerConnection } from "../../src/ports/peer-transport.ts";
import { SystemClock } from "../../src/ports/system-clock.ts";
import { ConfigurableRunner } from "../../src/stand-ins/configurable-runner.ts";
import { serveBackendServer } from "../../src/stand-ins/http-backend-server.ts";
import { SimulatedBackendServer } from "../../src/stand-ins/simulated-backend-server.ts";
import { HttpBackendConnector } from "../../src/transport/http-backend-server.ts";
import { TcpPeerTransport } from "../../src/transport/peer-tcp.ts";
import { helloOf, taskSpec } from "../fakes/builders.ts";
import { CuttingProxy } from "../fakes/cutting-proxy.ts";
import { EventCounts } from "../fakes/event-counts.ts";

const test = suite("cut connections");
const clock = new SystemClock();
const SEEDS = [1, 2, 3, 4];
const CALLS = 400;
const CONCURRENT_CALLS = 8;
const CUT_CHANCE = 0.05;

/** Makes numbered calls concurrently and returns the outcome of each. */
async function callAll(call: (n: number) => Promise<string>): Promise<readonly string[]> {
  const outcomes: string[] = [];
  let next = 0;
  const worker = async (): Promise<void> => {
    while (next < CALLS) {
      const n = next++;
      outcomes[n] = await call(n);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLS }, worker));
  return outcomes;
}

function portOf(address: string): number {
  return Number(address.split(":").at(-1));
}

// Guards against a call that is reported as not sent although the peer processed it, and against a
// call that is processed twice.
test("a peer never processed a call that is reported as not sent", async () => {
  for (const seed of SEEDS) {
    const processedCalls = new Map<string, number>();
    const log = { error: (): void => undefined };
    const transport = new TcpPeerTransport({ clock, counter: new EventCounts(), log });
    const listened = await transport.listen(helloOf("server"), (_from, req) => {
      const id = req.type === "cancel" ? req.requestId : "";
      processedCalls.set(id, (processedCalls.get(id) ?? 0) + 1);
      return Promise.resolve({ type: "state", state: undefined });
    });
    listened.unwrap();
    const proxy = new CuttingProxy(portOf(transport.address!), seed, CUT_CHANCE);
    const address = await proxy.listen();
    let peer: PeerConnection | undefined;
    const outcomes = await callAll(async (n) => {
      if (peer?.open !== true) {
        const connected = await transport.connect(address, helloOf("client"));
        if (connected.err) return connected.val.kind;
        peer = connected.val;
      }
      const req = { type: "cancel", requestId: `r${n}`, team: undefined } as const;
      const reply = await peer.call(req, 1000);
      return reply.err ? reply.val.kind : "ok";
    });
    proxy.close();
    await transport.close();
    assertOutcomes(seed, outcomes, processedCalls, "not-sent");
    assert.ok(proxy.cuts > 0);
  }
});

// Guards against a start that is reported as unreachable although the backend server ran the task,
// and against a start that is processed twice. Either would run a job twice.
test("a backend server never started a task whose start is reported as unreachable", async () => {
  for (const seed of SEEDS) {
    const processedCalls = new Map<string, number>();
    const runner = new ConfigurableRunner({ runMs: 0 });
    const backend = new SimulatedBackendServer({
      clock,
      name: "s1",
      slots: CALLS,
      runner,
      observe: (event, { requestId }) => {
        if (event === "start")
          processedCalls.set(requestId, (processedCalls.get(requestId) ?? 0) + 1);
      },
    });
    const { leaseId } = (await backend.acquireLease("e1", 60_000)).unwrap();
    const server = serveBackendServer(clock, backend, runner);
    const url = (await server.listen("127.0.0.1", 0)).unwrap();
    const proxy = new CuttingProxy(portOf(url), seed, CUT_CHANCE);
    const connector = new HttpBackendConnector({ clock });
    const client = connector.connect(`http://${await proxy.listen()}`);
    const outcomes = await callAll(async (n) => {
      const started = await client.startTask(leaseId, taskSpec({ requestId: `r${n}` }));
      return started.err ? started.val.kind : "ok";
    });
    await connector.close();
    proxy.close();
    await server.close();
    backend.restart();
    assertOutcomes(seed, outcomes, processedCalls, "unreachable");
    assert.ok(proxy.cuts > 0);
  }
});

function assertOutcomes(
  seed: number,
  outcomes: readonly string[],
  processedCalls: ReadonlyMap<string, number>,
  notProcessedKind: string,
): void {
  outcomes.forEach((outcome, n) => {
    const processed = processedCalls.get(`r${n}`) ?? 0;
    const allowed = outcome === "ok" ? [1] : outcome === notProcessedKind ? [0] : [0, 1];
    assert.ok(
      allowed.includes(processed),
      `seed ${seed}, call ${n}: ${outcome}, processed ${processed}`,
    );
  });
  assert.ok(outcomes.includes("ambiguous"), `seed ${seed}: no call was ambiguous`);
}

test.run();
