import { Err } from "ts-results";
import {
  BackendConnector,
  type BackendResult,
  type BackendServer,
  type TaskSpec,
} from "../../src/ports/backend-server.ts";
import { InterceptedBackend } from "./intercepted.ts";
import type { Links, Party } from "./links.ts";

/** Timeout of a call in milliseconds, the same as the HTTP client's. */
const CALL_TIMEOUT_MS = 1000;

/** A simulated backend server with its address and its party on the network. */
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
  /** Called right before a start is passed to the server, so that a test can record it. */
  readonly beforeStart?: (spec: TaskSpec) => void;
}

/** Creates one process's clients of the backend servers, over links that can fail. */
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

class FaultyBackend extends InterceptedBackend {
  readonly #options: FaultyBackendOptions;

  constructor(options: FaultyBackendOptions) {
    super();
    this.#options = options;
  }

  override startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    const copy = structuredClone(spec);
    return this.intercept((server) => {
      this.#options.beforeStart?.(copy);
      return server.startTask(leaseId, copy);
    });
  }

  protected async intercept<T>(
    call: (server: BackendServer) => BackendResult<T>,
    waitMs = 0,
  ): Promise<Awaited<BackendResult<T>>> {
    const { links, party, target } = this.#options;
    if (target === undefined) return Err({ kind: "unreachable", detail: "no such address" });
    const timeoutMs = CALL_TIMEOUT_MS + waitMs;
    const outcome = await links.call(party, target.party, () => call(target.server), timeoutMs);
    if (outcome.kind === "ok") return outcome.value;
    if (outcome.kind === "not-sent") return Err({ kind: "unreachable", detail: "no connection" });
    return Err({ kind: "ambiguous", detail: "no reply" });
  }
}
