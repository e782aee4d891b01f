/**
 * Interfaces to the data that is kept outside this program's own records: the registrations of
 * backend servers, and the operators' configuration and maintenance requests.
 */
import type { FleetConfig, RegisteredServer, WaveRequest } from "../../protocol/fleet-config.ts";

/** Receives changes of the registered backend servers. */
export abstract class ServerListener {
  /** Replaces the set of registered servers. Servers that are missing are gone or unresponsive. */
  abstract reset(servers: readonly RegisteredServer[]): void;
  abstract registered(server: RegisteredServer): void;
  abstract removed(id: string): void;
}

/** Source of the backend servers' own registrations. */
export abstract class ServerRegistry {
  /** Passes registrations to the listener until the signal aborts. */
  abstract follow(listener: ServerListener, signal: AbortSignal): Promise<void>;
}

/** Receives configurations, maintenance requests and evacuations from operators. */
export abstract class OperatorListener {
  /** Called with every newer version of the configuration. */
  abstract configured(config: FleetConfig): void;
  abstract waveRequested(wave: WaveRequest): void;
  /** Called after a full read; zones that are missing are not, or no longer, evacuated. */
  abstract evacuatedZonesRead(zones: readonly string[]): void;
  abstract zoneEvacuated(zone: string): void;
  abstract zoneRestored(zone: string): void;
  /** Everything that operators wrote before `askedAt` (monotonic time in ms) has been received. */
  abstract confirmed(askedAt: number): void;
}

/** Source of the operators' configuration and maintenance requests. */
export abstract class OperatorFeed {
  /** Passes configurations and maintenance requests to the listener until the signal aborts. */
  abstract follow(listener: OperatorListener, signal: AbortSignal): Promise<void>;
  /** Reports the state of a wave to the operators; resolves to false if the report failed. */
  abstract reportWave(wave: number, state: "running" | "completed"): Promise<boolean>;
}
