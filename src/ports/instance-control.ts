import type { Result } from "ts-results";
import type { Resources } from "../protocol/job-spec.ts";

/** An instance as listed by the platform. Each boot of an instance is a separate backend server. */
export interface ControlledInstance {
  readonly name: string;
  readonly pool: string;
  readonly state: "up" | "moving" | "upkeep" | "down";
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Id of the backend server that runs on the instance; undefined if none runs. */
  readonly server: string | undefined;
}

/** Target and sender of an order to an instance. */
export interface ControlOrder {
  readonly instance: string;
  readonly holder: string;
  /** Fencing token; refused if lower than the highest token seen for the instance. */
  readonly token: number;
}

/** Why an order to an instance failed. */
export type ControlError =
  /** A higher fencing token was seen for the instance; nothing was done. */
  | { readonly kind: "fenced" }
  /** The instance is not up, or is leaving; nothing was done. */
  | { readonly kind: "busy" }
  /** The instance does not belong to the maintenance wave; nothing was done. */
  | { readonly kind: "not-in-wave" }
  /** The instance does not exist, or the pool does not accept it; nothing was done. */
  | { readonly kind: "invalid"; readonly detail: string }
  /** The call failed; nothing was done. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The order may have been carried out, or may still be. */
  | { readonly kind: "unknown"; readonly detail: string };

/** The platform's control API for instances. Orders are idempotent: a repeated order succeeds. */
export abstract class InstanceControl {
  abstract list(): Promise<Result<readonly ControlledInstance[], ControlError>>;
  /** Ends everything that runs on the instance and boots it in another pool. */
  abstract move(order: ControlOrder, pool: string): Promise<Result<void, ControlError>>;
  /** Ends everything that runs on the instance, maintains it and boots it again. */
  abstract maintain(order: ControlOrder, wave: number): Promise<Result<void, ControlError>>;
}
