import type { RunLists } from "../../../ports/job-backend.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Receives events of server drivers. */
export abstract class DriverListener {
  /** True if there are runs on the server to monitor. */
  abstract hasRuns(server: string): boolean;
  /** Maximum time in ms that a poll waits for a run to end, before progress must be checked. */
  abstract pollWait(server: string): number;
  /**
   * Handles the lists returned by a poll that was sent at `askedAt`, a monotonic time in ms.
   * Resolves true once the effects of the ended runs are stored, so that the ends can be
   * acknowledged.
   */
  abstract listsRead(driver: ServerDriver, lists: RunLists, askedAt: number): Promise<boolean>;
  /** The server was replaced, so the runs of the driver's boot and of earlier ones have ended. */
  abstract serverGone(driver: ServerDriver): void;
  /** Called repeatedly while the server does not respond, since its lease may have lapsed. */
  abstract checkLeases(driver: ServerDriver): void;
  /** A list came from a later boot, at Unix time `bootedAt` in ms. The driver is closed. */
  abstract rebooted(driver: ServerDriver, bootedAt: number): void;
  /** An order was refused because the server has seen a higher fencing token. */
  abstract fenced(): void;
}
