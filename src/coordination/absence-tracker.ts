import type { Clock } from "../ports/clock.ts";
import type { ListedInstance } from "../ports/instance-list.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import { REBOOT_LIMIT_MS } from "../state/maintenance-rules.ts";

/** The list lags, so a server must be absent from it for this long before it is asked itself. */
const ABSENT_MS = 30_000;

/** Options of {@link AbsenceTracker}. */
export interface AbsenceTrackerOptions {
  readonly clock: Clock;
  readonly confirmGone: (server: ServerRecord) => Promise<boolean>;
}

/** Finds servers that are absent from the instance list and certainly gone. */
export class AbsenceTracker {
  readonly #options: AbsenceTrackerOptions;
  readonly #absentSince = new Map<string, number>();
  readonly #gone = new Set<string>();
  readonly #asking = new Set<string>();

  constructor(options: AbsenceTrackerOptions) {
    this.#options = options;
  }

  /** Servers whose absence was confirmed. */
  get gone(): ReadonlySet<string> {
    return this.#gone;
  }

  /** Takes a reading of the list; undefined says nothing about any server. */
  observe(servers: readonly ServerRecord[], listed: readonly ListedInstance[] | undefined): void {
    this.#forgetRemoved(servers);
    if (listed === undefined) return;
    const present = new Set(listed.map((instance) => instance.name));
    const now = this.#options.clock.now();
    for (const server of servers) {
      if (present.has(server.name) || this.#isRebooting(server)) {
        this.#absentSince.delete(server.name);
        this.#gone.delete(server.name);
        continue;
      }
      const since = this.#absentSince.get(server.name) ?? now;
      this.#absentSince.set(server.name, since);
      if (now - since >= ABSENT_MS) void this.#ask(server);
    }
  }

  /** A server that is rebooted on purpose leaves the list and refuses connections for a while. */
  #isRebooting({ state, since }: ServerRecord): boolean {
    return state === "rebooting" && this.#options.clock.wallTime() - since <= REBOOT_LIMIT_MS;
  }

  async #ask(server: ServerRecord): Promise<void> {
    if (this.#asking.has(server.name) || this.#gone.has(server.name)) return;
    this.#asking.add(server.name);
    const gone = await this.#options.confirmGone(server);
    this.#asking.delete(server.name);
    // The list may have shown the server again while it was asked.
    if (gone && this.#absentSince.has(server.name)) this.#gone.add(server.name);
  }

  #forgetRemoved(servers: readonly ServerRecord[]): void {
    const known = new Set(servers.map((server) => server.name));
    for (const name of [...this.#absentSince.keys()]) {
      if (known.has(name)) continue;
      this.#absentSince.delete(name);
      this.#gone.delete(name);
    }
  }
}
