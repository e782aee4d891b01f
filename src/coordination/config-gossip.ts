import type { Clock } from "../platform/clock.ts";
import type { ConfigReply, GossipMessage } from "../protocol/peer-messages.ts";
import type { ConfigFollower } from "./config-follower.ts";
import type { Peers, PeerState } from "./ports.ts";

const CONFIG_TIMEOUT_MS = 2000;

/** Options of {@link ConfigGossip}. */
export interface ConfigGossipOptions {
  readonly clock: Clock;
  readonly config: ConfigFollower;
  readonly peers: Pick<Peers, "call">;
}

/** Passes configurations and confirmations between peers, so that one reachable peer suffices. */
export class ConfigGossip {
  readonly #options: ConfigGossipOptions;
  readonly #asking = new Set<string>();

  constructor(options: ConfigGossipOptions) {
    this.#options = options;
  }

  /** This entry's part of the gossip. */
  contribute(): Pick<GossipMessage, "configRevision" | "configAgeMs" | "platformReachable"> {
    const { config } = this.#options;
    return {
      configRevision: config.current()?.revision ?? 0,
      configAgeMs: config.ageMs(),
      platformReachable: config.platformReachable(),
    };
  }

  /** Takes a peer's state. */
  received(state: PeerState): void {
    const { config, clock } = this.#options;
    const own = config.current()?.revision ?? 0;
    const { configRevision } = state.message;
    if (configRevision > own) void this.#ask(state);
    if (configRevision === own) config.confirm(own, confirmationAgeMs(clock, state));
  }

  /** Answers a peer that has a lower revision. */
  answer(): ConfigReply {
    const { config } = this.#options;
    const revision = config.current()?.revision ?? 0;
    return { type: "config-reply", revision, document: config.documentText() };
  }

  async #ask(state: PeerState): Promise<void> {
    const { config, peers, clock } = this.#options;
    const { incarnation } = state.hello;
    if (this.#asking.has(incarnation)) return;
    this.#asking.add(incarnation);
    const reply = await peers.call(incarnation, { type: "config" }, CONFIG_TIMEOUT_MS);
    this.#asking.delete(incarnation);
    if (reply.err || reply.val.document === undefined) return;
    // The peer's confirmation was of the revision it named, not of a later one.
    const confirmed = reply.val.revision === state.message.configRevision;
    config.adopt(reply.val.document, confirmed ? confirmationAgeMs(clock, state) : Infinity);
  }
}

function confirmationAgeMs(clock: Clock, { message, receivedAt }: PeerState): number {
  return clock.now() - receivedAt + message.configAgeMs;
}
