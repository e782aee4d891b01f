import type { Result } from "ts-results";

/** A backend server as the platform's instance list describes it. The list lags. */
export interface ListedInstance {
  readonly name: string;
  /** Address of the backend server's HTTP interface, `http://IP:PORT`. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly cores: number;
  readonly memoryGb: number;
  readonly accelerators: number;
  /** Number of tasks the backend server runs at once. */
  readonly slots: number;
  readonly state: "live" | "leaving";
}

/** The instance list could not be read. */
export interface InstanceListError {
  readonly kind: "unavailable";
  readonly detail: string;
}

/** The platform's lagging list of live and leaving instances. */
export abstract class InstanceList {
  abstract list(): Promise<Result<readonly ListedInstance[], InstanceListError>>;
}
