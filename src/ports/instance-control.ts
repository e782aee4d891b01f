import type { Result } from "ts-results";
import type { Resources } from "../protocol/job-spec.ts";

/** An instance as the platform lists it. A backend server is one boot of an instance. */
export interface ControlledInstance {
  readonly name: string;
  readonly pool: string;
  readonly state: "up" | "moving" | "upkeep" | "down";
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Id of the backend server that it runs; undefined if none. */
  readonly server: string | undefined;
}

/** Who gives an order to an instance. */
export interface ControlOrder {
  readonly instance: string;
  readonly holder: string;
  /** Fencing token; lower ones than the highest seen for the instance are refused. */
  readonly token: number;
}

/** Why an order to an instance failed. */
export type ControlError =
  | { readonly kind: "fenced" }
  /** The instance is not up, or is leaving; nothing was done. */
  | { readonly kind: "busy" }
  /** The instance does not belong to the maintenance wave; nothing was done. */
  | { readonly kind: "not-in-wave" }
  /** No such instance, or the pool takes other instances; nothing was done. */
  | { readonly kind: "invalid"; readonly detail: string }
  /** Nothing was done. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The order may have been carried out, or may still be. */
  | { readonly kind: "unknown"; readonly detail: string };

/** The platform's control of instances. Orders that are repeated succeed. */
export abstract class InstanceControl {
  abstract list(): Promise<Result<readonly ControlledInstance[], ControlError>>;
  /** Ends everything on the instance and boots it in another pool. */
  abstract move(order: ControlOrder, pool: string): Promise<Result<void, ControlError>>;
  /** Ends everything on the instance, maintains it and boots it again. */
  abstract maintain(order: ControlOrder, wave: number): Promise<Result<void, ControlError>>;
}
