import type { Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { PeerError } from "../ports/peer-transport.ts";
import type {
  AckReply,
  ConfigOffer,
  ConfigReply,
  GossipMessage,
  PeerRequest,
  ReplyTo,
} from "../protocol/peer-messages.ts";
import type { ConfigFollower } from "./config-follower.ts";
import type { Peers, PeerState } from "./ports.ts";

const CONFIG_TIMEOUT_MS = 2000;

/** Options of {@link ConfigGossip}. */
export interface ConfigGossipOptions {
  readonly clock: Clock;
  readonly config: ConfigFollower;
  readonly peers: Pick<Peers, "call">;
}

/**
 * Exchanges configurations and confirmations with peers, so that an entry that cannot read the
 * platform stays up to date as long as one of its peers can.
 */
export class ConfigGossip {
  readonly #options: ConfigGossipOptions;
  /** Peers with a configuration request or offer in flight. */
  readonly #calling = new Set<string>();

  constructor(options: ConfigGossipOptions) {
    this.#options = options;
  }

  /** The configuration fields of this entry's gossip. */
  gossipFields(): Pick<GossipMessage, "configRevision" | "configAgeMs" | "platformReachable"> {
    const { config } = this.#options;
    return {
      configRevision: config.current()?.revision ?? 0,
      configAgeMs: config.ageMs(),
      platformReachable: config.platformReachable(),
    };
  }

  /** Requests, offers or confirms a configuration, depending on the revision in a peer's gossip. */
  handleGossip(state: PeerState): void {
    const { config, clock } = this.#options;
    const own = config.current()?.revision ?? 0;
    const { configRevision, platformReachable } = state.message;
    if (configRevision > own) void this.#request(state);
    if (configRevision < own && !platformReachable) void this.#offer(state);
    if (configRevision === own) config.confirm(own, confirmationAgeMs(clock, state));
  }

  /** Replies to a peer that has a lower revision. */
  replyToRequest(): ConfigReply {
    const { config } = this.#options;
    const revision = config.current()?.revision ?? 0;
    return { type: "config-reply", revision, document: config.documentText() };
  }

  /** Adopts a newer configuration from a peer. The offer does not confirm that it is current. */
  handleOffer({ document }: ConfigOffer): AckReply {
    return { type: "ack", accepted: this.#options.config.adopt(document, Infinity) };
  }

  async #offer({ hello }: PeerState): Promise<void> {
    const document = this.#options.config.documentText();
    if (document !== undefined)
      await this.#call(hello.incarnation, { type: "config-offer", document });
  }

  async #request(state: PeerState): Promise<void> {
    const { config, clock } = this.#options;
    const reply = await this.#call(state.hello.incarnation, { type: "config" });
    if (reply === undefined || reply.err || reply.val.document === undefined) return;
    // The peer's confirmation applies to the revision in its gossip, not to a later one.
    const confirmed = reply.val.revision === state.message.configRevision;
    config.adopt(reply.val.document, confirmed ? confirmationAgeMs(clock, state) : Infinity);
  }

  /** Returns undefined while another call to the peer is in flight. */
  async #call<T extends PeerRequest>(
    incarnation: string,
    req: T,
  ): Promise<Result<ReplyTo<T>, PeerError> | undefined> {
    if (this.#calling.has(incarnation)) return undefined;
    this.#calling.add(incarnation);
    const reply = await this.#options.peers.call(incarnation, req, CONFIG_TIMEOUT_MS);
    this.#calling.delete(incarnation);
    return reply;
  }
}

/** Upper bound on the age of a peer's confirmation. */
function confirmationAgeMs(clock: Clock, { message, requestedAt }: PeerState): number {
  return clock.now() - requestedAt + message.configAgeMs;
}
