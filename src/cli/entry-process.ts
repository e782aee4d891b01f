import { pino } from "pino";
import { MetricCounters } from "../coordination/counters.ts";
import { EntryInstance } from "../coordination/entry-instance.ts";
import type { BackendConnector } from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import type { InstanceList } from "../ports/instance-list.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { Log } from "../ports/log.ts";
import type { Random } from "../ports/random.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import { AdminServer } from "../transport/admin-server.ts";
import { CallerServer } from "../transport/caller-server.ts";
import { parseIpAddress } from "../transport/ip-address.ts";
import { TcpPeerTransport } from "../transport/peer-tcp.ts";

/** Clients of the platform's services. */
export interface PlatformClients {
  readonly keyValue: KeyValueService;
  readonly instanceList: InstanceList;
  readonly backends: BackendConnector;
}

/** Options of {@link EntryProcess}. */
export interface EntryProcessOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Opens the clients of the platform's services, which count their calls. */
  readonly platform: (counters: MetricCounters) => PlatformClients;
}

/** An entry instance with its servers for callers, peers and operators. */
export class EntryProcess {
  readonly #options: EntryProcessOptions;
  readonly #instance: EntryInstance;
  readonly #callers: CallerServer;
  readonly #admin: AdminServer;
  readonly #counters = new MetricCounters();
  #stopping = false;

  constructor(options: EntryProcessOptions) {
    this.#options = options;
    const { clock, log } = options;
    const counters = this.#counters;
    const peerTransport = new TcpPeerTransport({ clock, log, counter: counters });
    const platform = options.platform(counters);
    this.#instance = new EntryInstance({ ...options, ...platform, counters, peerTransport });
    this.#callers = new CallerServer({ clock, log, counters, requests: this.#instance.requests });
    this.#admin = new AdminServer({
      notReadyReasons: () =>
        this.#stopping ? ["shutting down"] : this.#instance.notReadyReasons(),
      status: () => this.#instance.status(),
      metrics: () => counters.text(),
    });
  }

  /** Counts an event in the metrics of this process. */
  count(event: string): void {
    this.#counters.event(event);
  }

  /** Starts all servers. Rejects with a message that names the setting and address that failed. */
  async start(): Promise<void> {
    const { adminAddress, callerAddress } = this.#options.settings;
    await listen(this.#admin, "admin_address", adminAddress);
    await this.#instance.start();
    await listen(this.#callers, "caller_address", callerAddress);
  }

  /** Answers accepted requests, hands hash slots and leases to peers, and closes all servers. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    this.#options.log.info("shutting down");
    const answered = this.#callers.close();
    await this.#instance.shutdown();
    await answered;
    await this.#admin.close();
    this.#options.log.info("shut down");
  }
}

interface ListeningServer {
  listen(host: string, port: number): Promise<number>;
}

async function listen(server: ListeningServer, setting: string, address: string): Promise<void> {
  const parsed = parseIpAddress(address);
  if (parsed.err) throw new Error(`${setting}: ${parsed.val}`);
  try {
    await server.listen(parsed.val.host, parsed.val.port);
  } catch (err) {
    const code = (err as NodeJS.ErrnoException).code ?? String(err);
    throw new Error(`${setting} = ${address}: cannot listen (${code}); choose a free address`, {
      cause: err,
    });
  }
}

/** Opens a logger that writes JSON lines to standard error. */
export function openLog(level: string): Log {
  return pino({ level, base: null }, pino.destination({ dest: 2, sync: true }));
}

/** Runs `stop` once on SIGTERM or SIGINT and then ends the process. */
export function stopOnSignal(stop: () => Promise<void>): void {
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => {
      void stop().then(() => process.exit(0));
    });
  }
}
