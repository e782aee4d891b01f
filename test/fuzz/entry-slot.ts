import type { Log } from "../../src/ports/log.ts";
import type { Hello, PeerRequest } from "../../src/protocol/peer-messages.ts";
import { ENTRY_DEFAULTS, type EntrySettings } from "../../src/settings/entry-settings.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import { FaultyBackendConnector } from "../fakes/faulty-backend.ts";
import { FaultyKeyValue } from "../fakes/faulty-key-value.ts";
import type { Links, Party } from "../fakes/links.ts";
import { PeerNetwork } from "../fakes/peer-network.ts";
import { ProcessClock, ProcessGate } from "../fakes/process-gate.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { FaultyInstanceList } from "../fakes/faulty-instance-list.ts";
import type { VirtualClock } from "../fakes/virtual-clock.ts";
import type { EntryFactory, EntryOptions, EntryUnderTest, Mutant } from "./entry-under-test.ts";
import { GROUP } from "./fleet-plan.ts";
import type { Oracle } from "./oracle.ts";
import type { ServerFarm } from "./server-farm.ts";

/** Dependencies that all entry instances of a world share. */
export interface EntryEnvironment {
  readonly clock: VirtualClock;
  readonly links: Links;
  readonly random: SeededRandom;
  readonly oracle: Oracle;
  readonly farm: ServerFarm;
  readonly network: PeerNetwork;
  readonly store: KeyValueService;
  readonly platform: Party;
  readonly factory: EntryFactory;
  readonly mutant: Mutant | undefined;
  readonly log: Log;
}

/** One running process of an entry instance. */
export interface EntryProcess {
  readonly party: Party;
  readonly instance: EntryUnderTest;
  /** Nonces of the calls that wait for a reply from this process, by call number. */
  readonly waiting: Map<number, string>;
  stopping: boolean;
}

/** A fixed address at which one process of an entry instance runs at a time. */
export class EntrySlot {
  readonly index: number;
  readonly zone: string;
  readonly #env: EntryEnvironment;
  #process: EntryProcess | undefined;

  constructor({ index, zone, env }: { index: number; zone: string; env: EntryEnvironment }) {
    this.index = index;
    this.zone = zone;
    this.#env = env;
  }

  get tag(): string {
    return `entry:${this.index}`;
  }

  get peerAddress(): string {
    return settingsOf(this.index, this.zone).peerAddress;
  }

  /** The live process; undefined between a kill and the next start. */
  get process(): EntryProcess | undefined {
    return this.#process;
  }

  /** Starts a process with empty memory, unless one is already running. */
  start(): void {
    if (this.#process !== undefined) return;
    const { clock, factory, mutant, oracle } = this.#env;
    const party: Party = {
      tags: [this.tag, `zone:${this.zone}`, "entry"],
      gate: new ProcessGate({ clock }),
    };
    const options = this.#entryOptions(party);
    const instance = factory(mutant?.changeOptions?.(options, this.index) ?? options);
    this.#process = { party, instance, waiting: new Map(), stopping: false };
    instance.start().catch((error: unknown) => {
      if (!party.gate.dead) oracle.threw(`${this.tag} start`, error);
    });
  }

  /** Kills the process. Its callers lose their connections. */
  kill(): void {
    const stopped = this.#process;
    if (stopped === undefined) return;
    const { links, oracle } = this.#env;
    this.#process = undefined;
    stopped.party.gate.kill();
    links.partyDied(stopped.party);
    stopped.instance.kill();
    for (const call of stopped.waiting.keys()) oracle.requests.lost(call);
    stopped.waiting.clear();
  }

  /** Calls that wait for a reply from this process and whose task is running. */
  runningCalls(): readonly number[] {
    const { requests } = this.#env.oracle;
    return [...(this.#process?.waiting.keys() ?? [])].filter((call) => requests.isRunning(call));
  }

  /**
   * Shuts the process down gracefully; each call left without a reply is a violation. Returns false
   * if there is no process, it is paused or already stopping, or it was killed during the shutdown.
   */
  async shutDown(): Promise<boolean> {
    const stopped = this.#process;
    if (stopped === undefined || stopped.stopping || stopped.party.gate.paused) return false;
    stopped.stopping = true;
    const { mutant, oracle } = this.#env;
    if (mutant?.skipShutdown !== true) await stopped.instance.shutdown();
    if (this.#process !== stopped) return false;
    oracle.shutdownCompleted(this.tag, [...stopped.waiting.values()]);
    this.kill();
    return true;
  }

  #entryOptions(party: Party): EntryOptions {
    const { clock, links, platform, store, farm, network, log } = this.#env;
    const random = new SeededRandom(Math.floor(this.#env.random.next() * 2 ** 32));
    const wallOffsetMs = Math.floor((random.next() - 0.5) * 2000);
    return {
      settings: settingsOf(this.index, this.zone),
      clock: new ProcessClock({ base: clock, gate: party.gate, wallOffsetMs }),
      random,
      keyValue: new FaultyKeyValue({ links, party, platform, store }),
      instanceList: new FaultyInstanceList({
        links,
        party,
        platform,
        instances: farm.instanceList,
      }),
      backends: new FaultyBackendConnector({ links, party, servers: farm.backendParties }),
      peerTransport: network.transport(party),
      log,
    };
  }
}

function settingsOf(index: number, zone: string): EntrySettings {
  return {
    ...ENTRY_DEFAULTS,
    zone,
    group: GROUP,
    callerAddress: `10.0.0.${index}:7000`,
    adminAddress: `10.0.0.${index}:7001`,
    peerAddress: `10.0.0.${index}:7002`,
    keyValueUrl: "http://10.2.0.1:2379",
    instanceListUrl: "http://10.2.0.2:2380",
  };
}

/** Creates the peer network, which reports gossiped revisions and thrown errors to the oracle. */
export function observedNetwork(links: Links, oracle: Oracle): PeerNetwork {
  return new PeerNetwork({
    links,
    observe: (from: Hello, _to: Hello, req: PeerRequest) => {
      if (req.type !== "gossip") return;
      oracle.operators.revisionReported(from.incarnation, req.configRevision);
    },
    onThrow: (to, error) => {
      oracle.threw(`peer handler of ${to.incarnation}`, error);
    },
  });
}
