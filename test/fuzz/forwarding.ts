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

/** Forwards every call. Base class of wrappers that change some of the calls. */
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

/** Wraps every backend server that the inner connector connects to. */
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

/** Intercepts a call between peers; `next` sends it. */
export type CallInterceptor = <T extends PeerRequest>(
  req: T,
  next: (req: T) => Promise<Result<ReplyTo<T>, PeerError>>,
) => Promise<Result<ReplyTo<T>, PeerError>>;

/** Intercepts the calls that one entry instance sends to its peers. */
export class InterceptingTransport extends PeerTransport {
  readonly #inner: PeerTransport;
  readonly #intercept: CallInterceptor;

  constructor(inner: PeerTransport, intercept: CallInterceptor) {
    super();
    this.#inner = inner;
    this.#intercept = intercept;
  }

  listen(self: Hello, handler: PeerHandler): Promise<Result<void, string>> {
    return this.#inner.listen(self, handler);
  }

  async connect(address: string, self: Hello): Promise<Result<PeerConnection, PeerError>> {
    const opened = await this.#inner.connect(address, self);
    return opened.map((connection) => new InterceptingConnection(connection, this.#intercept));
  }

  close(): Promise<void> {
    return this.#inner.close();
  }
}

class InterceptingConnection extends PeerConnection {
  readonly #inner: PeerConnection;
  readonly #intercept: CallInterceptor;

  constructor(inner: PeerConnection, intercept: CallInterceptor) {
    super();
    this.#inner = inner;
    this.#intercept = intercept;
  }

  get remote(): Hello {
    return this.#inner.remote;
  }

  get open(): boolean {
    return this.#inner.open;
  }

  call<T extends PeerRequest>(req: T, timeoutMs: number): Promise<Result<ReplyTo<T>, PeerError>> {
    return this.#intercept(req, (sent) => this.#inner.call(sent, timeoutMs));
  }

  close(): void {
    this.#inner.close();
  }
}
