import type { EntryInstanceOptions } from "../../src/coordination/entry-instance.ts";
import type { RequestService } from "../../src/coordination/ports.ts";
import type { BackendServer } from "../../src/ports/backend-server.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import type { Property } from "./violations.ts";

/** What an entry instance is built from; the oracle reads none of the product's counters. */
export type EntryParts = Omit<EntryInstanceOptions, "counters">;

/** The part of an entry instance that the fuzzing uses. */
export interface EntryUnderTest {
  readonly requests: RequestService;
  start(): Promise<void>;
  shutdown(): Promise<void>;
  kill(): void;
}

/** Builds an entry instance. */
export type EntryFactory = (parts: EntryParts) => EntryUnderTest;

/** One mechanism switched off at an interface, to see that a property depends on it. */
export interface Mutant {
  readonly name: string;
  /** The property that must catch it. */
  readonly property: Property;
  /** What is switched off, and how. */
  readonly detail: string;
  /** Changes the parts of one entry instance. */
  readonly parts?: (parts: EntryParts, entry: number) => EntryParts;
  /** Changes the key-value service that all entry instances share. */
  readonly store?: (store: KeyValueService) => KeyValueService;
  /** Changes what a backend server does with the calls that reach it. */
  readonly server?: (server: BackendServer) => BackendServer;
  /** Ends the process as soon as a graceful shutdown begins. */
  readonly cutShutdown?: boolean;
}
