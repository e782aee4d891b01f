/**
 * Measures the cost of calls between peers over loopback and prints it as JSON. The CPU time covers
 * both sides, since both run in this process; the bytes are those of one request frame.
 */
import { build } from "hdr-histogram-js";
import type { PeerConnection } from "../src/ports/peer-transport.ts";
import { SystemClock } from "../src/ports/system-clock.ts";
import {
  PEER_PROTOCOL_VERSION,
  type GossipMessage,
  type Hello,
  type PeerReply,
  type PeerRequest,
} from "../src/protocol/peer-messages.ts";
import { encodeFrame } from "../src/transport/frames.ts";
import { TcpPeerTransport } from "../src/transport/peer-tcp.ts";

const TEAMS = [1, 10, 100, 150];
const POOLS = 12;
const HELD_SERVERS = 8;
const CALLS = 5000;
const WARM_UP_CALLS = 1000;
const CONCURRENT_CALLS = 16;
const BODY_BYTES = 1024;
const CALL_TIMEOUT_MS = 10_000;

interface CallCost {
  readonly call: string;
  readonly calls: number;
  readonly cpuMicrosPerCall: number;
  readonly requestBytes: number;
  readonly p50Micros: number;
  readonly p99Micros: number;
}

function gossip(teams: number): GossipMessage {
  const list = <T>(length: number, item: (n: number) => T): readonly T[] =>
    Array.from({ length }, (_, n) => item(n));
  return {
    type: "gossip",
    sequence: 9,
    baseline: 8,
    configRevision: 3600,
    configAgeMs: 812.25,
    platformReachable: true,
    fleetRevision: 51_200,
    homesRevision: 4100,
    pools: list(POOLS, (n) => ({
      pool: `pool-${n}`,
      freeSlots: 12,
      totalSlots: 64,
      queued: 40,
      waitMs: 125.5,
    })),
    teams: list(teams, (n) => ({ team: `team-${n}`, running: 14, budget: 20, queued: 300 })),
    held: list(HELD_SERVERS, (n) => `andina-z1-server-${n}`),
    leaving: [],
    stopping: false,
  };
}

function requests(): readonly { readonly name: string; readonly req: PeerRequest }[] {
  const spec = {
    requestId: "z1-0123456789ab.019ce8a1-7d5c-7000-8000-000000000000",
    team: "team-1",
    queue: "checks",
    priority: "normal",
    idempotent: false,
    timeoutMs: 30_000,
    payload: { contentType: "application/json", body: Buffer.alloc(BODY_BYTES, 97) },
  } as const;
  return [
    { name: "config", req: { type: "config" } },
    { name: `submit, body of ${BODY_BYTES} bytes`, req: { type: "submit", spec, waitMs: 1000 } },
    // The handler uses the sequence number as the number of teams in its gossip reply.
    ...TEAMS.map((teams) => ({
      name: `gossip, ${teams} teams`,
      req: { type: "gossip", sequence: teams, configRevision: 3600 } as const,
    })),
  ];
}

function handleRequest(req: PeerRequest): Promise<PeerReply> {
  if (req.type === "gossip") return Promise.resolve(gossip(req.sequence));
  if (req.type === "submit") return Promise.resolve({ type: "state", state: undefined });
  return Promise.resolve({ type: "config-reply", revision: 1, document: undefined });
}

async function runCalls(
  peer: PeerConnection,
  req: PeerRequest,
  calls: number,
  record: (micros: number) => void,
): Promise<void> {
  let left = calls;
  const worker = async (): Promise<void> => {
    while (left-- > 0) {
      const started = performance.now();
      (await peer.call(req, CALL_TIMEOUT_MS)).unwrap();
      record(Math.max(1, Math.round((performance.now() - started) * 1000)));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLS }, worker));
}

async function measure(peer: PeerConnection, call: string, req: PeerRequest): Promise<CallCost> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  await runCalls(peer, req, WARM_UP_CALLS, () => undefined);
  const before = process.cpuUsage();
  await runCalls(peer, req, CALLS, (micros) => {
    histogram.recordValue(micros);
  });
  const { user, system } = process.cpuUsage(before);
  return {
    call,
    calls: CALLS,
    cpuMicrosPerCall: Math.round(((user + system) / CALLS) * 10) / 10,
    requestBytes: encodeFrame({ kind: "call", callId: 1000, req }).unwrap().length,
    p50Micros: histogram.getValueAtPercentile(50),
    p99Micros: histogram.getValueAtPercentile(99),
  };
}

function hello(incarnation: string): Hello {
  const version = PEER_PROTOCOL_VERSION;
  return { version, incarnation, address: "127.0.0.1:0", zone: "z1", group: "andina" };
}

const log = { error: console.error };
const counter = { event: (): void => undefined };
const transport = new TcpPeerTransport({ clock: new SystemClock(), counter, log });
(await transport.listen(hello("server"), (_from, req) => handleRequest(req))).unwrap();
const peer = (await transport.connect(transport.address!, hello("client"))).unwrap();
const costs: CallCost[] = [];
for (const { name, req } of requests()) costs.push(await measure(peer, name, req));
await transport.close();
console.log(JSON.stringify({ concurrentCalls: CONCURRENT_CALLS, costs }, undefined, 2));
