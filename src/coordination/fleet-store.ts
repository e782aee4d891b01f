import { Err, Ok, type Result } from "ts-results";
import type { KeyValueService } from "../ports/key-value-service.ts";
import { fleetKey, type FleetDocument } from "../protocol/fleet-document.ts";
import { parseFleetDocument } from "./fleet-follower.ts";

/** Outcome of a compare-and-swap of the fleet document. */
export type FleetWriteOutcome =
  | { readonly kind: "written"; readonly revision: number }
  /** Another write was stored first; nothing was written. */
  | { readonly kind: "raced" }
  /** No write is known to have been stored; the next read shows the outcome. */
  | { readonly kind: "failed"; readonly detail: string };

/** The fleet document of one pool group in the key-value service. */
export abstract class FleetStore {
  /** Reads the document; undefined if it does not exist. */
  abstract read(): Promise<Result<FleetDocument | undefined, string>>;
  /** Writes `next`. Its `revision` must be that of the document from which it was derived. */
  abstract write(next: FleetDocument): Promise<FleetWriteOutcome>;
}

/** Options of {@link KeyValueFleetStore}. */
export interface KeyValueFleetStoreOptions {
  readonly keyValue: KeyValueService;
  readonly group: string;
}

/** Stores the fleet document directly in the key-value service. */
export class KeyValueFleetStore extends FleetStore {
  readonly #keyValue: KeyValueService;
  readonly #key: string;

  constructor({ keyValue, group }: KeyValueFleetStoreOptions) {
    super();
    this.#keyValue = keyValue;
    this.#key = fleetKey(group);
  }

  async read(): Promise<Result<FleetDocument | undefined, string>> {
    const read = await this.#keyValue.get(this.#key);
    if (read.err) return Err(read.val.kind);
    if (read.val === undefined) return Ok(undefined);
    const fleet = parseFleetDocument(read.val);
    return fleet === undefined ? Err("malformed fleet document") : Ok(fleet);
  }

  async write({ revision, ...document }: FleetDocument): Promise<FleetWriteOutcome> {
    const put = { key: this.#key, value: JSON.stringify(document), expectedRevision: revision };
    const written = await this.#keyValue.put(put);
    if (written.ok) return { kind: "written", revision: written.val };
    if (written.val.kind === "conflict") return { kind: "raced" };
    if (written.val.kind === "ambiguous") return this.#resolveAmbiguousWrite(document.writeId);
    return { kind: "failed", detail: written.val.kind };
  }

  /** Determines the outcome of a write whose reply was lost, by its write id. */
  async #resolveAmbiguousWrite(writeId: string): Promise<FleetWriteOutcome> {
    const read = await this.read();
    if (read.ok && read.val?.writeId === writeId) {
      return { kind: "written", revision: read.val.revision };
    }
    return { kind: "failed", detail: "no reply" };
  }
}
