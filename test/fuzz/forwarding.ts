import type { Result } from "ts-results";
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
} from "../../src/ports/backend-server.ts";
import {
  PeerConnection,
  PeerTransport,
  type PeerError,
  type PeerHandler,
} from "../../src/ports/peer-transport.ts";
import type { Hello, PeerRequest, ReplyTo } from "../../src/protocol/peer-messages.ts";

/** Passes every call on. Base of wrappers that change one of them. */
export class ForwardingBackend extends BackendServer {
  protected readonly inner: BackendServer;

  constructor({ inner }: { readonly inner: BackendServer }) {
    super();
    this.inner = inner;
  }

  acquireLease(holder: string, ttlMs: number): BackendResult<LeaseGrant> {
    return this.inner.acquireLease(holder, ttlMs);
  }

  renewLease(leaseId: string, ttlMs: number): BackendResult<LeaseRenewal> {
    return this.inner.renewLease(leaseId, ttlMs);
  }

  releaseLease(leaseId: string, successor?: string): BackendResult<void> {
    return this.inner.releaseLease(leaseId, successor);
  }

  startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    return this.inner.startTask(leaseId, spec);
  }

  listTasks(leaseId: string): BackendResult<readonly TaskRecord[]> {
    return this.inner.listTasks(leaseId);
  }

  pollEvents(leaseId: string, after: number, waitMs: number): BackendResult<BackendEvents> {
    return this.inner.pollEvents(leaseId, after, waitMs);
  }

  stopTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.inner.stopTask(leaseId, ref);
  }

  checkpointTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.inner.checkpointTask(leaseId, ref);
  }

  acknowledgeTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.inner.acknowledgeTask(leaseId, ref);
  }

  reboot(leaseId: string): BackendResult<void> {
    return this.inner.reboot(leaseId);
  }
}

/** Wraps every backend server that a connector opens. */
export class WrappingConnector extends BackendConnector {
  readonly #inner: BackendConnector;
  readonly #wrap: (server: BackendServer, address: string) => BackendServer;

  constructor(inner: BackendConnector, wrap: (s: BackendServer, address: string) => BackendServer) {
    super();
    this.#inner = inner;
    this.#wrap = wrap;
  }

  connect(address: string): BackendServer {
    return this.#wrap(this.#inner.connect(address), address);
  }
}

/** Changes a call between peers. */
export type CallChange = <T extends PeerRequest>(
  req: T,
  next: (req: T) => Promise<Result<ReplyTo<T>, PeerError>>,
) => Promise<Result<ReplyTo<T>, PeerError>>;

/** Changes the calls that one entry instance sends to its peers. */
export class ChangingTransport extends PeerTransport {
  readonly #inner: PeerTransport;
  readonly #change: CallChange;

  constructor(inner: PeerTransport, change: CallChange) {
    super();
    this.#inner = inner;
    this.#change = change;
  }

  listen(self: Hello, handler: PeerHandler): Promise<Result<void, string>> {
    return this.#inner.listen(self, handler);
  }

  async connect(address: string, self: Hello): Promise<Result<PeerConnection, PeerError>> {
    const opened = await this.#inner.connect(address, self);
    return opened.map((connection) => new ChangingConnection(connection, this.#change));
  }

  close(): Promise<void> {
    return this.#inner.close();
  }
}

class ChangingConnection extends PeerConnection {
  readonly #inner: PeerConnection;
  readonly #change: CallChange;

  constructor(inner: PeerConnection, change: CallChange) {
    super();
    this.#inner = inner;
    this.#change = change;
  }

  get remote(): Hello {
    return this.#inner.remote;
  }

  get open(): boolean {
    return this.#inner.open;
  }

  call<T extends PeerRequest>(req: T, timeoutMs: number): Promise<Result<ReplyTo<T>, PeerError>> {
    return this.#change(req, (sent) => this.#inner.call(sent, timeoutMs));
  }

  close(): void {
    this.#inner.close();
  }
}
