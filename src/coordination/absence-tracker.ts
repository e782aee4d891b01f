import type { Clock } from "../ports/clock.ts";
import type { ListedInstance } from "../ports/instance-list.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import { REBOOT_LIMIT_MS } from "../state/maintenance-rules.ts";

/** Time of absence before a server itself is checked; the list is updated with a delay. */
const ABSENT_BEFORE_CHECK_MS = 30_000;

/** Options of {@link AbsenceTracker}. */
export interface AbsenceTrackerOptions {
  readonly clock: Clock;
  readonly confirmGone: (server: ServerRecord) => Promise<boolean>;
}

/** Finds servers that are absent from the instance list and confirmed to be gone. */
export class AbsenceTracker {
  readonly #options: AbsenceTrackerOptions;
  readonly #absentSince = new Map<string, number>();
  readonly #gone = new Set<string>();
  readonly #checking = new Set<string>();

  constructor(options: AbsenceTrackerOptions) {
    this.#options = options;
  }

  /** Servers whose absence was confirmed. */
  get gone(): ReadonlySet<string> {
    return this.#gone;
  }

  /** Processes a read of the list. An undefined list gives no information about any server. */
  observe(servers: readonly ServerRecord[], listed: readonly ListedInstance[] | undefined): void {
    this.#pruneRemoved(servers);
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
      if (now - since >= ABSENT_BEFORE_CHECK_MS) void this.#checkGone(server);
    }
  }

  /** A server in a planned reboot is temporarily absent from the list and refuses connections. */
  #isRebooting({ state, since }: ServerRecord): boolean {
    return state === "rebooting" && this.#options.clock.wallTime() - since <= REBOOT_LIMIT_MS;
  }

  async #checkGone(server: ServerRecord): Promise<void> {
    if (this.#checking.has(server.name) || this.#gone.has(server.name)) return;
    this.#checking.add(server.name);
    const gone = await this.#options.confirmGone(server);
    this.#checking.delete(server.name);
    // The list may have shown the server again during the check.
    if (gone && this.#absentSince.has(server.name)) this.#gone.add(server.name);
  }

  #pruneRemoved(servers: readonly ServerRecord[]): void {
    const known = new Set(servers.map((server) => server.name));
    for (const name of [...this.#absentSince.keys()]) {
      if (known.has(name)) continue;
      this.#absentSince.delete(name);
      this.#gone.delete(name);
    }
  }
}
