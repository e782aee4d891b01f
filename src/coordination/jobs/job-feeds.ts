/** Sources of what the scheduler and the entry instances follow outside the product's own records. */
import type { FleetConfig, RegisteredServer, WaveRequest } from "../../protocol/fleet-config.ts";

/** Receives the registered backend servers. */
export abstract class ServerListener {
  /** All registered servers; those that are missing are gone or silent. */
  abstract reset(servers: readonly RegisteredServer[]): void;
  abstract registered(server: RegisteredServer): void;
  abstract removed(id: string): void;
}

/** Backend servers as they register themselves. */
export abstract class ServerRegistry {
  /** Follows the registrations until the signal aborts. */
  abstract follow(listener: ServerListener, signal: AbortSignal): Promise<void>;
}

/** Receives what operators ask for. */
export abstract class OperatorListener {
  /** Called with every newer version of the configuration. */
  abstract configured(config: FleetConfig): void;
  abstract waveRequested(wave: WaveRequest): void;
  /** Everything that operators wrote before `askedAt`, a monotonic time in ms, is known. */
  abstract confirmed(askedAt: number): void;
}

/** The operators' configuration and maintenance requests. */
export abstract class OperatorFeed {
  /** Follows both until the signal aborts. */
  abstract follow(listener: OperatorListener, signal: AbortSignal): Promise<void>;
  /** Tells operators how far a wave is. */
  abstract reportWave(wave: number, state: "running" | "completed"): Promise<boolean>;
}
