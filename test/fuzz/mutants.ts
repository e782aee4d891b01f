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
import type { EntryOptions, Mutant } from "./entry-under-test.ts";
import { InterceptingTransport, ForwardingBackend, WrappingConnector } from "./forwarding.ts";
import { ForwardingKeyValue } from "./observed-store.ts";

/** A key-value service without compare-and-swap: ignores expected revisions under a prefix. */
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

/** Delays writes of fleet documents by up to 6 s, which is harmless with compare-and-swap. */
class DelayedFleetWrites extends ForwardingKeyValue {
  readonly #options: EntryOptions;

  constructor(options: EntryOptions) {
    super({ inner: options.keyValue });
    this.#options = options;
  }

  override async put(put: KvPut): Promise<Result<number, KvError>> {
    const { clock, random } = this.#options;
    if (put.key.startsWith("fleet/")) await clock.sleep(random.next() * 6000);
    return this.inner.put(put);
  }
}

/** Changes the configuration that one entry instance reads from the key-value service. */
class ChangedConfig extends ForwardingKeyValue {
  readonly #change: (doc: ConfigDocument) => ConfigDocument;

  constructor(inner: KeyValueService, change: (doc: ConfigDocument) => ConfigDocument) {
    super({ inner });
    this.#change = change;
  }

