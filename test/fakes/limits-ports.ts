/** Simple implementations of the interfaces between the modules of an entry. */
import type { DocumentFollower } from "../../src/coordination/document-follower.ts";
import { ConfigView, FleetView, type Unsubscribe } from "../../src/coordination/ports.ts";
import type { StoredFleet } from "../../src/coordination/server-drain.ts";
import { SlotRecords } from "../../src/coordination/slot-transfer.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import type { FleetDocument } from "../../src/protocol/fleet-document.ts";
import type { TransferredRequest } from "../../src/protocol/peer-messages.ts";
import { configDocument } from "./builders.ts";

/** The only team in {@link TestConfig}. */
export const TEAM = "crew";

export class FollowedFleet extends FleetView {
  readonly #follower: DocumentFollower<StoredFleet>;
  constructor(follower: DocumentFollower<StoredFleet>) {
    super();
    this.#follower = follower;
  }
  current(): FleetDocument | undefined {
    const latest = this.#follower.current;
    return latest && { revision: latest.revision, ...latest.value };
  }
  confirmedAt(): number {
    return this.#follower.confirmedAt ?? -Infinity;
  }
  async refresh(): Promise<void> {
    await this.#follower.refresh();
  }
  onChange(listener: (fleet: FleetDocument) => void): Unsubscribe {
    return this.#follower.onChange(({ revision, value }) => {
      listener({ revision, ...value });
    });
  }
}

/** Configuration with one team. A change by the test applies to all entries at once. */
export class TestConfig extends ConfigView {
  #limit: number;
  #revision = 1;
  readonly #listeners = new Set<(config: ConfigDocument) => void>();
  constructor(limit: number) {
    super();
    this.#limit = limit;
  }
  setLimit(limit: number): void {
    this.#limit = limit;
    this.#revision++;
    for (const listener of this.#listeners) listener(this.current());
  }
  platformReachable(): boolean {
    return true;
  }

  platformWideOutage(): boolean {
    return false;
  }
  current(): ConfigDocument {
    const team = { name: TEAM, share: 1, upperLimit: this.#limit, queues: [], keys: [] };
    return configDocument({ revision: this.#revision, teams: [team] });
  }
  ageMs = (): number => 0;
  keyedWorkAllowed = (): boolean => true;
  teamOfKey = (): string => TEAM;
  onChange(listener: (config: ConfigDocument) => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

/** Stores transferred records by request id. */
export class InMemorySlotRecords extends SlotRecords {
  readonly byId = new Map<string, TransferredRequest>();
  /** Ids of requests in progress, which block the export of their slots. */
  readonly pending = new Set<string>();
  export(matches: (requestId: string) => boolean): readonly TransferredRequest[] | undefined {
    if ([...this.pending].some(matches)) return undefined;
    return [...this.byId.values()].filter(({ spec }) => matches(spec.requestId));
  }
  import(records: readonly TransferredRequest[]): boolean {
    for (const record of records) this.byId.set(record.spec.requestId, record);
    return true;
  }
  drop(matches: (requestId: string) => boolean): void {
    for (const id of [...this.byId.keys()]) if (matches(id)) this.byId.delete(id);
  }
}
