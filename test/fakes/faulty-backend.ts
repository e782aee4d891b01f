import { Err } from "ts-results";
import {
  BackendConnector,
  BackendServer,
  type BackendEvents,
  type BackendResult,
  type LeaseGrant,
  type LeaseRenewal,
  type TaskRecord,
  type TaskRef,
  type TaskSpec,
} from "../../src/platform/backend-server.ts";
import type { Links, Party } from "./links.ts";

/** Time a call may take, in milliseconds, as the HTTP client allows. */
const CALL_TIMEOUT_MS = 1000;

/** A simulated backend server with its place in the network. */
export interface BackendParty {
  readonly address: string;
  readonly party: Party;
  readonly server: BackendServer;
}

/** Options of {@link FaultyBackendConnector}. */
export interface FaultyBackendConnectorOptions {
  readonly links: Links;
  /** The process that calls. */
  readonly party: Party;
  readonly servers: readonly BackendParty[];
  /** Called right before a start is handed to the server, for a test's own record. */
  readonly beforeStart?: (spec: TaskSpec) => void;
}

/** One process's clients of the backend servers, over links that can fail. */
export class FaultyBackendConnector extends BackendConnector {
  readonly #options: FaultyBackendConnectorOptions;

  constructor(options: FaultyBackendConnectorOptions) {
    super();
    this.#options = options;
  }

  connect(address: string): BackendServer {
    const target = this.#options.servers.find((server) => server.address === address);
    return new FaultyBackend({ ...this.#options, target });
  }
}

interface FaultyBackendOptions extends FaultyBackendConnectorOptions {
  readonly target: BackendParty | undefined;
}

class FaultyBackend extends BackendServer {
  readonly #options: FaultyBackendOptions;

  constructor(options: FaultyBackendOptions) {
    super();
    this.#options = options;
  }

  acquireLease(holder: string, ttlMs: number): BackendResult<LeaseGrant> {
    return this.#call((server) => server.acquireLease(holder, ttlMs));
  }

  renewLease(leaseId: string, ttlMs: number): BackendResult<LeaseRenewal> {
    return this.#call((server) => server.renewLease(leaseId, ttlMs));
  }

  releaseLease(leaseId: string, successor?: string): BackendResult<void> {
    return this.#call((server) => server.releaseLease(leaseId, successor));
  }

  startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    const copy = structuredClone(spec);
    return this.#call((server) => {
      this.#options.beforeStart?.(copy);
      return server.startTask(leaseId, copy);
    });
  }

  listTasks(leaseId: string): BackendResult<readonly TaskRecord[]> {
    return this.#call((server) => server.listTasks(leaseId));
  }

  pollEvents(leaseId: string, after: number, waitMs: number): BackendResult<BackendEvents> {
    return this.#call(
      (server) => server.pollEvents(leaseId, after, waitMs),
      CALL_TIMEOUT_MS + waitMs,
    );
  }

  stopTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.#call((server) => server.stopTask(leaseId, ref));
  }

  checkpointTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.#call((server) => server.checkpointTask(leaseId, ref));
  }

  acknowledgeTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.#call((server) => server.acknowledgeTask(leaseId, ref));
  }

  reboot(leaseId: string): BackendResult<void> {
    return this.#call((server) => server.reboot(leaseId));
  }

  async #call<T>(
    op: (server: BackendServer) => BackendResult<T>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<Awaited<BackendResult<T>>> {
    const { links, party, target } = this.#options;
    if (target === undefined) return Err({ kind: "unreachable", detail: "no such address" });
    const outcome = await links.call(party, target.party, () => op(target.server), timeoutMs);
    if (outcome.kind === "ok") return outcome.value;
    if (outcome.kind === "not-sent") return Err({ kind: "unreachable", detail: "no connection" });
    return Err({ kind: "ambiguous", detail: "no reply" });
  }
}