  override async get(key: string): Promise<Result<KvEntry | undefined, KvError>> {
    return (await this.inner.get(key)).map((entry) => this.#changed(entry));
  }

  override async watch(watch: KvWatch): Promise<Result<KvWatchReply, KvError>> {
    return (await this.inner.watch(watch)).map((reply) =>
      reply.changed ? { changed: true, entry: this.#changed(reply.entry) } : reply,
    );
  }

  #changed(entry: KvEntry | undefined): KvEntry | undefined {
    if (entry?.key !== CONFIG_KEY) return entry;
    const doc = JSON.parse(entry.value) as ConfigDocument;
    return { ...entry, value: JSON.stringify(this.#change(doc)) };
  }
}

/** Accepts starts under any lease, even a lapsed one, by substituting the newest lease. */
class AnyLeaseAccepted extends ForwardingBackend {
  #newestLeaseId: string | undefined;

  override async acquireLease(holder: string, ttlMs: number): BackendResult<LeaseGrant> {
    const granted = await this.inner.acquireLease(holder, ttlMs);
    if (granted.ok) this.#newestLeaseId = granted.val.leaseId;
    return granted;
  }

  override startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    return this.inner.startTask(this.#newestLeaseId ?? leaseId, spec);
  }
}

/** Reports a start with an unknown outcome as certainly not started. */
class AmbiguousIsNotStarted extends ForwardingBackend {
  override async startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    const started = await this.inner.startTask(leaseId, spec);
    if (started.ok || started.val.kind !== "ambiguous") return started;
    return Err({ kind: "unreachable", detail: "mutant" });
  }
}

/** Swaps the results of finished tasks, as matching by position instead of request id would. */
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

/** Lists every instance as live, even those that are leaving. */
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

/** Wraps the backend servers that an entry instance connects to. */
function withBackends(
  wrap: (server: ForwardingBackend["inner"]) => ForwardingBackend,
): NonNullable<Mutant["changeOptions"]> {
  return (options) => ({ ...options, backends: new WrappingConnector(options.backends, wrap) });
}

/** Changes the configuration that the selected entry instances read. */
function withConfig(
  change: (doc: ConfigDocument) => ConfigDocument,
  isSelected: (entry: number) => boolean = () => true,
): NonNullable<Mutant["changeOptions"]> {
  return (options, entry) =>
    isSelected(entry)
      ? { ...options, keyValue: new ChangedConfig(options.keyValue, change) }
      : options;
}

/** Overrides settings of every entry instance. */
function withSettings(
  settings: Partial<EntryOptions["settings"]>,
): NonNullable<Mutant["changeOptions"]> {
  return (options) => ({ ...options, settings: { ...options.settings, ...settings } });
}

/** Drops peer calls of the given types, as if the mechanism that sends them did not exist. */
function withoutCalls(...types: readonly string[]): NonNullable<Mutant["changeOptions"]> {
  return (options) => ({
    ...options,
    peerTransport: new InterceptingTransport(options.peerTransport, async (req, next) => {
      if (!types.includes(req.type)) return next(req);
      await options.clock.sleep(10);
      return Err({ kind: "not-sent", detail: "mutant" });
    }),
  });
}

/** Replies to gossip as if the platform were reachable, so that no outage is detected. */
function withPlatformReportedReachable(): NonNullable<Mutant["changeOptions"]> {
  return (options) => ({
    ...options,
    peerTransport: new InterceptingTransport(options.peerTransport, async (req, next) => {
      const reply = await next(req);
      return reply.map((val) =>
        req.type === "gossip" ? { ...val, platformReachable: true } : val,
      );
    }),
  });
}

/** Every mutant. Each property has at least one mutant that its check must detect. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: "drain-unchecked",
    property: "availability-budget",
    detail: "the planner sees availability budgets of 0",
    changeOptions: withConfig((doc) => ({
      ...doc,
      pools: doc.pools.map((pool) => ({ ...pool, minAvailable: 0 })),
      maintenance: { ...doc.maintenance, maxParallel: 20 },
    })),
  },
  {
    name: "fleet-without-cas",
    property: "one-pool",
    detail: "writes of fleet documents are delayed and ignore the expected revision",
    store: (store) => new LastWriterWins(store, "fleet/"),
    changeOptions: (options) => ({ ...options, keyValue: new DelayedFleetWrites(options) }),
  },
  {
    name: "freshness-off",
    property: "keys",
    detail: "an entry uses its configuration without an age limit",
    changeOptions: withSettings({ keyFreshnessMs: 1e9 }),
  },
  {
    name: "outage-unrecognised",
    property: "keys",
    detail: "entries report the platform as reachable to each other",
    changeOptions: withPlatformReportedReachable(),
  },
  {
    name: "config-not-passed-on",
    property: "keys",
    detail: "entries neither request newer configurations from each other nor offer them",
    changeOptions: withoutCalls("config", "config-offer"),
  },
  {
    name: "limit-ignored",
    property: "upper-limit",
    detail: "entry 1 sees upper limits ten times as high",
    changeOptions: withConfig(
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
    changeOptions: withBackends((inner) => new ResultsSwapped({ inner })),
  },
  {
    name: "ambiguous-is-not-run",
    property: "not-run",
    detail: "a start without a reply counts as not started",
    changeOptions: withBackends((inner) => new AmbiguousIsNotStarted({ inner })),
  },
  {
    name: "ambiguous-is-retried",
    property: "at-most-once",
    detail: "a start without a reply counts as not started and is retried",
    changeOptions: withBackends((inner) => new AmbiguousIsNotStarted({ inner })),
  },
  {
    name: "lapsed-lease-accepted",
    property: "at-most-once",
    detail: "backend servers accept starts under lapsed leases",
    server: (inner) => new AnyLeaseAccepted({ inner }),
  },
  {
    name: "ids-forgotten",
    property: "at-most-once",
    detail: "request owners forget request ids at once",
    changeOptions: withSettings({ idempotencyWindowMs: 1 }),
  },
  {
    name: "leaving-unnoticed",
    property: "leaving-server",
    detail: "entries see leaving instances as live in the instance list",
    changeOptions: (options) => ({
      ...options,
      instanceList: new LeavingHidden(options.instanceList),
    }),
  },
  {
    name: "shutdown-at-once",
    property: "shutdown",
    detail: "the process ends as soon as the shutdown begins",
    skipShutdown: true,
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
    changeOptions: withoutCalls("lease-report"),
  },
];
