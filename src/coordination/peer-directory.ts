import { Err, type Result } from "ts-results";
import type { Clock } from "../platform/clock.ts";
import type { Log } from "../platform/log.ts";
import type { PeerConnection, PeerError, PeerTransport } from "../platform/peer-transport.ts";
import type { Random } from "../platform/random.ts";
import type { GossipMessage, Hello, PeerRequest, ReplyTo } from "../protocol/peer-messages.ts";
import { decodeGossip, GossipEncoder } from "./gossip-delta.ts";
import { Peers, type Counters, type GossipSource, type PeerState } from "./ports.ts";

/** Another entry instance to stay in contact with. */
export interface PeerMember {
  readonly incarnation: string;
  /** Peer address, `IP:PORT`. */
  readonly address: string;
  readonly zone: string;
}

/** Options of {@link PeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly self: Hello;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: Log;
  /** Time between two exchanges with a peer, in milliseconds. */
  readonly intervalMs: number;
  /** Other active entry instances as last known. */
  readonly members: () => readonly PeerMember[];
  readonly sources: readonly GossipSource[];
  /** Called with each peer's state after an exchange, and with the request of an exchange. */
  readonly onGossip: (state: PeerState) => void;
}

/** A peer counts as in contact for this long after an exchange began, in milliseconds. */
const CONTACT_MS = 3000;
const GOSSIP_TIMEOUT_MS = 1500;
const RECONNECT_MIN_MS = 200;
const RECONNECT_MAX_MS = 2000;
/** A leaving backend server is announced for this long, in milliseconds. */
const LEAVING_ANNOUNCED_MS = 30_000;

interface PeerTask {
  readonly member: PeerMember;
  readonly abort: AbortController;
  connection: PeerConnection | undefined;
  state: PeerState | undefined;
}

/** Peers in contact until a monotonic time in milliseconds. */
interface Contacts {
  readonly states: ReadonlyMap<string, PeerState>;
  readonly until: number;
}

/** Keeps one connection and one exchange loop with every other entry instance. */
export class PeerDirectory extends Peers {
  readonly self: Hello;
  readonly #options: PeerDirectoryOptions;
  readonly #tasks = new Map<string, PeerTask>();
  readonly #encoder = new GossipEncoder();
  readonly #leaving = new Map<string, number>();
  readonly #abort = new AbortController();
  #contacts: Contacts | undefined;
  #leavingAtPeers:
    | {
        readonly states: ReadonlyMap<string, PeerState>;
        readonly servers: ReadonlySet<string>;
      }
    | undefined;
  #stopping = false;

  constructor(options: PeerDirectoryOptions) {
    super();
    this.#options = options;
    this.self = options.self;
  }

  /** Starts following the member list. */
  start(): void {
    void this.#followMembers();
  }

  /** Closes every connection and ends every loop. */
  stop(): void {
    this.#abort.abort();
    for (const task of this.#tasks.values()) this.#end(task);
  }

  /** Announces in every exchange that this entry takes no new work. */
  announceStopping(): void {
    this.#stopping = true;
    this.#exchangeNow();
  }

  announceLeaving(server: string): void {
    const known = this.#leaving.has(server);
    this.#leaving.set(server, this.#options.clock.now() + LEAVING_ANNOUNCED_MS);
    if (!known) this.#exchangeNow();
  }

  /** Those that peers state to be leaving and those that this entry announces. */
  override leavingServers(): ReadonlySet<string> {
    const { states } = this.#currentContacts();
    if (this.#leavingAtPeers?.states !== states)
      this.#leavingAtPeers = { states, servers: super.leavingServers() };
    const { servers } = this.#leavingAtPeers;
    return this.#leaving.size === 0 ? servers : new Set([...servers, ...this.#announcedLeaving()]);
  }

  /** The same map until an exchange or a lapse of contact changes it, since it is read very often. */
  gossip(): ReadonlyMap<string, PeerState> {
    return this.#currentContacts().states;
  }

  async call<T extends PeerRequest>(
    incarnation: string,
    req: T,
    timeoutMs: number,
  ): Promise<Result<ReplyTo<T>, PeerError>> {
    const connection = this.#tasks.get(incarnation)?.connection;
    if (connection?.open !== true) return Err({ kind: "not-sent", detail: "no connection" });
    return connection.call(req, timeoutMs);
  }

  /** Answers a peer's exchange with this entry's own state. */
  answerGossip(from: Hello, req: GossipMessage): GossipMessage {
    this.#options.onGossip({ hello: from, message: req, receivedAt: -Infinity });
    const snapshot = this.#snapshot(from.group === this.self.group);
    return this.#encoder.encode(from.incarnation, req.sequence, snapshot);
  }

  #currentContacts(): Contacts {
    const now = this.#options.clock.now();
    if (this.#contacts !== undefined && now <= this.#contacts.until) return this.#contacts;
    const states = [...this.#tasks.values()].flatMap(({ state }) =>
      state !== undefined && now <= state.receivedAt + CONTACT_MS ? [state] : [],
    );
    this.#contacts = {
      states: new Map(states.map((state) => [state.hello.incarnation, state])),
      until: Math.min(...states.map((state) => state.receivedAt)) + CONTACT_MS,
    };
    return this.#contacts;
  }

  async #followMembers(): Promise<void> {
    const { clock, intervalMs } = this.#options;
    while (!this.#abort.signal.aborted) {
      this.#syncTasks();
      await clock.sleep(intervalMs, this.#abort.signal);
    }
  }

  #syncTasks(): void {
    const members = this.#options.members().filter((m) => m.incarnation !== this.self.incarnation);
    const wanted = new Set(members.map((member) => member.incarnation));
    for (const [incarnation, task] of this.#tasks) {
      if (!wanted.has(incarnation)) this.#end(task);
    }
    for (const member of members) {
      if (this.#tasks.has(member.incarnation)) continue;
      const task = {
        member,
        abort: new AbortController(),
        connection: undefined,
        state: undefined,
      };
      this.#tasks.set(member.incarnation, task);
      void this.#follow(task);
    }
  }

  #end(task: PeerTask): void {
    task.abort.abort();
    task.connection?.close();
    this.#tasks.delete(task.member.incarnation);
    this.#contacts = undefined;
    this.#encoder.forget(task.member.incarnation);
  }

