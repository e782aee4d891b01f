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

/** Another active entry instance, with which gossip is exchanged. */
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
  /** Mean time in milliseconds between two exchanges with a peer while there is work. */
  readonly intervalMs: number;
  /** True while work is queued in this entry. */
  readonly queued: () => boolean;
  /** Revision of the adopted configuration, 0 for none. */
  readonly configRevision: () => number;
  /** Active entry instances as last known; this entry itself is ignored. */
  readonly members: () => readonly PeerMember[];
  readonly sources: readonly GossipSource[];
  /** Called with the peer's state after each successful exchange. */
  readonly onGossip: (state: PeerState) => void;
}

/** A peer counts as reachable for this time in milliseconds after the start of an exchange. */
const CONTACT_MS = 3000;
const GOSSIP_TIMEOUT_MS = 1500;
const RECONNECT_MIN_MS = 200;
const RECONNECT_MAX_MS = 2000;
/** Exchanges stay frequent for this time in milliseconds after an offer; offers come in bursts. */
const OFFER_BURST_MS = 2000;
/** Time in milliseconds for which a leaving backend server is announced. */
const LEAVING_ANNOUNCED_MS = 30_000;

interface PeerLink {
  readonly member: PeerMember;
  readonly abort: AbortController;
  readonly pace: ExchangePace;
  connection: PeerConnection | undefined;
  state: PeerState | undefined;
  /** The peer's last request. */
  lastRequest: GossipRequest | undefined;
}

/** Reachable peers; valid until a monotonic time in milliseconds. */
interface ReachablePeers {
  readonly states: ReadonlyMap<string, PeerState>;
  readonly until: number;
}

/** Keeps one connection and one exchange loop with every other entry instance. */
export class PeerDirectory extends Peers {
  readonly self: Hello;
  readonly #options: PeerDirectoryOptions;
  readonly #links = new Map<string, PeerLink>();
  readonly #encoder = new GossipEncoder();
  readonly #leaving = new Map<string, number>();
  readonly #abort = new AbortController();
  #reachable: ReachablePeers | undefined;
  #leavingCache:
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

  /** Connects to the members, and follows changes of the member list. */
  start(): void {
    void this.#followMembers();
  }

  /** Closes every connection and ends every loop. */
  stop(): void {
    this.#abort.abort();
    for (const link of this.#links.values()) this.#closeLink(link);
  }

  /** Announces in every later exchange that this entry accepts no new work. */
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
    for (const { pace } of this.#links.values()) pace.speedUp();
  }

  /** Servers that reachable peers report as leaving and those that this entry announces. */
  override leavingServers(): ReadonlySet<string> {
    const { states } = this.#currentPeers();
    if (this.#leavingCache?.states !== states)
      this.#leavingCache = { states, servers: super.leavingServers() };
    const { servers } = this.#leavingCache;
    return this.#leaving.size === 0 ? servers : new Set([...servers, ...this.#announcedLeaving()]);
  }

  /**
   * Returns the cached map until an exchange or the loss of a peer changes it, because it is read
   * very often.
   */
  gossip(): ReadonlyMap<string, PeerState> {
    return this.#currentPeers().states;
  }

  async call<T extends PeerRequest>(
    incarnation: string,
    req: T,
    timeoutMs: number,
  ): Promise<Result<ReplyTo<T>, PeerError>> {
    if (req.type === "run") this.#offeredAt = this.#options.clock.now();
    const connection = this.#links.get(incarnation)?.connection;
    if (connection?.open !== true) return Err({ kind: "not-sent", detail: "no connection" });
    return connection.call(req, timeoutMs);
  }

  /** Replies to a peer's gossip request with this entry's own state. */
  answerGossip(from: Hello, req: GossipRequest): GossipReply {
    const link = this.#links.get(from.incarnation);
    if (link !== undefined) {
      if (hasUrgentChange(req, link)) link.pace.exchangeNow();
      link.lastRequest = req;
    }
    const snapshot = this.#buildSnapshot(from.group === this.self.group);
    return this.#encoder.encode(from.incarnation, req.sequence, snapshot);
  }

  #currentPeers(): ReachablePeers {
    const now = this.#options.clock.now();
    if (this.#reachable !== undefined && now <= this.#reachable.until) return this.#reachable;
    const states = [...this.#links.values()].flatMap(({ state }) =>
      state !== undefined && now <= state.requestedAt + CONTACT_MS ? [state] : [],
    );
    this.#reachable = {
      states: new Map(states.map((state) => [state.hello.incarnation, state])),
      until: Math.min(...states.map((state) => state.requestedAt)) + CONTACT_MS,
    };
    return this.#reachable;
  }

  async #followMembers(): Promise<void> {
    const { clock, intervalMs } = this.#options;
    while (!this.#abort.signal.aborted) {
      this.#syncLinks();
      await clock.sleep(intervalMs, this.#abort.signal);
    }
  }

  #syncLinks(): void {
    const members = this.#options.members().filter((m) => m.incarnation !== this.self.incarnation);
    const wanted = new Set(members.map((member) => member.incarnation));
    for (const [incarnation, link] of this.#links) {
      if (!wanted.has(incarnation)) this.#closeLink(link);
    }
    for (const member of members) {
      if (this.#links.has(member.incarnation)) continue;
      const link = {
        member,
        abort: new AbortController(),
        pace: new ExchangePace(this.#options),
        connection: undefined,
        state: undefined,
        lastRequest: undefined,
      };
      this.#links.set(member.incarnation, link);
      void this.#maintainLink(link);
    }
  }

  #closeLink(link: PeerLink): void {
    link.abort.abort();
    link.pace.disable();
    link.connection?.close();
    this.#links.delete(link.member.incarnation);
    this.#reachable = undefined;
    this.#encoder.forget(link.member.incarnation);
  }

  async #maintainLink(link: PeerLink): Promise<void> {
    const { clock, random } = this.#options;
    let backoffMs = RECONNECT_MIN_MS;
    while (!link.abort.signal.aborted) {
      if (await this.#connect(link)) {
        backoffMs = RECONNECT_MIN_MS;
        await this.#exchangeLoop(link);
      }
      await clock.sleep(backoffMs * (0.5 + random.next() / 2), link.abort.signal);
      backoffMs = Math.min(backoffMs * 2, RECONNECT_MAX_MS);
    }
  }

