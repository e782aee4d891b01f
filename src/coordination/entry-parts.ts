import type { BackendConnector } from "../platform/backend-server.ts";
import type { Clock } from "../platform/clock.ts";
import type { InstanceList } from "../platform/instance-list.ts";
import type { KeyValueService } from "../platform/key-value-service.ts";
import type { Log } from "../platform/log.ts";
import type { PeerTransport } from "../platform/peer-transport.ts";
import type { Random } from "../platform/random.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import type { Counters } from "./ports.ts";

/** Everything outside an entry instance that it works with. */
export interface EntryParts {
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
