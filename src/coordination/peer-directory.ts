import { Err, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { Log } from "../ports/log.ts";
import type { PeerConnection, PeerError, PeerTransport } from "../ports/peer-transport.ts";
import type { Random } from "../ports/random.ts";
import type {
  GossipMessage,
  GossipReply,
  GossipRequest,
  Hello,
  PeerRequest,
  ReplyTo,
} from "../protocol/peer-messages.ts";
import { ExchangePace } from "./exchange-pace.ts";
import { decodeGossip, EMPTY_GOSSIP, GossipEncoder } from "./gossip-delta.ts";
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
  /** Time between two exchanges with a peer while there is work, in milliseconds. */
  readonly intervalMs: number;
  /** True while work is queued here. */
  readonly queued: () => boolean;
  /** Revision of the adopted configuration, 0 for none. */
  readonly configRevision: () => number;
  /** Other active entry instances as last known. */
  readonly members: () => readonly PeerMember[];
  readonly sources: readonly GossipSource[];
  /** Called with each peer's state after an exchange. */
  readonly onGossip: (state: PeerState) => void;
}

/** A peer counts as in contact for this long after an exchange began, in milliseconds. */
const CONTACT_MS = 3000;
const GOSSIP_TIMEOUT_MS = 1500;
const RECONNECT_MIN_MS = 200;
const RECONNECT_MAX_MS = 2000;
/** Exchanges stay frequent for this long after an offer, since offers follow in bursts. */
const OFFERED_MS = 2000;
/** A leaving backend server is announced for this long, in milliseconds. */
const LEAVING_ANNOUNCED_MS = 30_000;

interface PeerTask {
  readonly member: PeerMember;
  readonly abort: AbortController;
  readonly pace: ExchangePace;
  connection: PeerConnection | undefined;
  state: PeerState | undefined;
  /** The peer's last request. */
  heard: GossipRequest | undefined;
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
  #offeredAt = -Infinity;

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

  override speedUpGossip(): void {
    for (const { pace } of this.#tasks.values()) pace.soon();
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
    if (req.type === "run") this.#offeredAt = this.#options.clock.now();
    const connection = this.#tasks.get(incarnation)?.connection;
    if (connection?.open !== true) return Err({ kind: "not-sent", detail: "no connection" });
    return connection.call(req, timeoutMs);
  }

  /** Answers a peer's exchange with this entry's own state. */
  answerGossip(from: Hello, req: GossipRequest): GossipReply {
    const task = this.#tasks.get(from.incarnation);
    if (task !== undefined) {
      if (hasNews(req, task)) task.pace.now();
      task.heard = req;
    }
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
        pace: new ExchangePace(this.#options),
        connection: undefined,
        state: undefined,
        heard: undefined,
      };
      this.#tasks.set(member.incarnation, task);
      void this.#follow(task);
    }
  }

  #end(task: PeerTask): void {
    task.abort.abort();
    task.pace.end();
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
    while (!task.abort.signal.aborted && task.connection?.open === true) {
      if (!(await this.#exchange(task))) break;
      if (this.#hasWork()) task.pace.soon();
      await task.pace.pause();
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
    const previous = task.state?.message;
    const message = decodeGossip(previous, reply.val);
    if (message === undefined || message === previous) {
      counters.event("gossip_other_baseline");
      return true;
    }
    if (showsWork(message, previous)) task.pace.soon();
    task.state = { hello: connection.remote, message, receivedAt: sentAt };
    this.#contacts = undefined;
    onGossip(task.state);
    return true;
  }

  #exchangeNow(): void {
    for (const { pace } of this.#tasks.values()) pace.now();
  }

  #hasWork(): boolean {
    const { clock, queued } = this.#options;
    return queued() || clock.now() - this.#offeredAt < OFFERED_MS;
  }

  #request(sequence: number): GossipRequest {
    const leaving = this.#announcedLeaving();
    return {
      type: "gossip",
      sequence,
      configRevision: this.#options.configRevision(),
      ...(leaving.length === 0 ? {} : { leaving }),
      ...(this.#stopping ? { stopping: true } : {}),
    };
  }

  #snapshot(sameGroup: boolean): GossipMessage {
    const parts = this.#options.sources.map((source) => source());
    const full = parts.reduce<GossipMessage>(
      (message, part) => ({ ...message, ...part }),
      EMPTY_GOSSIP,
    );
    const leaving = [...new Set([...full.leaving, ...this.#announcedLeaving()])];
    // A whole number takes 3 bytes instead of 9; rounded up, so that nothing appears fresher.
    const configAgeMs = Math.ceil(full.configAgeMs);
    const held = sameGroup ? full.held : [];
    return { ...full, configAgeMs, leaving, stopping: this.#stopping, held };
  }

  #announcedLeaving(): readonly string[] {
    const now = this.#options.clock.now();
    for (const [server, until] of this.#leaving) {
      if (until <= now) this.#leaving.delete(server);
    }
    return [...this.#leaving.keys()];
  }
}

/** True if the peer tells of urgent news that neither its last reply nor its last request showed. */
function hasNews(req: GossipRequest, { state, heard }: PeerTask): boolean {
  const seen = [state?.message, heard];
  if (seen.every((known) => req.configRevision > (known?.configRevision ?? 0))) return true;
  if (req.stopping === true && seen.every((known) => known?.stopping !== true)) return true;
  const { leaving = [] } = req;
  return leaving.some((server) => seen.every((known) => known?.leaving?.includes(server) !== true));
}

/** True if the peer reports queued work, or if its free slots changed. */
function showsWork({ pools }: GossipMessage, previous: GossipMessage | undefined): boolean {
  const freeBefore = new Map(previous?.pools.map((load) => [load.pool, load.freeSlots]));
  return pools.some(
    ({ pool, queued, freeSlots }) => queued > 0 || freeSlots !== freeBefore.get(pool),
  );
}
