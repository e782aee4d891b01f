import type { Result } from "ts-results";

/** A backend server as described by the platform's instance list, which may be out of date. */
export interface ListedInstance {
  readonly name: string;
  /** Address of the backend server's HTTP interface, `http://IP:PORT`. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly cores: number;
  readonly memoryGb: number;
  readonly accelerators: number;
  /** Maximum number of tasks that the backend server runs concurrently. */
  readonly slots: number;
  readonly state: "live" | "leaving";
}

/** Why the instance list could not be read. */
export interface InstanceListError {
  readonly kind: "unavailable";
  readonly detail: string;
}

/** The platform's list of live and leaving instances, which may be out of date. */
export abstract class InstanceList {
  abstract list(): Promise<Result<readonly ListedInstance[], InstanceListError>>;
}
