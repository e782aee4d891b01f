import type { BackendConnector } from "../../src/platform/backend-server.ts";
import type { Clock } from "../../src/platform/clock.ts";
import type { InstanceList } from "../../src/platform/instance-list.ts";
import type { KeyValueService } from "../../src/platform/key-value-service.ts";
import type { Log } from "../../src/platform/log.ts";
import type { PeerTransport } from "../../src/platform/peer-transport.ts";
import type { Random } from "../../src/platform/random.ts";
import type { RequestService } from "../../src/coordination/ports.ts";
import type { EntrySettings } from "../../src/settings/entry-settings.ts";
import type { Property } from "./violations.ts";

/** What an entry instance is built from. */
export interface EntryParts {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly keyValue: KeyValueService;
  readonly instanceList: InstanceList;
  readonly backends: BackendConnector;
  readonly peerTransport: PeerTransport;
  readonly log: Log;
}

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
  /** Ends the process as soon as a graceful shutdown begins. */
  readonly cutShutdown?: boolean;
}
