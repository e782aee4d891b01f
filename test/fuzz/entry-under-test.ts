import type { EntryInstanceOptions } from "../../src/coordination/entry-instance.ts";
import type { RequestService } from "../../src/coordination/ports.ts";
import type { BackendServer } from "../../src/ports/backend-server.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import type { Property } from "./violations.ts";

/** Options of an entry instance, without counters because the oracle reads none of them. */
export type EntryOptions = Omit<EntryInstanceOptions, "counters">;

/** The interface of an entry instance that the fuzz tests use. */
export interface EntryUnderTest {
  readonly requests: RequestService;
  start(): Promise<void>;
  shutdown(): Promise<void>;
  kill(): void;
}

/** Builds an entry instance. */
export type EntryFactory = (options: EntryOptions) => EntryUnderTest;

/** Disables one mechanism at an interface, to check that the oracle detects its absence. */
export interface Mutant {
  readonly name: string;
  /** The property whose check must detect the mutant. */
  readonly property: Property;
  /** Which mechanism is disabled, and how. */
  readonly detail: string;
  /** Changes the options of one entry instance, given its number. */
  readonly changeOptions?: (options: EntryOptions, entry: number) => EntryOptions;
  /** Wraps the key-value service that all entry instances share. */
  readonly store?: (store: KeyValueService) => KeyValueService;
  /** Wraps a backend server, to change how it handles calls. */
  readonly server?: (server: BackendServer) => BackendServer;
  /** Kills the process where a graceful shutdown would begin. */
  readonly skipShutdown?: boolean;
}
