import type { BackendConnector } from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import type { InstanceList } from "../ports/instance-list.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { Log } from "../ports/log.ts";
import type { PeerTransport } from "../ports/peer-transport.ts";
import type { Random } from "../ports/random.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import type { Counters } from "./ports.ts";

/** Settings and external services that an entry instance needs. */
export interface EntryDependencies {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly keyValue: KeyValueService;
  readonly instanceList: InstanceList;
  readonly backends: BackendConnector;
  readonly peerTransport: PeerTransport;
  readonly log: Log;
  readonly counters: Counters;
}