  async #connect(link: PeerLink): Promise<boolean> {
    const connected = await this.#options.transport.connect(link.member.address, this.self);
    if (connected.err) {
      this.#options.counters.event("peer_connect_failed");
      return false;
    }
    const connection = connected.val;
    const expected = connection.remote.incarnation === link.member.incarnation;
    if (!expected || link.abort.signal.aborted) {
      connection.close();
      return false;
    }
    link.connection = connection;
    return true;
  }

  async #exchangeLoop(link: PeerLink): Promise<void> {
    while (!link.abort.signal.aborted && link.connection?.open === true) {
      if (!(await this.#exchange(link))) break;
      if (this.#hasWork()) link.pace.speedUp();
      await link.pace.pause();
    }
    link.connection?.close();
    link.connection = undefined;
  }

  /** Exchanges gossip once. Returns false if the connection must be closed. */
  async #exchange(link: PeerLink): Promise<boolean> {
    const { clock, counters, onGossip } = this.#options;
    const connection = link.connection;
    if (connection === undefined) return false;
    const sentAt = clock.now();
    const known = link.state?.message.sequence ?? 0;
    const reply = await connection.call(this.#buildRequest(known), GOSSIP_TIMEOUT_MS);
    if (reply.err) {
      counters.event(`gossip_${reply.val.kind.replace("-", "_")}`);
      return reply.val.kind === "busy";
    }
    const previous = link.state?.message;
    const message = decodeGossip(previous, reply.val);
    if (message === undefined || message === previous) {
      counters.event("gossip_other_baseline");
      return true;
    }
    if (reportsWork(message, previous)) link.pace.speedUp();
    link.state = { hello: connection.remote, message, requestedAt: sentAt };
    this.#reachable = undefined;
    onGossip(link.state);
    return true;
  }

  #exchangeNow(): void {
    for (const { pace } of this.#links.values()) pace.exchangeNow();
  }

  /** True while work is queued or was offered to a peer recently. */
  #hasWork(): boolean {
    const { clock, queued } = this.#options;
    return queued() || clock.now() - this.#offeredAt < OFFER_BURST_MS;
  }

  #buildRequest(sequence: number): GossipRequest {
    const leaving = this.#announcedLeaving();
    return {
      type: "gossip",
      sequence,
      configRevision: this.#options.configRevision(),
      ...(leaving.length === 0 ? {} : { leaving }),
      ...(this.#stopping ? { stopping: true } : {}),
    };
  }

  #buildSnapshot(sameGroup: boolean): GossipMessage {
    const partialGossip = this.#options.sources.map((source) => source());
    const full = partialGossip.reduce<GossipMessage>(
      (message, part) => ({ ...message, ...part }),
      EMPTY_GOSSIP,
    );
    const leaving = [...new Set([...full.leaving, ...this.#announcedLeaving()])];
    // In CBOR, a small integer takes 3 bytes and a fraction 9. Rounded up, so that the age is never
    // understated.
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

/**
 * True if the request contains a higher configuration revision, a shutdown or a leaving server that
 * neither the peer's last reply nor its last request contained.
 */
function hasUrgentChange(req: GossipRequest, { state, lastRequest }: PeerLink): boolean {
  const seen = [state?.message, lastRequest];
  if (seen.every((known) => req.configRevision > (known?.configRevision ?? 0))) return true;
  if (req.stopping === true && seen.every((known) => known?.stopping !== true)) return true;
  const { leaving = [] } = req;
  return leaving.some((server) => seen.every((known) => known?.leaving?.includes(server) !== true));
}

/** True if the peer reports queued work or a changed number of free slots. */
function reportsWork({ pools }: GossipMessage, previous: GossipMessage | undefined): boolean {
  const freeBefore = new Map(previous?.pools.map((load) => [load.pool, load.freeSlots]));
  return pools.some(
    ({ pool, queued, freeSlots }) => queued > 0 || freeSlots !== freeBefore.get(pool),
  );
}
