import { Err, Ok, type Result } from "ts-results";
import type { KeyValueService } from "../ports/key-value-service.ts";
import { fleetKey, type FleetDocument } from "../protocol/fleet-document.ts";
import { parseFleetDocument } from "./fleet-follower.ts";

/** Outcome of a compare-and-swap of the fleet document. */
export type FleetWrite =
  | { readonly kind: "written"; readonly revision: number }
  /** Another write came first; nothing was written. */
  | { readonly kind: "raced" }
  /** Nothing is known to be written; the next read tells. */
  | { readonly kind: "failed"; readonly detail: string };

/** The fleet document of one pool group in the key-value service. */
export abstract class FleetStore {
  /** Undefined if the document does not exist. */
  abstract read(): Promise<Result<FleetDocument | undefined, string>>;
  /** Writes over the revision of `next`, which is that of the document it was made from. */
  abstract write(next: FleetDocument): Promise<FleetWrite>;
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

  async write({ revision, ...document }: FleetDocument): Promise<FleetWrite> {
    const put = { key: this.#key, value: JSON.stringify(document), expectedRevision: revision };
    const written = await this.#keyValue.put(put);
    if (written.ok) return { kind: "written", revision: written.val };
    if (written.val.kind === "conflict") return { kind: "raced" };
    if (written.val.kind === "ambiguous") return this.#resolve(document.writeId);
    return { kind: "failed", detail: written.val.kind };
  }

  /** A lost reply is resolved by the write id. */
  async #resolve(writeId: string): Promise<FleetWrite> {
    const read = await this.read();
    if (read.ok && read.val?.writeId === writeId) {
      return { kind: "written", revision: read.val.revision };
    }
    return { kind: "failed", detail: "no reply" };
  }
}