  async #follow(task: PeerTask): Promise<void> {
    const { clock, random } = this.#options;
    let backoffMs = RECONNECT_MIN_MS;
    while (!task.abort.signal.aborted) {
      if (await this.#connect(task)) {
        backoffMs = RECONNECT_MIN_MS;
        await this.#exchangeLoop(task);
      }
      await clock.sleep(backoffMs * (0.5 + random.next() / 2), task.abort.signal);
      backoffMs = Math.min(backoffMs * 2, RECONNECT_MAX_MS);
    }
  }

  async #connect(task: PeerTask): Promise<boolean> {
    const connected = await this.#options.transport.connect(task.member.address, this.self);
    if (connected.err) {
      this.#options.counters.event("peer_connect_failed");
      return false;
    }
    const connection = connected.val;
    const expected = connection.remote.incarnation === task.member.incarnation;
    if (!expected || task.abort.signal.aborted) {
      connection.close();
      return false;
    }
    task.connection = connection;
    return true;
  }

  async #exchangeLoop(task: PeerTask): Promise<void> {
    const { clock, random, intervalMs } = this.#options;
    while (!task.abort.signal.aborted && task.connection?.open === true) {
      if (!(await this.#exchange(task))) break;
      await clock.sleep(intervalMs * (0.75 + random.next() / 2), task.abort.signal);
    }
    task.connection?.close();
    task.connection = undefined;
  }

  async #exchange(task: PeerTask): Promise<boolean> {
    const { clock, counters, onGossip } = this.#options;
    const connection = task.connection;
    if (connection === undefined) return false;
    const sentAt = clock.now();
    const known = task.state?.message.sequence ?? 0;
    const reply = await connection.call(this.#request(known), GOSSIP_TIMEOUT_MS);
    if (reply.err) {
      counters.event(`gossip_${reply.val.kind.replace("-", "_")}`);
      return reply.val.kind === "busy";
    }
    const message = decodeGossip(task.state?.message, reply.val);
    task.state = { hello: connection.remote, message, receivedAt: sentAt };
    this.#contacts = undefined;
    onGossip(task.state);
    return true;
  }

  #exchangeNow(): void {
    for (const task of this.#tasks.values()) void this.#exchange(task);
  }

  /** Loads are left out of requests; only replies carry them. */
  #request(known: number): GossipMessage {
    return { ...this.#snapshot(false), sequence: known, pools: [], teams: [] };
  }

  #snapshot(sameGroup: boolean): GossipMessage {
    const empty: GossipMessage = {
      type: "gossip",
      sequence: 0,
      baseline: 0,
      configRevision: 0,
      configAgeMs: Number.MAX_SAFE_INTEGER,
      platformReachable: false,
      fleetRevision: 0,
      homesRevision: 0,
      pools: [],
      teams: [],
      held: [],
      leaving: [],
      stopping: this.#stopping,
    };
    const parts = this.#options.sources.map((source) => source());
    const full = parts.reduce<GossipMessage>((message, part) => ({ ...message, ...part }), empty);
    const leaving = [...new Set([...full.leaving, ...this.#announcedLeaving()])];
    return { ...full, leaving, stopping: this.#stopping, held: sameGroup ? full.held : [] };
  }

  #announcedLeaving(): readonly string[] {
    const now = this.#options.clock.now();
    for (const [server, until] of this.#leaving) {
      if (until <= now) this.#leaving.delete(server);
    }
    return [...this.#leaving.keys()];
  }
}
