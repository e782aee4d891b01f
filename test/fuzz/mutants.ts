import { Err, type Result } from "ts-results";
import type {
  BackendEvents,
  BackendResult,
  LeaseGrant,
  TaskRecord,
  TaskSpec,
} from "../../src/ports/backend-server.ts";
import type {
  KeyValueService,
  KvEntry,
  KvError,
  KvPut,
  KvWatch,
  KvWatchReply,
} from "../../src/ports/key-value-service.ts";
import { InstanceList, type ListedInstance } from "../../src/ports/instance-list.ts";
import { CONFIG_KEY, type ConfigDocument } from "../../src/protocol/config-document.ts";
import type { EntryParts, Mutant } from "./entry-under-test.ts";
import { ChangingTransport, ForwardingBackend, WrappingConnector } from "./forwarding.ts";
import { ForwardingKeyValue } from "./observed-store.ts";

/** A key-value service that ignores expected revisions under a prefix: no compare-and-swap. */
class LastWriterWins extends ForwardingKeyValue {
  readonly #prefix: string;

  constructor(inner: KeyValueService, prefix: string) {
    super({ inner });
    this.#prefix = prefix;
  }

  override async put(put: KvPut): Promise<Result<number, KvError>> {
    if (!put.key.startsWith(this.#prefix)) return this.inner.put(put);
    const current = await this.inner.get(put.key);
    const expectedRevision = current.ok ? (current.val?.revision ?? 0) : put.expectedRevision;
    return this.inner.put({ ...put, expectedRevision });
  }
}

/** Holds writes of fleet documents back, which a compare-and-swap withstands. */
class LateFleetWrites extends ForwardingKeyValue {
  readonly #parts: EntryParts;

  constructor(parts: EntryParts) {
    super({ inner: parts.keyValue });
    this.#parts = parts;
  }

  override async put(put: KvPut): Promise<Result<number, KvError>> {
    const { clock, random } = this.#parts;
    if (put.key.startsWith("fleet/")) await clock.sleep(random.next() * 6000);
    return this.inner.put(put);
  }
}

/** Shows one entry instance another configuration than the stored one. */
class OtherConfig extends ForwardingKeyValue {
  readonly #change: (doc: ConfigDocument) => ConfigDocument;

  constructor(inner: KeyValueService, change: (doc: ConfigDocument) => ConfigDocument) {
    super({ inner });
    this.#change = change;
  }

  override async get(key: string): Promise<Result<KvEntry | undefined, KvError>> {
    return (await this.inner.get(key)).map((entry) => this.#seen(entry));
  }

  override async watch(watch: KvWatch): Promise<Result<KvWatchReply, KvError>> {
    return (await this.inner.watch(watch)).map((reply) =>
      reply.changed ? { changed: true, entry: this.#seen(reply.entry) } : reply,
    );
  }

  #seen(entry: KvEntry | undefined): KvEntry | undefined {
    if (entry?.key !== CONFIG_KEY) return entry;
    const doc = JSON.parse(entry.value) as ConfigDocument;
    return { ...entry, value: JSON.stringify(this.#change(doc)) };
  }
}

/** A backend server that takes a start under any lease, lapsed or not. */
class LeaseIgnored extends ForwardingBackend {
  #newest: string | undefined;

  override async acquireLease(holder: string, ttlMs: number): BackendResult<LeaseGrant> {
    const granted = await this.inner.acquireLease(holder, ttlMs);
    if (granted.ok) this.#newest = granted.val.leaseId;
    return granted;
  }

  override startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    return this.inner.startTask(this.#newest ?? leaseId, spec);
  }
}

/** Reports a start without a reply as certainly not started. */
class AmbiguousIsNotStarted extends ForwardingBackend {
  override async startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    const started = await this.inner.startTask(leaseId, spec);
    if (started.ok || started.val.kind !== "ambiguous") return started;
    return Err({ kind: "unreachable", detail: "mutant" });
  }
}

/** Gives finished tasks each other's results, as a match by position instead of id would. */
class ResultsSwapped extends ForwardingBackend {
  override async pollEvents(
    leaseId: string,
    after: number,
    waitMs: number,
  ): Promise<Awaited<BackendResult<BackendEvents>>> {
    const polled = await this.inner.pollEvents(leaseId, after, waitMs);
    return polled.map((events) => ({ ...events, finished: swapped(events.finished) }));
  }
}

function swapped(records: readonly TaskRecord[]): readonly TaskRecord[] {
  return records.map((record, at) => {
    const other = records[records.length - 1 - at]?.result;
    return other === undefined ? record : { ...record, result: other };
  });
}

class LeavingHidden extends InstanceList {
  readonly #inner: InstanceList;

  constructor(inner: InstanceList) {
    super();
    this.#inner = inner;
  }

  async list(): ReturnType<InstanceList["list"]> {
    const live = (listed: ListedInstance): ListedInstance => ({ ...listed, state: "live" });
    return (await this.#inner.list()).map((instances) => instances.map(live));
  }
}

function withBackends(
  wrap: (server: ForwardingBackend["inner"]) => ForwardingBackend,
): NonNullable<Mutant["parts"]> {
  return (parts) => ({ ...parts, backends: new WrappingConnector(parts.backends, wrap) });
}

function withConfig(
  change: (doc: ConfigDocument) => ConfigDocument,
  entries: (entry: number) => boolean = () => true,
): NonNullable<Mutant["parts"]> {
  return (parts, entry) =>
    entries(entry) ? { ...parts, keyValue: new OtherConfig(parts.keyValue, change) } : parts;
}

function withSettings(settings: Partial<EntryParts["settings"]>): NonNullable<Mutant["parts"]> {
  return (parts) => ({ ...parts, settings: { ...parts.settings, ...settings } });
}

/** Drops the calls of some types, as if the mechanism that sends them did not exist. */
function withoutCalls(...types: readonly string[]): NonNullable<Mutant["parts"]> {
  return (parts) => ({
    ...parts,
    peerTransport: new ChangingTransport(parts.peerTransport, async (req, next) => {
      if (!types.includes(req.type)) return next(req);
      await parts.clock.sleep(10);
      return Err({ kind: "not-sent", detail: "mutant" });
    }),
  });
}

/** Answers gossip as if the platform were reachable, so that no outage is recognised. */
function claimingPlatform(): NonNullable<Mutant["parts"]> {
  return (parts) => ({
    ...parts,
    peerTransport: new ChangingTransport(parts.peerTransport, async (req, next) => {
      const reply = await next(req);
      return reply.map((val) =>
        req.type === "gossip" ? { ...val, platformReachable: true } : val,
      );
    }),
  });
}

/** Every mutant. Each property has at least one that it must catch. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: "drain-unchecked",
    property: "availability-budget",
    detail: "the planner sees availability budgets of 0",
    parts: withConfig((doc) => ({
      ...doc,
      pools: doc.pools.map((pool) => ({ ...pool, minAvailable: 0 })),
      maintenance: { ...doc.maintenance, maxParallel: 20 },
    })),
  },
  {
    name: "fleet-without-cas",
    property: "one-pool",
    detail: "writes of fleet documents come late and ignore the expected revision",
    store: (store) => new LastWriterWins(store, "fleet/"),
    parts: (parts) => ({ ...parts, keyValue: new LateFleetWrites(parts) }),
  },
  {
    name: "freshness-off",
    property: "keys",
    detail: "an entry trusts its configuration without limit of age",
    parts: withSettings({ keyFreshnessMs: 1e9 }),
  },
  {
    name: "outage-unrecognised",
    property: "keys",
    detail: "entries state the platform as reachable to each other",
    parts: claimingPlatform(),
  },
  {
    name: "config-not-passed-on",
    property: "keys",
    detail: "entries neither ask each other for newer configurations nor offer them",
    parts: withoutCalls("config", "config-offer"),
  },
  {
    name: "limit-ignored",
    property: "upper-limit",
    detail: "entry 1 sees upper limits ten times as high",
    parts: withConfig(
      (doc) => ({
        ...doc,
        teams: doc.teams.map((team) => ({ ...team, upperLimit: team.upperLimit * 10 })),
      }),
      (entry) => entry === 1,
    ),
  },
  {
    name: "ledger-without-cas",
    property: "upper-limit",
    detail: "writes of ledger shards ignore the expected revision",
    store: (store) => new LastWriterWins(store, "ledger/"),
  },
  {
    name: "results-swapped",
    property: "answers",
    detail: "results are matched by position instead of request id",
    parts: withBackends((inner) => new ResultsSwapped({ inner })),
  },
  {
    name: "ambiguous-is-not-run",
    property: "not-run",
    detail: "a start without a reply counts as not started",
    parts: withBackends((inner) => new AmbiguousIsNotStarted({ inner })),
  },
  {
    name: "ambiguous-is-retried",
    property: "at-most-once",
    detail: "a start without a reply counts as not started and is repeated",
    parts: withBackends((inner) => new AmbiguousIsNotStarted({ inner })),
  },
  {
    name: "lapsed-lease-accepted",
    property: "at-most-once",
    detail: "backend servers take starts that arrive under lapsed leases",
    server: (inner) => new LeaseIgnored({ inner }),
  },
  {
    name: "ids-forgotten",
    property: "at-most-once",
    detail: "homes forget request ids at once",
    parts: withSettings({ idempotencyWindowMs: 1 }),
  },
  {
    name: "leaving-unnoticed",
    property: "leaving-server",
    detail: "entries see leaving instances as live in the instance list",
    parts: (parts) => ({ ...parts, instanceList: new LeavingHidden(parts.instanceList) }),
  },
  {
    name: "shutdown-at-once",
    property: "shutdown",
    detail: "the process ends as soon as the shutdown begins",
    cutShutdown: true,
  },
  {
    name: "config-without-cas",
    property: "configuration",
    detail: "writes of the configuration ignore the expected revision",
    store: (store) => new LastWriterWins(store, CONFIG_KEY),
  },
  {
    name: "no-fencing-reports",
    property: "liveness",
    detail: "entries do not report leases, so lost budgets are never reclaimed",
    parts: withoutCalls("lease-report"),
  },
];
