import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../../src/ports/clock.ts";
import {
  InstanceList,
  type InstanceListError,
  type ListedInstance,
} from "../../src/ports/instance-list.ts";
import type { Links, Party } from "./links.ts";

/** Timeout of a call in milliseconds, the same as the HTTP client's. */
const CALL_TIMEOUT_MS = 1000;

interface Version {
  readonly visibleAt: number;
  readonly instances: readonly ListedInstance[];
}

/** Options of {@link LaggingInstances}. */
export interface LaggingInstancesOptions {
  readonly clock: Clock;
  readonly instances: readonly ListedInstance[];
  /** Delay in milliseconds until readers see a change. @default 300 */
  readonly lagMs?: number;
}

/** The platform's instance list. Changes become visible after a delay, unless it is frozen. */
export class LaggingInstances {
  readonly #clock: Clock;
  readonly #lagMs: number;
  #versions: Version[];
  #frozenAt: number | undefined;

  constructor({ clock, instances, lagMs = 300 }: LaggingInstancesOptions) {
    this.#clock = clock;
    this.#lagMs = lagMs;
    this.#versions = [{ visibleAt: clock.now(), instances }];
  }

  /** Replaces the list. Readers see the new one after the delay. */
  set(instances: readonly ListedInstance[]): void {
    this.#versions.push({ visibleAt: this.#clock.now() + this.#lagMs, instances });
  }

  /** The newest version, whether it is visible to readers yet or not. */
  get latest(): readonly ListedInstance[] {
    return this.#versions.at(-1)!.instances;
  }

  freeze(): void {
    this.#frozenAt ??= this.#clock.now();
  }

  unfreeze(): void {
    this.#frozenAt = undefined;
  }

  get frozen(): boolean {
    return this.#frozenAt !== undefined;
  }

  /** The version that readers see now. */
  get visible(): readonly ListedInstance[] {
    const now = this.#frozenAt ?? this.#clock.now();
    return this.#versions.findLast((version) => version.visibleAt <= now)!.instances;
  }
}

/** Options of {@link FaultyInstanceList}. */
export interface FaultyInstanceListOptions {
  readonly links: Links;
  readonly party: Party;
  readonly platform: Party;
  readonly instances: LaggingInstances;
}

/** One process's client of the instance list, over a link that can fail. */
export class FaultyInstanceList extends InstanceList {
  readonly #options: FaultyInstanceListOptions;

  constructor(options: FaultyInstanceListOptions) {
    super();
    this.#options = options;
  }

  async list(): Promise<Result<readonly ListedInstance[], InstanceListError>> {
    const { links, party, platform, instances } = this.#options;
    const read = (): Promise<readonly ListedInstance[]> => Promise.resolve(instances.visible);
    const outcome = await links.call(party, platform, read, CALL_TIMEOUT_MS);
    if (outcome.kind === "ok") return Ok(outcome.value);
    return Err({ kind: "unavailable", detail: "no reply" });
  }
}
